package leader

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"thornnotch/internal/constants"
)

// The way of an event, with the functions to look for:
//
//  1. It comes in. A heartbeat is posted by the HTTP handler (Heartbeat), a submission or
//     cancellation by the watch (watchJobs), the result of a call by the call's goroutine
//     (startCalls). Each is an event (events.go).
//  2. The loop applies it to the state: applyHeartbeat and applyEvents for what a machine
//     reports, addJob and jobRecordDeleted for jobs. What must outlive the leader goes into
//     the write-ahead log at once (logAttempt, logDone, logMetadata), and a pass is requested
//     if placement may decide otherwise than before.
//  3. runSchedulingPass, if due, shows the state to placement and turns its plan into
//     attempts (startPlanned) and stops (preempt). The attempts are logged.
//  4. commit sends what the log has gathered as one transaction, unless one is under way.
//     Once that stands, committed has the log call back those that wait for it: allowStart
//     lets attempts start, allowForget lets workers forget what they have reported.
//  5. flushReplies answers the heartbeats that are held back, with the commands that have
//     come up for their machines. Stops need not wait for a heartbeat: sendStops queues a
//     direct command, which startCalls sends.

// Run leads until ctx ends or the term does. It waits for all goroutines of the term.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	group, ctx := errgroup.WithContext(ctx)
	revision, err := l.loadRecords(ctx)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	// A process that was frozen while it read may have been deposed meanwhile.
	l.term.resume(time.Now())
	l.verifyTerm()
	group.Go(func() error { return l.watchJobs(ctx, revision) })
	if l.deps.Attest != nil {
		group.Go(func() error { return l.collectAttestations(ctx) })
	}
	group.Go(func() error { return l.loop(ctx, group) })
	return group.Wait()
}

// loop takes in events until the term ends. It alone changes the scheduling state.
func (l *Leader) loop(ctx context.Context, group *errgroup.Group) error {
	tick := time.NewTicker(constants.TickInterval)
	defer tick.Stop()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for !l.term.ended() {
		var began time.Time
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.events:
			began = l.beginRound()
			l.applyAll(e)
		case <-tick.C:
			began = l.beginRound()
			l.tick(began)
			l.logLoad(began)
		case <-alarm.C:
			began = l.beginRound()
		}
		l.startCalls(ctx, group)
		now := l.decide()
		l.startCalls(ctx, group)
		l.flushReplies(now)
		l.counts.BusySeconds += time.Since(began).Seconds()
		if next := l.nextAlarm(); !next.IsZero() {
			alarm.Reset(max(next.Sub(now), 0))
		}
	}
	return l.term.err()
}

// beginRound notes that the loop is at work, and since when.
func (l *Leader) beginRound() time.Time {
	now := time.Now()
	if stall := l.term.beginRound(now); stall > 0 {
		l.deps.Log.Warn("loop stood still", "stall_s", stall.Seconds(), "term", l.term.number())
	}
	return now
}

// applyAll applies an event and what else has come in, before the costly part.
func (l *Leader) applyAll(first event) {
	l.counts.Events += uint64(1 + len(l.events))
	first.apply(l)
	for waiting := len(l.events); waiting > 0 && !l.term.ended(); waiting-- {
		(<-l.events).apply(l)
	}
}

// decide runs a scheduling pass and sends a transaction, each if it is due. It returns the
// time after the pass.
func (l *Leader) decide() time.Time {
	now := time.Now()
	if l.passes.due(now) {
		l.runSchedulingPass(now)
		now = time.Now()
	}
	l.commit(now)
	return now
}

// nextAlarm is when the loop must look again if nothing comes in.
func (l *Leader) nextAlarm() (at time.Time) {
	sooner := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	sooner(l.passes.nextAt())
	sooner(l.commits.due())
	sooner(l.replies.nextDue())
	return at
}
