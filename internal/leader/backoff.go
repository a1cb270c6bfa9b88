package leader

import (
	"context"
	"math/rand/v2"
	"time"
)

// jitter spreads a pause, so that nodes don't act in step.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// pause waits for about d.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(jitter(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
