package leader

import (
	"context"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// waiter is a report that has not been answered yet.
type waiter struct {
	shift   uint64
	arrived time.Time
	until   time.Time
	reply   chan<- Reply
}

// observe takes in a report, by whichever way it came.
func (l *Leader) observe(r *machine, rep *workers.Heartbeat, direct bool, now time.Time) (fresh bool) {
	if rep.Token > l.grant.Term {
		l.end(errDeposed)
		return false
	}
	known := r.m.Registered
	r.blind = known && now.Sub(r.m.LastHeartbeat) > l.quiet()
	before, deaf, doubt := r.m.Epoch, r.m.RepliesLost, r.m.EpochUnconfirmed
	ev, fresh := r.m.Observe(rep, l.grant.Term, direct, now)
	if !fresh {
		return false
	}
	r.suspect = r.m.StartOverdue(now)
	if r.m.RepliesLost != deaf {
		l.markStale(r)
		l.d.Log.Info("machine does not hear", "rig", r.m.Name, "deaf", r.m.RepliesLost)
		l.dirty = true
	}
	r.m.ConfirmEpoch(l.lease, now)
	if r.m.EpochUnconfirmed != doubt {
		if r.m.EpochUnconfirmed {
			r.called = time.Time{} // ask it at once
		}
		l.dirty = true
	}
	if r.m.RepliesLost || r.m.EpochUnconfirmed {
		l.probe(r, now)
	}
	if !known {
		l.dirty = true
		l.markStale(r)
		l.arrived(r, now)
	}
	if before != r.m.Epoch {
		if before != 0 && len(ev) > 0 {
			l.d.Log.Info("machine began a new session", "rig", r.m.Name, "shift", r.m.Epoch, "lost", len(ev))
		}
		r.images = keepImages(r.images)
		l.markStale(r)
		l.dirty = true
	}
	l.events(r, ev, now)
	if !r.m.ReclaimAt.IsZero() {
		l.drain(r, now)
	}
	return true
}

// Reply is the answer to a report.
type Reply struct {
	Status int
	Answer workers.CommandBatch
}

// Hello answers a worker's report. The answer may be kept back for a moment
// so that orders can go with it.
func (l *Leader) Hello(ctx context.Context, rep *workers.Heartbeat) (Reply, bool) {
	ch := make(chan Reply, 1)
	arrived := time.Now()
	if !l.do(ctx, func() { l.hello(rep, arrived, ch) }) {
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

func (l *Leader) hello(rep *workers.Heartbeat, arrived time.Time, ch chan<- Reply) {
	now := time.Now()
	if now.Sub(l.sure) > l.certainty {
		// Another node may have accepted a cancellation that we can't know
		// of; the workers' leases must run out before its time is up.
		ch <- Reply{Status: 503}
		return
	}
	if _, gone := l.market.returned[rep.Machine]; gone {
		// The cloud has confirmed its end: this report was under way since.
		ch <- Reply{Status: 503}
		return
	}
	r := l.machine(rep.Machine, now)
	l.counts.Reports++
	if r.m.IsDuplicate(rep) {
		l.counts.Copies++
		// A late copy tells nothing new, and whoever sent it has given up
		// waiting: it must not count as contact with the worker.
		ch <- Reply{Status: 503}
		return
	}
	// A report that an answer to /commands has overtaken is not fresh, but
	// its sender waits for the answer.
	l.observe(r, rep, false, now)
	if l.ended != nil {
		ch <- Reply{}
		return
	}
	r.m.HeartbeatSequence = max(r.m.HeartbeatSequence, rep.Sequence)
	if rep.Epoch <= r.m.ExpiredEpoch || r.m.RepliesLost {
		// It must come to the end of its lease: a 200 might always arrive.
		ch <- Reply{Status: 503}
		return
	}
	r.m.LastAcknowledged = arrived
	if r.waiter != nil {
		// The worker has given up the earlier report.
		r.waiter.reply <- Reply{Status: 503}
	}
	hold := constants.AnswerHold
	if len(r.m.Attempts) == 0 {
		hold = min(constants.IdleHold, l.lease/4)
	}
	r.waiter = &waiter{shift: rep.Epoch, arrived: arrived, until: arrived.Add(hold), reply: ch}
	l.waiters[r] = true
	if r.m.HasCommands() {
		l.answerSoon(r)
	}
}

// wake has a waiting report answered, as there are orders for it.
func (l *Leader) answerSoon(r *machine) {
	if r.waiter != nil {
		l.woken = append(l.woken, r)
	}
}

// flush answers the reports that have waited long enough or that orders can
// go with.
func (l *Leader) flush(now time.Time) {
	for _, r := range l.woken {
		l.answer(r, now)
	}
	l.woken = l.woken[:0]
	if now.Before(l.nextFlush) {
		return
	}
	l.nextFlush = now.Add(constants.FlushEvery)
	for r := range l.waiters {
		l.answer(r, now)
	}
}

// startsPend tells whether a start waits only for its record: its `run` can go
// into the present answer, and would wait for the worker's next report else.
func (r *machine) startsPend() bool {
	for _, a := range r.m.Attempts {
		if !a.Sent && !a.StopRequested && a.Epoch == r.m.Epoch {
			return true
		}
	}
	return false
}

// answer answers a waiting report if it is time to.
func (l *Leader) answer(r *machine, now time.Time) {
	w := r.waiter
	if w == nil {
		delete(l.waiters, r)
		return
	}
	if w.shift != r.m.Epoch || r.m.RepliesLost {
		w.reply <- Reply{Status: 503}
	} else {
		if !r.m.HasCommands() && (now.Before(w.until) || now.Before(w.arrived.Add(constants.PendingHold)) && r.startsPend()) {
			return
		}
		orders := r.m.Commands(true, now)
		if orders == nil {
			orders = []workers.Command{}
		}
		l.counts.Orders += uint64(len(orders))
		w.reply <- Reply{Status: 200, Answer: workers.CommandBatch{Token: l.grant.Term, Commands: orders}}
	}
	r.waiter = nil
	delete(l.waiters, r)
}
