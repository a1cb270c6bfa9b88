package certainty

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// TestProofsOnlyAdd: whatever proofs come in, in whatever order, certainty reaches up to the
// latest question that any answered, and the watch's own up to the last one that it answered.
func TestProofsOnlyAdd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 20 * time.Second
		start := time.Unix(1000, 0)
		now, tracker := start, NewTracker(window)
		var latest, watched time.Time
		for range rapid.IntRange(1, 30).Draw(t, "proofs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 15000).Draw(t, "pause")) * time.Millisecond)
			asked := now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "late")) * time.Millisecond)
			held := tracker.Holds(now)
			if rapid.Bool().Draw(t, "attested") {
				if restored := tracker.Attested(asked, now); restored != (!held && asked.After(latest)) {
					t.Fatalf("restored %v: held %v, asked %v after the last proof", restored, held, asked.Sub(latest))
				}
			} else {
				tracker.Watched(asked)
				watched = asked
			}
			if asked.After(latest) {
				latest = asked
			}
			if !tracker.WatchedUntil().Equal(watched) || tracker.SinceProof(now) != now.Sub(latest) {
				t.Fatalf("watched until %v, want %v; proof %v ago, want %v", tracker.WatchedUntil(), watched, tracker.SinceProof(now), now.Sub(latest))
			}
			if tracker.Holds(now) != (now.Sub(latest) <= window) {
				t.Fatalf("holds: %v, %v after the last proof", tracker.Holds(now), now.Sub(latest))
			}
		}
	})
}

// TestWithoutProofNothingHolds: a leader that has read nothing acknowledges nobody.
func TestWithoutProofNothingHolds(t *testing.T) {
	tracker := NewTracker(20 * time.Second)
	if tracker.Holds(time.Now()) {
		t.Error("workers are acknowledged before anything is known")
	}
}

// TestWindowLeavesLeasesTheirTime: from the end of the window a lease, by a slow clock, and
// the worker's delay fit into the time that users are promised, by a fast one.
func TestWindowLeavesLeasesTheirTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := rapid.Float64Range(2, 30).Draw(t, "lease")
		timings := config.WorkerTimings{LeaseS: lease, CancelWithinS: lease + rapid.Float64Range(5, 60).Draw(t, "beyond")}
		window := Window(timings)
		if window <= time.Second {
			return // the floor: the argument does not hold below it
		}
		stretch := func(seconds, drift float64) time.Duration { return config.Seconds(seconds * (1 + drift)) }
		gone := window + stretch(timings.LeaseS, constants.ClockDrift) + constants.WorkerKillDelay
		if limit := stretch(timings.CancelWithinS, -constants.ClockDrift); gone > limit+time.Microsecond {
			t.Fatalf("tasks are gone %v after the promised time", gone-limit)
		}
	})
}
