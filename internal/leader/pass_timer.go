package leader

import (
	"time"

	"thornnotch/internal/constants"
)

// passTimer decides when the next scheduling pass runs.
type passTimer struct {
	requested    bool
	lastAt       time.Time
	lastDuration time.Duration
}

// request has a pass run as soon as it may: placement may decide otherwise than before.
func (t *passTimer) request() { t.requested = true }

// nextAt is when the next pass may run; zero if none is requested. A pass that takes long
// is followed by a longer pause: heartbeats and records must not wait for passes.
func (t *passTimer) nextAt() time.Time {
	if !t.requested {
		return time.Time{}
	}
	return t.lastAt.Add(min(max(constants.MinPassInterval, constants.PassIntervalFactor*t.lastDuration), constants.MaxPassInterval))
}

// due tells whether a pass must run now.
func (t *passTimer) due(now time.Time) bool { return t.requested && !now.Before(t.nextAt()) }

// sinceLast is how long ago the last pass began.
func (t *passTimer) sinceLast(now time.Time) time.Duration { return now.Sub(t.lastAt) }

// begin notes that a pass begins.
func (t *passTimer) begin(now time.Time) { t.requested, t.lastAt = false, now }

// finish notes how long a pass took.
func (t *passTimer) finish(duration time.Duration) { t.lastDuration = duration }
