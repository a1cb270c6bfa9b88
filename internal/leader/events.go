package leader

import (
	"context"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// event is something that another goroutine hands to the loop. The loop alone applies it,
// so that the scheduling state needs no locks.
//
// The kinds are: heartbeatReceived and statusRequested, progressRequested from this node's
// HTTP handlers and peers, jobsChanged from the watch on the open jobs, watchedUntilRequested
// and attested from the attestation duty, and callFinished from calls that the loop itself had
// started. The last carries a function, as its result concerns only the component that
// queued the call: a type for each call would repeat that function's captured variables as
// fields.
type event interface {
	apply(l *Leader)
}

// post hands an event to the loop. It reports false once the term is over.
func (l *Leader) post(ctx context.Context, e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
	case <-ctx.Done():
	}
	return false
}

// heartbeatReceived is a worker's heartbeat that waits for its reply.
type heartbeatReceived struct {
	heartbeat *workers.Heartbeat
	arrived   time.Time
	reply     chan<- Reply
}

func (e heartbeatReceived) apply(l *Leader) { l.heartbeat(e.heartbeat, e.arrived, e.reply) }

// statusRequested is an operator's question for the state of the term.
type statusRequested struct{ reply chan<- Status }

func (e statusRequested) apply(l *Leader) { e.reply <- l.status(time.Now()) }

// progressRequested is the question how far jobs are.
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

// jobsChanged is an answer to the watch on the open jobs: submissions and cancellations up
// to a moment after it was asked.
type jobsChanged struct {
	asked   time.Time
	changes []statestore.Change
}

func (e jobsChanged) apply(l *Leader) {
	now := time.Now()
	l.certainty.Watched(e.asked)
	for _, c := range e.changes {
		if c.Delete != "" {
			l.jobRecordDeleted(c.Delete[len(jobs.OpenPrefix):], now)
			continue
		}
		l.addJob(c.Put, c.Value, c.Revision, now)
	}
}

// watchedUntilRequested is the question up to when the state service itself has told of all
// cancellations.
type watchedUntilRequested struct{ reply chan<- time.Time }

func (e watchedUntilRequested) apply(l *Leader) { e.reply <- l.certainty.WatchedUntil() }

// attested is what all nodes attest to, asked at this time.
type attested struct {
	cancelled []string
	asked     time.Time
}

func (e attested) apply(l *Leader) { l.applyAttestation(e.cancelled, e.asked, time.Now()) }

// callFinished is the result of a call that the loop had started.
type callFinished struct{ handle func() }

func (e callFinished) apply(*Leader) { e.handle() }
