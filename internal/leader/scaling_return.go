package leader

import (
	"context"
	"slices"
	"time"

	"thornnotch/internal/constants"
)

// retireMachines marks machines that must be returned as leaving.
func (l *Leader) retireMachines(now time.Time) {
	unreachable := l.unreachableZones(now)
	for machine := range l.fleet.all() {
		if machine.lifecycle.isLeaving() {
			continue
		}
		patience := constants.SilentReturnAfter
		if unreachable[machine.agent.Zone] {
			patience = constants.UnreachableReturnAfter
		}
		switch {
		case l.silentFor(machine, now) > l.lease+patience:
			l.beginLeaving(machine, "silent", now)
		case machine.health.Faulty() && len(machine.agent.Attempts) == 0:
			l.beginLeaving(machine, "faulty", now)
		}
	}
}

// beginLeaving starts the return of a machine: first its record says so, then the
// cloud is told.
func (l *Leader) beginLeaving(machine *machineState, reason string, now time.Time) {
	l.deps.Log.Info("machine to be returned", "machine", machine.agent.Name, "zone", machine.agent.Zone, "reason", reason)
	machine.lifecycle.beginLeaving()
	l.reservations.RemoveMachine(machine.agent.Name)
	l.logMetadata(machine, machine.lifecycle.leavingStands)
	machine.markStale()
	l.drain(machine, now)
	l.passes.request()
}

// machinesToReturn names the machines to give back now, as many as one call may name.
func (l *Leader) machinesToReturn(now time.Time) (names []string) {
	for machine := range l.fleet.all() {
		if machine.lifecycle.mayBeReturned() && !l.mayStillSave(machine, now) {
			names = append(names, machine.agent.Name)
		}
	}
	for name, booting := range l.scaling.booting {
		if l.fleet.get(name) == nil && booting.overdue(l.bootTimeout(booting.pool.Type), l.lease, l.term.resumedAt(), now) {
			l.deps.Log.Info("machine never came up", "machine", name, "zone", booting.pool.Zone)
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), constants.ReturnBatch)]
}

// mayStillSave tells whether tasks on a machine that leaves must get the time to save.
func (l *Leader) mayStillSave(machine *machineState, now time.Time) bool {
	return machine.agent.Registered && !l.isSilentBeyondLease(machine, now) && machine.inUse()
}

// inUse tells whether attempts may be running on the machine.
func (m *machineState) inUse() bool {
	for _, attempt := range m.agent.Attempts {
		if attempt.Live() {
			return true
		}
	}
	return false
}

// returnMachines gives machines back to the cloud.
func (l *Leader) returnMachines(names []string) {
	l.scaling.calls.begin()
	l.calls.queue(func(ctx context.Context) func() {
		err := l.deps.Cloud.Return(ctx, names)
		return func() {
			now := time.Now()
			if l.cloudFailed("return", err, now) {
				return
			}
			for _, name := range names {
				l.machineTerminated(name, now)
			}
			l.passes.request()
		}
	})
}

// machineTerminated takes in that the cloud has confirmed a machine's end.
func (l *Leader) machineTerminated(name string, now time.Time) {
	delete(l.scaling.booting, name)
	l.scaling.terminated[name] = now
	machine := l.fleet.get(name)
	if machine == nil {
		return
	}
	// The cloud's word is the strongest proof: all is gone.
	l.applyEvents(machine, machine.agent.MarkTerminated(), now)
	l.removeMachine(machine)
	l.wal.MachineRemoved(name)
}
