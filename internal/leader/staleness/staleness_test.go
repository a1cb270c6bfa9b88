package staleness

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// stalenessModel is the expected state of a tracker.
type stalenessModel struct {
	limit time.Duration
	// latest is the time of the latest request that was answered, watched that of the watch
	// request that was answered last.
	latest, watched time.Time
}

// TestKnownUntilOnlyAdvances checks that, for any answers in any order, cancellations are
// known up to the latest request that was answered, and that WatchedUntil is the time of the
// watch request that was answered last.
func TestKnownUntilOnlyAdvances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		model := stalenessModel{limit: 20 * time.Second}
		tracker := NewTracker(model.limit)
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
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

func (m stalenessModel) check(t *rapid.T, tracker *Tracker, now time.Time) {
	t.Helper()
	if got := tracker.WatchedUntil(); !got.Equal(m.watched) {
		t.Fatalf("watched until %v, want %v", got, m.watched)
	}
	staleness := now.Sub(m.latest)
	if got := tracker.Staleness(now); got != staleness {
		t.Fatalf("staleness %v, want %v", got, staleness)
	}
	if got := tracker.MayAcknowledge(now); got != (staleness <= m.limit) {
		t.Fatalf("acknowledgements permitted: %v, at staleness %v", got, staleness)
	}
}

// TestNoAcknowledgementWhileNothingKnown checks that a leader that has read nothing
// acknowledges no heartbeats.
func TestNoAcknowledgementWhileNothingKnown(t *testing.T) {
	tracker := NewTracker(20 * time.Second)
	if tracker.MayAcknowledge(time.Now()) {
		t.Error("acknowledgements permitted although nothing is known")
	}
}

// TestLimitLeavesTimeForLeases checks that a lease that begins when the limit is reached,
// measured by a slow clock, and the worker's kill delay end within the promised time, measured
// by a fast clock.
func TestLimitLeavesTimeForLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := rapid.Float64Range(2, 30).Draw(t, "lease")
		timings := config.WorkerTimings{LeaseS: lease, CancelWithinS: lease + rapid.Float64Range(5, 60).Draw(t, "beyond")}
		limit := Limit(timings)
		if limit <= time.Second {
			return // at its minimum, the limit does not guarantee the bound
		}
		stretch := func(seconds, drift float64) time.Duration { return config.Seconds(seconds * (1 + drift)) }
		tasksEnd := limit + stretch(timings.LeaseS, constants.ClockDrift) + constants.WorkerKillDelay
		if deadline := stretch(timings.CancelWithinS, -constants.ClockDrift); tasksEnd > deadline+time.Microsecond {
			t.Fatalf("tasks end %v after the promised time", tasksEnd-deadline)
		}
	})
}
