package leader

import (
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// silenceDuration returns how long the leader has had no message from a machine, neither a
// heartbeat nor a response to a direct command: since its last one in this term or, if there was
// none, since it was added to the fleet. Time before the leader last resumed from a stall does
// not count.
func (l *Leader) silenceDuration(machine *machineState, now time.Time) time.Duration {
	last := machine.addedAt
	if machine.worker.Registered {
		last = machine.worker.LastMessageAt
	}
	if resumed := l.term.resumedAt(); resumed.After(last) {
		last = resumed
	}
	return now.Sub(last)
}

// silenceTolerance returns how long the leader may have no message from a worker before the
// worker counts as silent.
func (l *Leader) silenceTolerance() time.Duration {
	return time.Duration(constants.SilentAfterHeartbeats * float64(config.Seconds(l.deps.Settings.Params.Workers.HeartbeatS)))
}

// isSilent reports whether a machine has been silent for longer than silenceTolerance.
func (l *Leader) isSilent(machine *machineState, now time.Time) bool {
	return l.silenceDuration(machine, now) > l.silenceTolerance()
}

// isSilentBeyondLease reports whether a machine has been silent for longer than its lease,
// which has then most likely expired.
func (l *Leader) isSilentBeyondLease(machine *machineState, now time.Time) bool {
	return l.silenceDuration(machine, now) > l.lease
}
