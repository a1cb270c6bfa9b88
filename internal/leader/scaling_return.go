package leader

import (
	"context"
	"slices"
	"time"

	"thornnotch/internal/constants"
)

// retireMachines starts the return of machines that have been silent for too long, and of
// faulty ones without attempts.
func (l *Leader) retireMachines(now time.Time) {
	unreachable := l.updateUnreachableZones(now)
	for machine := range l.fleet.all() {
		if machine.lifecycle.isLeaving() {
			continue
		}
		returnAfter := constants.SilentReturnAfter
		if unreachable[machine.worker.Zone] {
			returnAfter = constants.UnreachableZoneReturnAfter
		}
		switch {
		case l.silenceDuration(machine, now) > l.lease+returnAfter:
			l.beginLeaving(machine, "silent", now)
		case machine.health.Faulty() && len(machine.worker.Attempts) == 0:
			l.beginLeaving(machine, "faulty", now)
		}
	}
}

// beginLeaving starts the return of a machine. The cloud is called only once the machine's
// record contains the leaving mark.
func (l *Leader) beginLeaving(machine *machineState, reason string, now time.Time) {
	l.deps.Log.Info("returning machine", "machine", machine.worker.Name, "zone", machine.worker.Zone, "reason", reason)
	machine.lifecycle.beginLeaving()
	l.reservations.RemoveMachine(machine.worker.Name)
	l.logMetadata(machine, machine.lifecycle.markLeavingRecorded)
	machine.markStale()
	l.drain(machine, now)
	l.passes.request()
}

// machinesToReturn returns the names of the machines to return now, at most as many as fit
// in one call.
func (l *Leader) machinesToReturn(now time.Time) (names []string) {
	for machine := range l.fleet.all() {
		if machine.lifecycle.readyToReturn() && !l.isDraining(machine, now) {
			names = append(names, machine.worker.Name)
		}
	}
	for name, booting := range l.scaling.booting {
		if l.fleet.get(name) == nil && booting.overdue(l.bootTimeout(booting.pool.Type), l.lease, l.term.resumedAt(), now) {
			l.deps.Log.Info("machine boot timed out", "machine", name, "zone", booting.pool.Zone)
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), constants.MaxMachinesPerReturn)]
}

// isDraining reports whether a machine to be returned may still run tasks, which must get
// time to save their progress.
func (l *Leader) isDraining(machine *machineState, now time.Time) bool {
	return machine.worker.Registered && !l.isSilentBeyondLease(machine, now) && machine.inUse()
}

// inUse reports whether the machine has live attempts.
func (m *machineState) inUse() bool {
	for _, attempt := range m.worker.Attempts {
		if attempt.Live() {
			return true
		}
	}
	return false
}

// returnMachines queues a call that returns machines to the cloud.
func (l *Leader) returnMachines(names []string) {
	l.scaling.calls.begin()
	l.calls.queue(func(ctx context.Context) func() {
		err := l.deps.Cloud.Return(ctx, names)
		return func() {
			now := time.Now()
			if l.cloudCallFailed("return", err, now) {
				return
			}
			for _, name := range names {
				l.machineTerminated(name, now)
			}
			l.passes.request()
		}
	})
}

// machineTerminated handles the cloud's confirmation that a machine was terminated.
func (l *Leader) machineTerminated(name string, now time.Time) {
	delete(l.scaling.booting, name)
	l.scaling.terminated[name] = now
	machine := l.fleet.get(name)
	if machine == nil {
		return
	}
	// The cloud's confirmation proves that nothing runs on the machine any more.
	l.applyEvents(machine, machine.worker.MarkTerminated(), now)
	l.removeMachine(machine)
	l.wal.MachineRemoved(name)
}
