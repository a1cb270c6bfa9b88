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

// request schedules a pass at the earliest permitted time. It is called after any change
// that may affect placement.
func (t *passTimer) request() { t.requested = true }

// nextAt returns the earliest time of the next pass, or zero if none is requested. The pause
// grows with the duration of the last pass, so that passes don't delay heartbeats and
// commits.
func (t *passTimer) nextAt() time.Time {
	if !t.requested {
		return time.Time{}
	}
	return t.lastAt.Add(min(max(constants.MinPassInterval, constants.PassIntervalFactor*t.lastDuration), constants.MaxPassInterval))
}

// due reports whether a requested pass may run now.
func (t *passTimer) due(now time.Time) bool { return t.requested && !now.Before(t.nextAt()) }

// sinceLast returns the time since the last pass began.
func (t *passTimer) sinceLast(now time.Time) time.Duration { return now.Sub(t.lastAt) }

// begin marks the start of a pass and clears the request.
func (t *passTimer) begin(now time.Time) { t.requested, t.lastAt = false, now }

// finish records the duration of a pass.
func (t *passTimer) finish(duration time.Duration) { t.lastDuration = duration }
