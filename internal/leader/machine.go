package leader

import (
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/leader/health"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// machineState is one machine: its agent and what the leader keeps of it, by component.
type machineState struct {
	agent   *workers.Agent
	addedAt time.Time // when this term learnt of it

	lifecycle machineLifecycle
	health    health.Machine
	direct    directCommandState
	images    imageCache
	// startOverdue is set while a start that it was sent is missing from its heartbeats.
	startOverdue bool
	// heartbeatGap is set while a heartbeat is applied that came after a long silence.
	heartbeatGap bool

	// metadataLogged is set once its type, zone and so on are in the log, and
	// loggedMetadata is what was logged last.
	metadataLogged bool
	loggedMetadata wal.Machine

	// view is the machine as placement sees it, made at viewAt; stale is set when it
	// must be made anew. countedUsage is what it adds to the teams' usage.
	view         *placement.Machine
	viewAt       time.Time
	stale        bool
	countedUsage []teamUse
}

// newMachineState is a machine of which nothing is known but its name.
func newMachineState(name string, now time.Time) *machineState {
	return &machineState{
		agent: workers.NewAgent(name), addedAt: now, stale: true,
		lifecycle: machineLifecycle{idleSince: now},
	}
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
	if m.lifecycle.isLeaving() || !m.health.AcceptsTasks(now) || m.startOverdue {
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
