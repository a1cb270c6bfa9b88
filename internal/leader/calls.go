package leader

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// outboundCall calls an outside system from its own goroutine. The loop runs the returned
// apply function as an event; nil means there is nothing to apply.
type outboundCall func(ctx context.Context) (apply func())

// outboundCalls holds the calls to outside systems (state service, cloud, workers, other
// nodes) that the loop has queued but not yet started. Because decision code only queues
// calls, it needs no context or goroutines, and tests can inspect the queue.
type outboundCalls struct {
	queued []outboundCall
}

// queue schedules a call to start after the current batch of events has been applied.
func (c *outboundCalls) queue(call outboundCall) { c.queued = append(c.queued, call) }

// startCalls starts each queued call on its own goroutine in group, which waits for all of
// them.
func (l *Leader) startCalls(ctx context.Context, group *errgroup.Group) {
	for _, call := range l.calls.queued {
		group.Go(func() error {
			if apply := call(ctx); apply != nil {
				l.post(ctx, callFinished{apply}) // dropped once the term has ended
			}
			return nil // a failed call must not cancel the group; apply handles the error
		})
	}
	clear(l.calls.queued) // releases the closures for garbage collection
	l.calls.queued = l.calls.queued[:0]
}
