package leader

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// outboundCall makes a call to an outside system, beside the loop. What it returns is
// applied by the loop, as an event; nil if nothing follows.
type outboundCall func(ctx context.Context) (apply func())

// outboundCalls are the calls to outside systems (state service, cloud, workers, other
// nodes) that the loop has decided on and not started yet. Decisions only queue them: so
// the decisions need no context and no goroutines, and tests see what would be called.
type outboundCalls struct {
	queued []outboundCall
}

// queue has a call started once the present events are handled.
func (c *outboundCalls) queue(call outboundCall) { c.queued = append(c.queued, call) }

// startCalls starts the queued calls, each on a goroutine of the group, which waits for
// them.
func (l *Leader) startCalls(ctx context.Context, group *errgroup.Group) {
	for _, call := range l.calls.queued {
		group.Go(func() error {
			if apply := call(ctx); apply != nil {
				l.post(ctx, callFinished{apply}) // once the term is over nobody needs it
			}
			return nil // a failed call ends nothing: what it returns deals with that
		})
	}
	clear(l.calls.queued) // started ones are not kept alive
	l.calls.queued = l.calls.queued[:0]
}
