package leader

import (
	"time"

	"thornnotch/internal/backoff"
	"thornnotch/internal/constants"
)

// cloudCallState limits calls to the cloud to one at a time, with exponential backoff while
// the cloud is unavailable.
type cloudCallState struct {
	inFlight bool
	// backoff is the mean pause after the last failed call, or zero if the last call
	// succeeded; retryAt is when the next call may be made.
	backoff time.Duration
	retryAt time.Time
}

// mayCall reports whether a call may be made now.
func (c *cloudCallState) mayCall(now time.Time) bool { return !c.inFlight && !now.Before(c.retryAt) }

// begin records that a call has been made.
func (c *cloudCallState) begin() { c.inFlight = true }

// answered records that the cloud answered the call. It reports whether this ends an outage.
func (c *cloudCallState) answered() (recovered bool) {
	recovered = c.backoff > 0
	c.inFlight, c.backoff = false, 0
	return recovered
}

// failed records that the call failed and schedules the next one. It reports whether an
// outage begins.
func (c *cloudCallState) failed(now time.Time) (outage bool) {
	outage = c.backoff == 0
	c.inFlight = false
	c.backoff = min(max(2*c.backoff, constants.MinCloudBackoff), constants.MaxCloudBackoff)
	c.retryAt = now.Add(backoff.Jitter(c.backoff))
	return outage
}

// cloudCallFailed records the outcome of a call to the cloud and reports whether it failed.
// It logs only the beginning and the end of an outage.
func (l *Leader) cloudCallFailed(call string, err error, now time.Time) bool {
	if err == nil {
		if l.scaling.calls.answered() {
			l.deps.Log.Info("cloud API available again")
		}
		return false
	}
	if l.scaling.calls.failed(now) {
		l.deps.Log.Warn("cloud API unavailable", "call", call, "error", err)
	}
	return true
}
