package backoff

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestJitterStaysInRange checks that a jittered duration is 0.5 to 1.5 times the given one.
func TestJitterStaysInRange(t *testing.T) {
	for range 1000 {
		if d := Jitter(time.Second); d < time.Second/2 || d >= 3*time.Second/2 {
			t.Fatalf("got %v", d)
		}
	}
}

// TestSleepEndsWithContext checks that Sleep takes the given time, and less if the context ends.
func TestSleepEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		for _, want := range []time.Duration{2 * time.Second, time.Second, 0} {
			start := time.Now()
			Sleep(ctx, 2*time.Second)
			if elapsed := time.Since(start); elapsed != want {
				t.Errorf("slept %v, want %v", elapsed, want)
			}
		}
	})
}
