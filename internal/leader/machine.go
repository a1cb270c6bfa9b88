package leader

import (
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/leader/health"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// machineState is the leader's state of one machine: the model of its worker and the data that
// each component of the leader keeps about it.
type machineState struct {
	worker  *workers.Worker
	addedAt time.Time // when it was added to the fleet in this term

	lifecycle machineLifecycle
	health    health.Machine
	direct    directCommandState
	images    imageCache
	// startOverdue is set while a start that was sent to the machine is missing from its
	// heartbeats.
	startOverdue bool
	// messageGap is set if the worker's last message came longer than silenceTolerance after the
	// one before.
	messageGap bool

	// metadataLogged is set once the machine's metadata (type, zone and so on) is in the
	// log; loggedMetadata is the version logged last.
	metadataLogged bool
	loggedMetadata wal.Machine

	// view is the machine's input to placement, built at viewAt; stale is set when it must
	// be rebuilt. countedUsage is the machine's share of the teams' usage.
	view         *placement.Machine
	viewAt       time.Time
	stale        bool
	countedUsage []teamResources
}

// newMachineState returns the initial state of a machine. Only its name is known.
func newMachineState(name string, now time.Time) *machineState {
	return &machineState{
		worker: workers.NewWorker(name), addedAt: now, stale: true,
		lifecycle: machineLifecycle{idleSince: now},
	}
}

// removeMachine deletes a machine that no longer exists.
func (l *Leader) removeMachine(machine *machineState) {
	l.fleet.remove(machine)
	l.metadata.remove(machine)
	l.replies.refuse(machine)
	l.setTeamUsage(machine, nil)
}

// markStale makes the next scheduling pass rebuild the machine's view, which also updates the
// teams' usage. It must be called after every change of the machine's attempts, reservations or
// images.
func (m *machineState) markStale() { m.stale = true }

// pool returns the instance pool that the machine was rented from.
func (m *machineState) pool() autoscaling.InstancePool {
	return autoscaling.InstancePool{Type: m.worker.MachineType, Zone: m.worker.Zone, Spot: m.worker.Spot}
}

// schedulable reports whether the machine's own state allows new tasks. Before a placement,
// acceptsPlacements makes further checks.
func (m *machineState) schedulable(now time.Time) bool {
	if m.lifecycle.isLeaving() || !m.health.AcceptsTasks(now) || m.startOverdue {
		return false
	}
	worker := m.worker
	return worker.Registered && worker.ReclaimAt.IsZero() && worker.Epoch > worker.ExpiredEpoch &&
		!worker.RepliesLost && !worker.ReachabilityUnconfirmed
}

// freeResources returns the machine's resources that neither tasks nor reservations use, or none
// if its type is not in the catalog.
func (l *Leader) freeResources(machine *machineState) placement.Resources {
	machineType, ok := l.deps.Catalog().Type(machine.worker.MachineType)
	if !ok {
		return placement.Resources{}
	}
	free := placement.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}.Sub(l.usedResources(machine))
	for _, reservation := range l.reservations.OnMachine(machine.worker.Name) {
		free = free.Sub(reservation.Resources)
	}
	return free
}

// usedResources returns the sum of the resources of the machine's live attempts.
func (l *Leader) usedResources(machine *machineState) (sum placement.Resources) {
	for _, attempt := range machine.worker.Attempts {
		if attempt.Live() {
			sum = sum.Add(l.jobs.resourcesOf(attempt))
		}
	}
	return sum
}

// placementMachine returns the machine as the placement package represents it, with only the
// fields set that a job's placement constraints refer to.
func (l *Leader) placementMachine(machine *machineState) *placement.Machine {
	return &placement.Machine{Name: machine.worker.Name, Type: machine.worker.MachineType, Zone: machine.worker.Zone, Spot: machine.worker.Spot}
}
