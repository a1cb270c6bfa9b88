package leader

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"thornnotch/internal/constants"
)

// How an event is processed, and by which functions:
//
//  1. It arrives. A heartbeat is posted by the HTTP handler (Heartbeat), a submission or
//     cancellation by the watch (watchJobs), and the result of a call by the goroutine that
//     made it (startCalls). Each is an event (events.go).
//  2. The loop applies it to the state: applyHeartbeat and applyEvents for what a machine
//     reports, addJob and jobRecordDeleted for jobs. Changes that must survive the leader are
//     added to the write-ahead log immediately (logAttempt, logDone, logMetadata). A
//     scheduling pass is requested if it might now decide differently.
//  3. If a pass is due, runSchedulingPass passes a snapshot of the state to placement and
//     turns the resulting plan into attempts (startPlannedTasks) and preemptions (preempt). The
//     attempts are logged.
//  4. commit sends the pending log changes as one transaction, unless another one is in
//     flight. Once it is committed, applyCommitResult has the log call its callbacks:
//     allowStart lets attempts start, and allowForget lets workers forget what they have
//     reported.
//  5. flushReplies answers held heartbeats with the commands that are ready for their
//     machines. Stops do not wait for a heartbeat: sendStops queues a direct command, which
//     startCalls sends.

// Run leads until ctx or the term ends, and waits for all goroutines of the term.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	group, ctx := errgroup.WithContext(ctx)
	revision, err := l.loadRecords(ctx)
	if err != nil {
		return fmt.Errorf("load records of earlier terms: %w", err)
	}
	// If the process was frozen while loading, another node may have taken over.
	l.term.markResumed(time.Now())
	l.verifyTerm()
	group.Go(func() error { return l.watchJobs(ctx, revision) })
	if l.deps.Attest != nil {
		group.Go(func() error { return l.collectAttestations(ctx) })
	}
	group.Go(func() error { return l.loop(ctx, group) })
	return group.Wait()
}

// loop processes events until the term ends. Only the loop changes the scheduling state.
func (l *Leader) loop(ctx context.Context, group *errgroup.Group) error {
	tick := time.NewTicker(constants.TickInterval)
	defer tick.Stop()
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for !l.term.ended() {
		var startedAt time.Time
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.events:
			startedAt = l.beginIteration()
			l.applyPending(e)
		case <-tick.C:
			startedAt = l.beginIteration()
			l.tick(startedAt)
			l.logLoad(startedAt)
		case <-wakeup.C:
			startedAt = l.beginIteration()
		}
		l.startCalls(ctx, group)
		now := l.scheduleAndCommit()
		l.startCalls(ctx, group)
		l.flushReplies(now)
		l.counts.BusySeconds += time.Since(startedAt).Seconds()
		if next := l.nextWakeup(); !next.IsZero() {
			wakeup.Reset(max(next.Sub(now), 0))
		}
	}
	return l.term.err()
}

// beginIteration returns the time at which this iteration of the loop starts, and logs a
// warning if the loop had stalled.
func (l *Leader) beginIteration() time.Time {
	now := time.Now()
	if stall := l.term.beginIteration(now); stall > 0 {
		l.deps.Log.Warn("event loop stalled", "stall_s", stall.Seconds(), "term", l.term.number())
	}
	return now
}

// applyPending applies an event and all others that are queued, so that one pass and one
// transaction cover them all.
func (l *Leader) applyPending(first event) {
	l.counts.Events += uint64(1 + len(l.events))
	first.apply(l)
	for waiting := len(l.events); waiting > 0 && !l.term.ended(); waiting-- {
		(<-l.events).apply(l)
	}
}

// scheduleAndCommit runs a scheduling pass and sends a transaction, each if due. It returns
// the time after the pass.
func (l *Leader) scheduleAndCommit() time.Time {
	now := time.Now()
	if l.passes.due(now) {
		l.runSchedulingPass(now)
		now = time.Now()
	}
	l.commit(now)
	return now
}

// nextWakeup returns when the loop must wake up even if no event arrives, or the zero time if
// it need not.
func (l *Leader) nextWakeup() (at time.Time) {
	wakeBy := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	wakeBy(l.passes.nextAt())
	wakeBy(l.commits.dueAt())
	wakeBy(l.replies.nextDue())
	return at
}
