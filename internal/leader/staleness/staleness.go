// Package staleness bounds the staleness of the leader's knowledge of cancellations: it tracks
// the time up to which the leader knows all of them, and thus whether it may still acknowledge
// workers' heartbeats.
//
// Any node accepts cancellations. The leader learns of them through its watch on the state
// service, or through attestations from all nodes. While it gets neither, another node may
// have confirmed a cancellation to a user, and the tasks of that job must have ended on all
// machines within the promised time. So the leader stops acknowledging heartbeats early enough
// for every worker's lease to expire by then. The argument is in docs/design.md (Safety, "The
// gap"), and the arithmetic at [Limit].
package staleness

import (
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// Limit returns the maximum staleness at which heartbeats may be acknowledged: for how long
// after W, the latest time up to which all cancellations are known. A cancellation confirmed
// to its user at time C that is not known yet was recorded after W, so C ≥ W. The last
// heartbeat answered with 200 is processed by W + limit. The worker's lease counts from when
// it sent that heartbeat, which was earlier. So its tasks are gone by
// W + limit + lease·(1+drift) + lag, however long the heartbeat or the reply took in transit,
// and that must be no later than W + cancel·(1−drift). Here cancel and lease are the times in w,
// drift is [constants.ClockDrift], and lag is [constants.WorkerKillDelay].
// TestCancelledTasksEndInTimeDuringOutage checks the bound. The limit is at least one second;
// settings for which this minimum applies are not covered by the bound.
func Limit(w config.WorkerTimings) time.Duration {
	cancel, lease := config.Seconds(w.CancelWithinS), config.Seconds(w.LeaseS)
	driftAllowance := time.Duration(float64(cancel+lease) * constants.ClockDrift)
	return max(cancel-lease-driftAllowance-constants.WorkerKillDelay, time.Second)
}

// Tracker tracks the time up to which all cancellations are known. A zero time means that
// nothing is known yet.
type Tracker struct {
	limit time.Duration
	// watchedUntil is the time up to which the watch on the state service has reported all
	// cancellations.
	watchedUntil time.Time
	// knownUntil is the time up to which all cancellations are known, from the watch or from
	// attestations.
	knownUntil time.Time
}

// NewTracker returns a tracker that permits acknowledgements while the staleness is at most
// limit.
func NewTracker(limit time.Duration) Tracker { return Tracker{limit: limit} }

// RecordWatch records the state service's answer to a watch request sent at askedAt. However
// late the answer arrives, it contains all changes up to some moment after the request.
func (t *Tracker) RecordWatch(askedAt time.Time) {
	t.watchedUntil = askedAt
	if askedAt.After(t.knownUntil) {
		t.knownUntil = askedAt
	}
}

// RecordAttestation records that all nodes, asked at askedAt, have listed the cancellations they
// had confirmed to users. It reports whether acknowledgements were forbidden before and are
// permitted now. The caller must have dropped late answers (attestation.AnsweredTooLate).
func (t *Tracker) RecordAttestation(askedAt, now time.Time) (restored bool) {
	if !askedAt.After(t.knownUntil) {
		return false
	}
	restored = !t.MayAcknowledge(now)
	t.knownUntil = askedAt
	return restored
}

// MayAcknowledge reports whether heartbeats may be acknowledged.
func (t *Tracker) MayAcknowledge(now time.Time) bool { return now.Sub(t.knownUntil) <= t.limit }

// Staleness returns the time since all cancellations were last known.
func (t *Tracker) Staleness(now time.Time) time.Duration { return now.Sub(t.knownUntil) }

// WatchedUntil returns the time up to which the watch on the state service has reported all
// cancellations.
func (t *Tracker) WatchedUntil() time.Time { return t.watchedUntil }
