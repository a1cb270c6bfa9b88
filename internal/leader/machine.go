package leader

import (
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/leader/health"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// machineState is one machine: its agent and what the leader keeps of it.
type machineState struct {
	agent   *workers.Agent
	addedAt time.Time

	// metadataLogged is set once its type, place and so on are in the log.
	metadataLogged bool
	loggedMetadata wal.Machine // as it was noted last

	// view is the machine as placement sees it, made at viewAt; stale is set
	// when it must be made anew. counted is what it adds to the teams' use.
	view         *placement.Machine
	viewAt       time.Time
	stale        bool
	countedUsage []teamUse

	images  imageCache // least recently used first
	health  health.Machine
	leaving bool // being returned; it gets no more tasks
	// leavingRecorded is set once the record says so, or none exists.
	leavingRecorded bool
	idleSince       time.Time
	// commandInFlight is set while a direct order is under way; called is when the
	// last one was sent.
	commandInFlight bool
	lastCommandAt   time.Time
	// startOverdue is set while a start it was sent is missing from its reports.
	startOverdue bool
	// heartbeatGap is set while a report is taken in that came after a long silence.
	heartbeatGap bool
}

// removeMachine drops a machine that is no more.
func (l *Leader) removeMachine(machine *machineState) {
	l.fleet.remove(machine)
	l.metadata.remove(machine)
	l.replies.refuse(machine)
	l.setTeamUsage(machine, nil)
}

// markStale has the machine's view made anew for the next pass. Whatever changes
// its attempts, holds or images must call it: the teams' use depends on it.
func (m *machineState) markStale() { m.stale = true }

// pool is where the machine was rented from.
func (m *machineState) pool() autoscaling.InstancePool {
	return autoscaling.InstancePool{Type: m.agent.MachineType, Zone: m.agent.Zone, Spot: m.agent.Spot}
}

// schedulable tells whether new tasks may be put on the machine.
func (m *machineState) schedulable(now time.Time) bool {
	if m.leaving || !m.health.AcceptsTasks(now) || m.startOverdue {
		return false
	}
	agent := m.agent
	return agent.Registered && agent.ReclaimAt.IsZero() && agent.Epoch > agent.ExpiredEpoch &&
		!agent.RepliesLost && !agent.EpochUnconfirmed
}

// freeResources is what is free on the machine beside its tasks and holds.
func (l *Leader) freeResources(machine *machineState) placement.Resources {
	t, ok := l.deps.Catalog().Type(machine.agent.MachineType)
	if !ok {
		return placement.Resources{}
	}
	f := placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}.Sub(l.usedResources(machine))
	for _, h := range l.reservations.OnMachine(machine.agent.Name) {
		f = f.Sub(h.Resources)
	}
	return f
}

// usedResources is what the machine's attempts take.
func (l *Leader) usedResources(machine *machineState) (sum placement.Resources) {
	for _, a := range machine.agent.Attempts {
		if a.Live() {
			sum = sum.Add(l.jobs.resourcesOf(a))
		}
	}
	return sum
}

// placementMachine is the machine as the job rules see it.
func (l *Leader) placementMachine(machine *machineState) *placement.Machine {
	return &placement.Machine{Name: machine.agent.Name, Type: machine.agent.MachineType, Zone: machine.agent.Zone, Spot: machine.agent.Spot}
}
