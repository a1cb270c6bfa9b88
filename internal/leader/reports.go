package leader

import (
	"context"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// pendingReply is a report that has not been answered yet.
type pendingReply struct {
	shift   uint64
	arrived time.Time
	until   time.Time
	reply   chan<- Reply
}

// applyHeartbeat takes in a report, by whichever way it came.
func (l *Leader) applyHeartbeat(r *machine, rep *workers.Heartbeat, direct bool, now time.Time) (fresh bool) {
	if rep.Token > l.grant.Term {
		l.endTerm(errDeposed)
		return false
	}
	known := r.agent.Registered
	r.heartbeatGap = known && now.Sub(r.agent.LastHeartbeat) > l.silenceTolerance()
	before, deaf, doubt := r.agent.Epoch, r.agent.RepliesLost, r.agent.EpochUnconfirmed
	ev, fresh := r.agent.Observe(rep, l.grant.Term, direct, now)
	if !fresh {
		return false
	}
	r.startOverdue = r.agent.StartOverdue(now)
	if r.agent.RepliesLost != deaf {
		l.markStale(r)
		l.deps.Log.Info("machine does not hear", "rig", r.agent.Name, "deaf", r.agent.RepliesLost)
		l.passDueNow = true
	}
	r.agent.ConfirmEpoch(l.lease, now)
	if r.agent.EpochUnconfirmed != doubt {
		if r.agent.EpochUnconfirmed {
			r.lastCommandAt = time.Time{} // ask it at once
		}
		l.passDueNow = true
	}
	if r.agent.RepliesLost || r.agent.EpochUnconfirmed {
		l.probeAgent(r, now)
	}
	if !known {
		l.passDueNow = true
		l.markStale(r)
		l.machineRegistered(r, now)
	}
	if before != r.agent.Epoch {
		if before != 0 && len(ev) > 0 {
			l.deps.Log.Info("machine began a new session", "rig", r.agent.Name, "shift", r.agent.Epoch, "lost", len(ev))
		}
		r.images = keepImages(r.images)
		l.markStale(r)
		l.passDueNow = true
	}
	l.applyEvents(r, ev, now)
	if !r.agent.ReclaimAt.IsZero() {
		l.drain(r, now)
	}
	return true
}

// Reply is the answer to a report.
type Reply struct {
	Status int
	Answer workers.CommandBatch
}

// Heartbeat answers a worker's report. The answer may be kept back for a moment
// so that orders can go with it.
func (l *Leader) Heartbeat(ctx context.Context, rep *workers.Heartbeat) (Reply, bool) {
	ch := make(chan Reply, 1)
	arrived := time.Now()
	if !l.post(ctx, func() { l.heartbeat(rep, arrived, ch) }) {
		return Reply{}, false
	}
	select {
	case a := <-ch:
		return a, a.Status != 0
	case <-l.done:
	case <-ctx.Done():
	}
	return Reply{}, false
}

func (l *Leader) heartbeat(rep *workers.Heartbeat, arrived time.Time, ch chan<- Reply) {
	now := time.Now()
	if now.Sub(l.certainUntil) > l.certaintyWindow {
		// Another node may have accepted a cancellation that we can't know
		// of; the workers' leases must run out before its time is up.
		ch <- Reply{Status: 503}
		return
	}
	if _, gone := l.scaling.terminated[rep.Machine]; gone {
		// The cloud has confirmed its end: this report was under way since.
		ch <- Reply{Status: 503}
		return
	}
	r := l.machine(rep.Machine, now)
	l.counts.Reports++
	if r.agent.IsDuplicate(rep) {
		l.counts.Copies++
		// A late copy tells nothing new, and whoever sent it has given up
		// waiting: it must not count as contact with the worker.
		ch <- Reply{Status: 503}
		return
	}
	// A report that an answer to /commands has overtaken is not fresh, but
	// its sender waits for the answer.
	l.applyHeartbeat(r, rep, false, now)
	if l.termErr != nil {
		ch <- Reply{}
		return
	}
	r.agent.HeartbeatSequence = max(r.agent.HeartbeatSequence, rep.Sequence)
	if rep.Epoch <= r.agent.ExpiredEpoch || r.agent.RepliesLost {
		// It must come to the end of its lease: a 200 might always arrive.
		ch <- Reply{Status: 503}
		return
	}
	r.agent.LastAcknowledged = arrived
	if r.pending != nil {
		// The worker has given up the earlier report.
		r.pending.reply <- Reply{Status: 503}
	}
	hold := constants.ReplyHold
	if len(r.agent.Attempts) == 0 {
		hold = min(constants.IdleReplyHold, l.lease/4)
	}
	r.pending = &pendingReply{shift: rep.Epoch, arrived: arrived, until: arrived.Add(hold), reply: ch}
	l.pendingReplies[r] = true
	if r.agent.HasCommands() {
		l.wakeReply(r)
	}
}

// wakeReply has a waiting report answered, as there are orders for it.
func (l *Leader) wakeReply(r *machine) {
	if r.pending != nil {
		l.repliesDue = append(l.repliesDue, r)
	}
}

// flushReplies answers the reports that have waited long enough or that orders can
// go with.
func (l *Leader) flushReplies(now time.Time) {
	for _, r := range l.repliesDue {
		l.replyIfDue(r, now)
	}
	l.repliesDue = l.repliesDue[:0]
	if now.Before(l.nextFlush) {
		return
	}
	l.nextFlush = now.Add(constants.ReplyFlushInterval)
	for r := range l.pendingReplies {
		l.replyIfDue(r, now)
	}
}

// hasUnrecordedStart tells whether a start waits only for its record: its `run` can go
// into the present answer, and would wait for the worker's next report else.
func (r *machine) hasUnrecordedStart() bool {
	for _, a := range r.agent.Attempts {
		if !a.Sent && !a.StopRequested && a.Epoch == r.agent.Epoch {
			return true
		}
	}
	return false
}

// replyIfDue answers a waiting report if it is time to.
func (l *Leader) replyIfDue(r *machine, now time.Time) {
	w := r.pending
	if w == nil {
		delete(l.pendingReplies, r)
		return
	}
	if w.shift != r.agent.Epoch || r.agent.RepliesLost {
		w.reply <- Reply{Status: 503}
	} else {
		if !r.agent.HasCommands() && (now.Before(w.until) || now.Before(w.arrived.Add(constants.PendingStartReplyHold)) && r.hasUnrecordedStart()) {
			return
		}
		orders := r.agent.Commands(true, now)
		if orders == nil {
			orders = []workers.Command{}
		}
		l.counts.Orders += uint64(len(orders))
		w.reply <- Reply{Status: 200, Answer: workers.CommandBatch{Token: l.grant.Term, Commands: orders}}
	}
	r.pending = nil
	delete(l.pendingReplies, r)
}
