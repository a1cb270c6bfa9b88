// Package certainty keeps the bound up to which a leader certainly knows all
// cancellations, and with it whether workers may still be acknowledged.
//
// Any node accepts cancellations, and what a leader knows of them comes from its watch on
// the state service, or from all nodes' attestations. While neither has an answer, another
// node may have confirmed a cancellation to a user; the tasks of that job must be off
// their machines within the time that users are promised. So acknowledgements stop soon
// enough for every worker's lease to run out by then. The argument stands in
// docs/design.md (Safety, "The gap"), its arithmetic at [Window].
package certainty

import (
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// Window is for how long after the last moment W up to which all cancellations are known
// workers may be answered. A job whose user was told at C was recorded after W, so C ≥ W.
// The last heartbeat answered 200 is looked at by W + window, and its worker counts its
// lease from when it sent it, which was earlier. So its tasks are gone by
// W + window + lease·(1+drift) + lag, however long the heartbeat or the answer were on
// their way, and that must be no later than W + cancel·(1−drift) (TestGapBound).
func Window(w config.WorkerTimings) time.Duration {
	cancel, lease := config.Seconds(w.CancelWithinS), config.Seconds(w.LeaseS)
	drift := time.Duration(float64(cancel+lease) * constants.ClockDrift)
	return max(cancel-lease-drift-constants.WorkerKillDelay, time.Second)
}

// Tracker follows up to when all cancellations are known. The zero time means that
// nothing is known yet.
type Tracker struct {
	window time.Duration
	// watchedUntil is the latest moment up to which the state service has told of all
	// cancellations.
	watchedUntil time.Time
	// certainUntil is the same, or later by what all nodes attest to.
	certainUntil time.Time
}

// NewTracker makes a tracker that lets workers be acknowledged for the window after the
// last proof.
func NewTracker(window time.Duration) Tracker { return Tracker{window: window} }

// Watched takes in an answer of the state service to a question asked at this time: it
// holds all changes up to a moment after the question, however late it came.
func (t *Tracker) Watched(asked time.Time) {
	t.watchedUntil = asked
	if asked.After(t.certainUntil) {
		t.certainUntil = asked
	}
}

// Attested takes in that all nodes have named the cancellations that they told users of
// before they were asked. It reports whether workers can be acknowledged again by it. The
// caller must have dropped answers that are stale.
func (t *Tracker) Attested(asked, now time.Time) (restored bool) {
	if !asked.After(t.certainUntil) {
		return false
	}
	restored = !t.Holds(now)
	t.certainUntil = asked
	return restored
}

// Holds tells whether workers may be acknowledged.
func (t *Tracker) Holds(now time.Time) bool { return now.Sub(t.certainUntil) <= t.window }

// SinceProof is how long ago all cancellations were certainly known.
func (t *Tracker) SinceProof(now time.Time) time.Duration { return now.Sub(t.certainUntil) }

// WatchedUntil is the latest moment up to which the state service itself has told of all
// cancellations.
func (t *Tracker) WatchedUntil() time.Time { return t.watchedUntil }
