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
func (l *Leader) applyHeartbeat(machine *machineState, rep *workers.Heartbeat, direct bool, now time.Time) (fresh bool) {
	if rep.Token > l.term.number() {
		l.term.end(ErrDeposed)
		return false
	}
	known := machine.agent.Registered
	machine.heartbeatGap = known && now.Sub(machine.agent.LastHeartbeat) > l.silenceTolerance()
	before, deaf, doubt := machine.agent.Epoch, machine.agent.RepliesLost, machine.agent.EpochUnconfirmed
	ev, fresh := machine.agent.Observe(rep, l.term.number(), direct, now)
	if !fresh {
		return false
	}
	machine.startOverdue = machine.agent.StartOverdue(now)
	if machine.agent.RepliesLost != deaf {
		machine.markStale()
		l.deps.Log.Info("machine does not hear", "rig", machine.agent.Name, "deaf", machine.agent.RepliesLost)
		l.passDueNow = true
	}
	machine.agent.ConfirmEpoch(l.lease, now)
	if machine.agent.EpochUnconfirmed != doubt {
		if machine.agent.EpochUnconfirmed {
			machine.lastCommandAt = time.Time{} // ask it at once
		}
		l.passDueNow = true
	}
	if machine.agent.RepliesLost || machine.agent.EpochUnconfirmed {
		l.probeAgent(machine, now)
	}
	if !known {
		l.passDueNow = true
		machine.markStale()
		l.machineRegistered(machine, now)
	}
	if before != machine.agent.Epoch {
		if before != 0 && len(ev) > 0 {
			l.deps.Log.Info("machine began a new session", "rig", machine.agent.Name, "shift", machine.agent.Epoch, "lost", len(ev))
		}
		machine.images = keepImages(machine.images)
		machine.markStale()
		l.passDueNow = true
	}
	l.applyEvents(machine, ev, now)
	if !machine.agent.ReclaimAt.IsZero() {
		l.drain(machine, now)
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
	if !l.post(ctx, heartbeatReceived{rep, arrived, ch}) {
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
	if !l.certainty.Holds(now) {
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
	machine := l.fleet.getOrAdd(rep.Machine, now)
	l.counts.Reports++
	if machine.agent.IsDuplicate(rep) {
		l.counts.Copies++
		// A late copy tells nothing new, and whoever sent it has given up
		// waiting: it must not count as contact with the worker.
		ch <- Reply{Status: 503}
		return
	}
	// A report that an answer to /commands has overtaken is not fresh, but
	// its sender waits for the answer.
	l.applyHeartbeat(machine, rep, false, now)
	if l.term.ended() {
		ch <- Reply{}
		return
	}
	machine.agent.HeartbeatSequence = max(machine.agent.HeartbeatSequence, rep.Sequence)
	if rep.Epoch <= machine.agent.ExpiredEpoch || machine.agent.RepliesLost {
		// It must come to the end of its lease: a 200 might always arrive.
		ch <- Reply{Status: 503}
		return
	}
	machine.agent.LastAcknowledged = arrived
	if machine.pending != nil {
		// The worker has given up the earlier report.
		machine.pending.reply <- Reply{Status: 503}
	}
	hold := constants.ReplyHold
	if len(machine.agent.Attempts) == 0 {
		hold = min(constants.IdleReplyHold, l.lease/4)
	}
	machine.pending = &pendingReply{shift: rep.Epoch, arrived: arrived, until: arrived.Add(hold), reply: ch}
	l.pendingReplies[machine] = true
	if machine.agent.HasCommands() {
		l.wakeReply(machine)
	}
}

// wakeReply has a waiting report answered, as there are orders for it.
func (l *Leader) wakeReply(machine *machineState) {
	if machine.pending != nil {
		l.repliesDue = append(l.repliesDue, machine)
	}
}

// flushReplies answers the reports that have waited long enough or that orders can
// go with.
func (l *Leader) flushReplies(now time.Time) {
	for _, machine := range l.repliesDue {
		l.replyIfDue(machine, now)
	}
	l.repliesDue = l.repliesDue[:0]
	if now.Before(l.nextFlush) {
		return
	}
	l.nextFlush = now.Add(constants.ReplyFlushInterval)
	for machine := range l.pendingReplies {
		l.replyIfDue(machine, now)
	}
}

// hasUnrecordedStart tells whether a start waits only for its record: its `run` can go
// into the present answer, and would wait for the worker's next report else.
func (m *machineState) hasUnrecordedStart() bool {
	for _, a := range m.agent.Attempts {
		if !a.RunSent && !a.StopRequested && a.Epoch == m.agent.Epoch {
			return true
		}
	}
	return false
}

// replyIfDue answers a waiting report if it is time to.
func (l *Leader) replyIfDue(machine *machineState, now time.Time) {
	w := machine.pending
	if w == nil {
		delete(l.pendingReplies, machine)
		return
	}
	if w.shift != machine.agent.Epoch || machine.agent.RepliesLost {
		w.reply <- Reply{Status: 503}
	} else {
		if !machine.agent.HasCommands() && (now.Before(w.until) || now.Before(w.arrived.Add(constants.PendingStartReplyHold)) && machine.hasUnrecordedStart()) {
			return
		}
		orders := machine.agent.Commands(true, now)
		if orders == nil {
			orders = []workers.Command{}
		}
		l.counts.Orders += uint64(len(orders))
		w.reply <- Reply{Status: 200, Answer: workers.CommandBatch{Token: l.term.number(), Commands: orders}}
	}
	machine.pending = nil
	delete(l.pendingReplies, machine)
}
