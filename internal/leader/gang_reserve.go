package leader

import (
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// gangReserve returns how many empty on-demand machines other jobs must leave to gangs. This
// is the number of machines that the gangs expected soon need, but at most the share
// GangReserveMaxShare of the schedulable on-demand machines.
func (l *Leader) gangReserve(machines []*placement.Machine, now time.Time) int {
	onDemand := 0
	for _, machine := range machines {
		if machine.Schedulable && !machine.Spot {
			onDemand++
		}
	}
	return min(l.scaling.recentArrivals.expectedGangMachines(l.deps.Catalog(), now), int(float64(onDemand)*constants.GangReserveMaxShare))
}

// qualifiesForGangReserve reports whether whole machines are reserved for jobs like this one.
// Only gangs that can't use spot machines, have too low a priority to preempt other jobs and
// are expected to start soon need reserved machines.
func (l *Leader) qualifiesForGangReserve(spec *jobs.Spec) bool {
	if spec.Kind != jobs.KindGang || spec.AllowSpot || jobs.Priority(spec.PriorityClass) > jobs.Priority("standard") {
		return false
	}
	for _, objective := range l.deps.Settings.Params.SLOs {
		if objective.Kind == config.SLOWait && objective.Class == spec.Class && config.Seconds(objective.WithinS) <= constants.GangReserveMaxWait {
			return true
		}
	}
	return false
}
