package leader

import (
	"context"
	"sync/atomic"
)

// publishedState is what other goroutines read of the leader without waiting for the loop.
type publishedState struct {
	snapshot atomic.Pointer[publishedSnapshot]
}

type publishedSnapshot struct {
	// failover is how far the failover has come; empty once it is over.
	failover string
	// machines is how many machines are known.
	machines int
}

// update publishes the present state, if it differs. Only the goroutine that owns the
// leader's state may call it.
func (p *publishedState) update(failover string, machines int) {
	current := publishedSnapshot{failover: failover, machines: machines}
	if p.load() != current {
		p.snapshot.Store(&current)
	}
}

// load is the state that was published last.
func (p *publishedState) load() publishedSnapshot {
	if s := p.snapshot.Load(); s != nil {
		return *s
	}
	return publishedSnapshot{}
}

// publish has other goroutines see the present state.
func (l *Leader) publish() { l.published.update(l.failover.progressText(), l.fleet.len()) }

// FailoverProgress tells how far the failover has come; empty once it is over.
func (l *Leader) FailoverProgress() string { return l.published.load().failover }

// Machines is how many machines are known.
func (l *Leader) Machines() int { return l.published.load().machines }

// ask hands a question to the loop and waits for its answer; ok is false once the term is
// over.
func ask[T any](ctx context.Context, l *Leader, question func(reply chan<- T) event) (answer T, ok bool) {
	reply := make(chan T, 1)
	if !l.post(ctx, question(reply)) {
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

// Status takes a snapshot of the term; ok is false once it is over.
func (l *Leader) Status(ctx context.Context) (status Status, ok bool) {
	return ask(ctx, l, func(reply chan<- Status) event { return statusRequested{reply} })
}

// Progress is how far a job is.
type Progress struct{ Done, Running int }

// Progress tells how far these jobs are, for display. Jobs that are not known here are left
// out.
func (l *Leader) Progress(ctx context.Context, ids []string) map[string]Progress {
	progress, _ := ask(ctx, l, func(reply chan<- map[string]Progress) event { return progressRequested{ids, reply} })
	return progress
}
