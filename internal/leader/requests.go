package leader

import (
	"context"
	"sync/atomic"
)

// publishedState holds the part of the leader's state that other goroutines can read without
// waiting for the loop.
type publishedState struct {
	snapshot atomic.Pointer[publishedSnapshot]
}

// publishedSnapshot is one version of the published state. It is never modified after
// publication.
type publishedSnapshot struct {
	// failover describes the current step of the failover; empty once it is complete.
	failover string
	// machines is the number of known machines.
	machines int
}

// update publishes the state if it has changed. Only the goroutine that owns the leader's
// state may call it.
func (p *publishedState) update(failover string, machines int) {
	current := publishedSnapshot{failover: failover, machines: machines}
	if p.load() != current {
		p.snapshot.Store(&current)
	}
}

// load returns the last published state.
func (p *publishedState) load() publishedSnapshot {
	if s := p.snapshot.Load(); s != nil {
		return *s
	}
	return publishedSnapshot{}
}

// publish makes the current state visible to other goroutines.
func (l *Leader) publish() { l.published.update(l.failover.progressText(), l.fleet.len()) }

// FailoverProgress describes the current step of the failover. It is empty once the failover
// is complete.
func (l *Leader) FailoverProgress() string { return l.published.load().failover }

// MachineCount returns the number of known machines.
func (l *Leader) MachineCount() int { return l.published.load().machines }

// queryLoop posts a request event to the loop and waits for the reply. It reports false if the
// term or ctx ends first.
func queryLoop[T any](ctx context.Context, l *Leader, newRequest func(reply chan<- T) event) (answer T, ok bool) {
	reply := make(chan T, 1)
	if !l.post(ctx, newRequest(reply)) {
		return answer, false
	}
	select {
	case answer = <-reply:
		return answer, true
	case <-ctx.Done():
	case <-l.done:
	}
	return answer, false
}

// Status returns the operators' view of the term. It reports false if the term or ctx ends
// first.
func (l *Leader) Status(ctx context.Context) (status Status, ok bool) {
	return queryLoop(ctx, l, func(reply chan<- Status) event { return statusRequested{reply} })
}

// Progress counts the completed and running tasks of a job.
type Progress struct{ Done, Running int }

// Progress returns the progress of the given jobs, for display. It omits unknown jobs, and
// returns nil if the term or ctx ends first.
func (l *Leader) Progress(ctx context.Context, ids []string) map[string]Progress {
	progress, _ := queryLoop(ctx, l, func(reply chan<- map[string]Progress) event { return progressRequested{ids, reply} })
	return progress
}
