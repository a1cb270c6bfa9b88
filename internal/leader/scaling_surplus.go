package leader

import (
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
)

// retireSurplus starts the return of idle machines that exceed the peak of the desired
// capacity in the recent past.
func (l *Leader) retireSurplus(now time.Time) {
	snapshot := l.scalingSnapshot(now)
	desired := make(map[string]autoscaling.DesiredCapacity)
	for _, machineType := range snapshot.Catalog.MachineTypes {
		desired[machineType.Name] = autoscaling.DesiredCapacityFor(snapshot, machineType, l.deps.Operator.Scaling.ScaleInKeep)
	}
	keep := l.scaling.desiredCapacity.Add(now, desired)
	for _, name := range autoscaling.ScaleIn(snapshot, keep, l.idleMachines(now)) {
		l.beginLeaving(l.fleet.get(name), "idle", now)
	}
}

// idleMachines returns the schedulable machines without attempts and reservations that have
// been idle for longer than IdleReturnAfter.
func (l *Leader) idleMachines(now time.Time) (idle []autoscaling.IdleMachine) {
	for machine := range l.fleet.all() {
		name := machine.worker.Name
		if !machine.schedulable(now) || len(machine.worker.Attempts) > 0 || len(l.reservations.OnMachine(name)) > 0 {
			continue
		}
		if machine.lifecycle.idleFor(now) > constants.IdleReturnAfter {
			idle = append(idle, autoscaling.IdleMachine{Name: name, Pool: machine.pool(), Images: len(machine.images)})
		}
	}
	return idle
}
