// Package backoff provides the waits between retries.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jitter returns a random duration of 0.5 to 1.5 times d, so that the nodes do not retry
// simultaneously. d must be positive.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
