package leader

import (
	"time"

	"thornnotch/internal/constants"
)

// cloudCallState keeps calls to the cloud to one at a time. While the cloud does not
// answer, calls go out ever more seldom.
type cloudCallState struct {
	inFlight bool
	// backoff is the pause after a call that the cloud did not carry out, zero
	// while it answers; retryAt is when the next call may go out.
	backoff time.Duration
	retryAt time.Time
}

// mayCall tells whether a call may go out.
func (c *cloudCallState) mayCall(now time.Time) bool { return !c.inFlight && !now.Before(c.retryAt) }

// begin notes that a call goes out.
func (c *cloudCallState) begin() { c.inFlight = true }

// answered notes that the call was carried out. It reports whether that ends an outage.
func (c *cloudCallState) answered() (recovered bool) {
	recovered = c.backoff > 0
	c.inFlight, c.backoff = false, 0
	return recovered
}

// failed notes that the call was not carried out. It reports whether an outage begins.
func (c *cloudCallState) failed(now time.Time) (outage bool) {
	outage = c.backoff == 0
	c.inFlight = false
	c.backoff = min(max(2*c.backoff, constants.MinCloudBackoff), constants.MaxCloudBackoff)
	c.retryAt = now.Add(jitter(c.backoff))
	return outage
}

// cloudFailed takes in how a call to the cloud went. The log tells only when an outage
// begins and ends.
func (l *Leader) cloudFailed(call string, err error, now time.Time) bool {
	if err == nil {
		if l.scaling.calls.answered() {
			l.deps.Log.Info("the cloud answers again")
		}
		return false
	}
	if l.scaling.calls.failed(now) {
		l.deps.Log.Warn("the cloud does not answer", "call", call, "error", err)
	}
	return true
}
