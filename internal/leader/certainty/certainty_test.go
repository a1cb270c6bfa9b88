package certainty

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// proofModel is the expected state of a tracker.
type proofModel struct {
	window          time.Duration
	latest, watched time.Time // request times of the latest proof, and of the watch's last answer
}

// TestProofsOnlyAdvance checks that, for any proofs in any order, cancellations are known up
// to the latest request that was answered, and that WatchedUntil is the time of the watch
// request that was answered last.
func TestProofsOnlyAdvance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		model := proofModel{window: 20 * time.Second}
		tracker := NewTracker(model.window)
		for range rapid.IntRange(1, 30).Draw(t, "proofs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 15000).Draw(t, "pause")) * time.Millisecond)
			askedAt := now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "late")) * time.Millisecond)
			if rapid.Bool().Draw(t, "attested") {
				want := !tracker.MayAcknowledge(now) && askedAt.After(model.latest)
				if restored := tracker.RecordAttestation(askedAt, now); restored != want {
					t.Fatalf("acknowledgements restored: %v, want %v", restored, want)
				}
			} else {
				tracker.RecordWatch(askedAt)
				model.watched = askedAt
			}
			if askedAt.After(model.latest) {
				model.latest = askedAt
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
	if got := tracker.MayAcknowledge(now); got != (since <= m.window) {
		t.Fatalf("acknowledgements permitted: %v, %v after the last proof", got, since)
	}
}

// TestNoAcknowledgementWithoutProof checks that a leader that has read nothing acknowledges no
// heartbeats.
func TestNoAcknowledgementWithoutProof(t *testing.T) {
	tracker := NewTracker(20 * time.Second)
	if tracker.MayAcknowledge(time.Now()) {
		t.Error("acknowledgements permitted without any proof")
	}
}

// TestWindowLeavesTimeForLeases checks that a lease that begins at the end of the window,
// measured by a slow clock, and the worker's kill delay end within the promised time, measured
// by a fast clock.
func TestWindowLeavesTimeForLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := rapid.Float64Range(2, 30).Draw(t, "lease")
		timings := config.WorkerTimings{LeaseS: lease, CancelWithinS: lease + rapid.Float64Range(5, 60).Draw(t, "beyond")}
		window := Window(timings)
		if window <= time.Second {
			return // at its minimum, the window does not guarantee the bound
		}
		stretch := func(seconds, drift float64) time.Duration { return config.Seconds(seconds * (1 + drift)) }
		tasksEnd := window + stretch(timings.LeaseS, constants.ClockDrift) + constants.WorkerKillDelay
		if limit := stretch(timings.CancelWithinS, -constants.ClockDrift); tasksEnd > limit+time.Microsecond {
			t.Fatalf("tasks end %v after the promised time", tasksEnd-limit)
		}
	})
}
