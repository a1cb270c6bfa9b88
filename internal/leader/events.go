package leader

import (
	"context"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// event is handed to the loop by another goroutine. Only the loop applies events, so the
// scheduling state needs no locks.
//
// Events come from these sources:
//
//   - heartbeatReceived, statusRequested and progressRequested from this node's HTTP handlers
//     and from peers;
//   - openJobsChanged from the watch on the open jobs;
//   - watchedUntilRequested and attestationsReceived from collectAttestations;
//   - callFinished from calls that the loop itself started.
//
// callFinished carries a function because the result of a call concerns only the component that
// queued the call. A separate type for each call would just repeat the captured variables of
// that function as fields.
type event interface {
	apply(l *Leader)
}

// post sends an event to the loop. It reports false if the term or ctx has ended.
func (l *Leader) post(ctx context.Context, e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
	case <-ctx.Done():
	}
	return false
}

// heartbeatReceived is a worker's heartbeat that awaits a reply.
type heartbeatReceived struct {
	heartbeat *workers.Heartbeat
	arrived   time.Time
	reply     chan<- Reply
}

func (e heartbeatReceived) apply(l *Leader) { l.heartbeat(e.heartbeat, e.arrived, e.reply) }

// statusRequested asks for the operators' view of the term.
type statusRequested struct{ reply chan<- Status }

func (e statusRequested) apply(l *Leader) { e.reply <- l.status(time.Now()) }

// progressRequested asks for the progress of jobs.
type progressRequested struct {
	ids   []string
	reply chan<- map[string]Progress
}

func (e progressRequested) apply(l *Leader) {
	progress := make(map[string]Progress, len(e.ids))
	for _, id := range e.ids {
		if j := l.jobs.get(id); j != nil {
			progress[id] = Progress{j.progress.completed(), j.attempts.runningTasks()}
		}
	}
	e.reply <- progress
}

// openJobsChanged is the result of one watch request on the open jobs. It contains all
// submissions and cancellations up to some moment after askedAt.
type openJobsChanged struct {
	askedAt time.Time
	changes []statestore.Change
}

func (e openJobsChanged) apply(l *Leader) {
	now := time.Now()
	l.staleness.RecordWatch(e.askedAt)
	for _, c := range e.changes {
		if c.Delete != "" {
			l.jobRecordDeleted(c.Delete[len(jobs.OpenPrefix):], now)
			continue
		}
		l.addJob(c.Put, c.Value, c.Revision, now)
	}
}

// watchedUntilRequested asks for the time up to which the watch has reported all
// cancellations.
type watchedUntilRequested struct{ reply chan<- time.Time }

func (e watchedUntilRequested) apply(l *Leader) { e.reply <- l.staleness.WatchedUntil() }

// attestationsReceived holds the cancellations that the nodes, asked at askedAt, have
// attested.
type attestationsReceived struct {
	cancelled []string
	askedAt   time.Time
}

func (e attestationsReceived) apply(l *Leader) {
	l.applyAttestation(e.cancelled, e.askedAt, time.Now())
}

// callFinished carries the result of a call that the loop started.
type callFinished struct{ applyResult func() }

func (e callFinished) apply(*Leader) { e.applyResult() }
