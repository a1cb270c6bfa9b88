package leader

import (
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// silentFor is how long nothing has been heard of the machine in this term, while
// the leader itself could hear.
func (l *Leader) silentFor(machine *machineState, now time.Time) time.Duration {
	last := machine.addedAt
	if machine.agent.Registered {
		last = machine.agent.LastHeartbeat
	}
	if resumed := l.term.resumedAt(); resumed.After(last) {
		last = resumed
	}
	return now.Sub(last)
}

// silenceTolerance is how long a worker may well be silent: a few of its heartbeats.
func (l *Leader) silenceTolerance() time.Duration {
	return time.Duration(constants.SilentAfterHeartbeats * float64(config.Seconds(l.deps.Settings.Params.Workers.HeartbeatS)))
}

// isSilent tells whether a machine has been silent for longer than a few heartbeats.
func (l *Leader) isSilent(machine *machineState, now time.Time) bool {
	return l.silentFor(machine, now) > l.silenceTolerance()
}

// isSilentBeyondLease tells whether a machine has been silent for so long that its lease
// is most likely over.
func (l *Leader) isSilentBeyondLease(machine *machineState, now time.Time) bool {
	return l.silentFor(machine, now) > l.lease
}
