package certainty

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// proofModel is what a tracker must know after some proofs.
type proofModel struct {
	window          time.Duration
	latest, watched time.Time // questions that were answered at all, and by the watch
}

// TestProofsOnlyAdd: whatever proofs come in, in whatever order, certainty reaches up to the
// latest question that any answered, and the watch's own up to the last one that it answered.
func TestProofsOnlyAdd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		model := proofModel{window: 20 * time.Second}
		tracker := NewTracker(model.window)
		for range rapid.IntRange(1, 30).Draw(t, "proofs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 15000).Draw(t, "pause")) * time.Millisecond)
			asked := now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "late")) * time.Millisecond)
			if rapid.Bool().Draw(t, "attested") {
				want := !tracker.Holds(now) && asked.After(model.latest)
				if restored := tracker.Attested(asked, now); restored != want {
					t.Fatalf("restored %v, want %v", restored, want)
				}
			} else {
				tracker.Watched(asked)
				model.watched = asked
			}
			if asked.After(model.latest) {
				model.latest = asked
			}
			model.check(t, &tracker, now)
		}
	})
}

func (m proofModel) check(t *rapid.T, tracker *Tracker, now time.Time) {
	t.Helper()
	if got := tracker.WatchedUntil(); !got.Equal(m.watched) {
		t.Fatalf("watched until %v, want %v", got, m.watched)
	}
	since := now.Sub(m.latest)
	if got := tracker.SinceProof(now); got != since {
		t.Fatalf("last proof %v ago, want %v", got, since)
	}
	if got := tracker.Holds(now); got != (since <= m.window) {
		t.Fatalf("holds: %v, %v after the last proof", got, since)
	}
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
