package leader

import (
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
)

// scalingState is the leader's state for scaling: renting machines from the cloud and
// returning them.
type scalingState struct {
	calls       cloudCallState
	list        instanceList
	booting     bootingMachines
	terminated  terminatedMachines
	unavailable unavailablePools
	zones       unreachableZones
	// desiredCapacity holds the recent desired capacity, so that no machines are returned when
	// demand drops for a short time.
	desiredCapacity *autoscaling.CapacityWindow
	// recentArrivals holds the jobs that arrived recently.
	recentArrivals recentArrivals
	// rentRequests counts the rent requests; it is part of their IDs.
	rentRequests uint64
	reviewedAt   time.Time
}

func newScalingState() scalingState {
	return scalingState{
		booting:         make(bootingMachines),
		terminated:      make(terminatedMachines),
		unavailable:     make(unavailablePools),
		zones:           make(unreachableZones),
		desiredCapacity: autoscaling.NewCapacityWindow(constants.CapacityWindow),
	}
}

// prune removes expired entries.
func (s *scalingState) prune(now time.Time) {
	s.terminated.prune(now)
	s.recentArrivals.prune(now)
}

// reviewDue reports whether the next review of the fleet, the search for slow, faulty and surplus
// machines, is due. If so, it records that the review takes place now.
func (s *scalingState) reviewDue(now time.Time) bool {
	if now.Sub(s.reviewedAt) < constants.FleetReviewInterval {
		return false
	}
	s.reviewedAt = now
	return true
}

// scale decides which machines to return and to rent, and queues the next call to the cloud.
func (l *Leader) scale(now time.Time) {
	for machine := range l.fleet.all() {
		if len(machine.worker.Attempts) > 0 {
			machine.lifecycle.markBusy(now)
		}
	}
	l.scaling.prune(now)
	l.retireMachines(now)
	if l.deps.Catalog() != nil && l.failover.recordsLoaded() && l.scaling.reviewDue(now) {
		l.detectStragglers(now)
		l.attributeAllFailures(now)
		l.retireSurplus(now)
	}
	if !l.term.verified() {
		l.verifyTerm() // the cloud can't check the term of its caller
		return
	}
	if l.scaling.calls.mayCall(now) {
		l.callCloud(now)
	}
}

// callCloud queues at most one call to the cloud: a return, a request for a list page or a
// rent request.
func (l *Leader) callCloud(now time.Time) {
	if names := l.machinesToReturn(now); len(names) > 0 {
		l.returnMachines(names)
		return
	}
	// The list of a large fleet has many pages. Alternate between pages and rent requests,
	// so that renting need not wait for the last page.
	listDue := l.scaling.list.due(l.listInterval(), now)
	if listDue && !l.scaling.list.lastCallWasPage {
		l.requestInstancePage()
		return
	}
	if request, ok := l.nextRentRequest(now); ok {
		l.rent(request)
		return
	}
	if listDue {
		l.requestInstancePage()
	}
}

// machineRegistered handles a machine's first report in this term.
func (l *Leader) machineRegistered(machine *machineState, now time.Time) {
	worker := machine.worker
	if booting, ok := l.scaling.booting[worker.Name]; ok {
		l.deps.Log.Info("machine registered", "machine", worker.Name, "zone", worker.Zone, "spot", worker.Spot, "after_s", now.Sub(booting.rentedAt).Round(time.Second).Seconds())
		delete(l.scaling.booting, worker.Name)
	}
	machine.lifecycle.markBusy(now)
}
