package leader

import (
	"context"
	"math/rand/v2"
	"time"
)

// jitter returns a random duration between 0.5 and 1.5 times d, so that the nodes do not retry
// simultaneously.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// pause sleeps for d with jitter, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(jitter(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
