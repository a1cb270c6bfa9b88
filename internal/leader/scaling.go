package leader

import (
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
)

// scalingState is what the leader knows of renting machines and giving them back.
type scalingState struct {
	calls      cloudCallState
	list       instanceList
	booting    bootingMachines
	terminated terminatedMachines
	refused    poolRefusals
	zones      unreachableZones
	// demand remembers what was wanted lately, so that a short lull gives nothing back.
	demand *autoscaling.DemandWindow
	// recentArrivals are the jobs that came lately.
	recentArrivals recentArrivals
	// rentRequests counts the requests to rent, for their IDs.
	rentRequests uint64
	reviewedAt   time.Time
}

func newScalingState() scalingState {
	return scalingState{
		booting:    make(bootingMachines),
		terminated: make(terminatedMachines),
		refused:    make(poolRefusals),
		zones:      make(unreachableZones),
		demand:     autoscaling.NewDemandWindow(constants.DemandWindow),
	}
}

// forget drops what is too old to count.
func (s *scalingState) forget(now time.Time) {
	s.terminated.forget(now)
	s.recentArrivals.forget(now)
}

// reviewDue tells whether the fleet should be looked over again, and notes that it is.
func (s *scalingState) reviewDue(now time.Time) bool {
	if now.Sub(s.reviewedAt) < constants.FleetReviewInterval {
		return false
	}
	s.reviewedAt = now
	return true
}

// scale decides which machines go and which are rented, and deals with the cloud.
func (l *Leader) scale(now time.Time) {
	for machine := range l.fleet.all() {
		if len(machine.agent.Attempts) > 0 {
			machine.lifecycle.noteBusy(now)
		}
	}
	l.scaling.forget(now)
	l.retireMachines(now)
	if l.deps.Catalog() != nil && l.failover.recordsLoaded() && l.scaling.reviewDue(now) {
		l.detectStragglers(now)
		l.attributeAllFailures(now)
		l.releaseSurplus(now)
	}
	if !l.term.verified() {
		l.verifyTerm() // calls to the cloud can't be conditioned on the term
		return
	}
	if l.scaling.calls.mayCall(now) {
		l.callCloud(now)
	}
}

// callCloud makes the next call to the cloud, if any is due: one at a time.
func (l *Leader) callCloud(now time.Time) {
	if names := l.machinesToReturn(now); len(names) > 0 {
		l.returnMachines(names)
		return
	}
	// The list of a large fleet has many pages: renting goes on between two.
	listDue := l.scaling.list.due(l.listInterval(), now)
	if listDue && !l.scaling.list.calledLast {
		l.listPage()
		return
	}
	if request, ok := l.nextRental(now); ok {
		l.rent(request)
		return
	}
	if listDue {
		l.listPage()
	}
}

// machineRegistered is called when a machine reports for the first time in this term.
func (l *Leader) machineRegistered(machine *machineState, now time.Time) {
	agent := machine.agent
	if booting, ok := l.scaling.booting[agent.Name]; ok {
		l.deps.Log.Info("machine up", "machine", agent.Name, "zone", agent.Zone, "spot", agent.Spot, "after_s", now.Sub(booting.rentedAt).Round(time.Second).Seconds())
		delete(l.scaling.booting, agent.Name)
	}
	machine.lifecycle.noteBusy(now)
}
