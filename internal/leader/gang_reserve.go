package leader

import (
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// gangReserve returns how many empty on-demand machines other jobs must leave to gangs. This
// is the number of machines that the gangs expected to arrive soon need, but at most the share
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

// qualifiesForGangReserve reports whether whole machines are reserved for jobs like this one:
// gangs that can't use spot machines and whose class has a wait objective of at most
// GangReserveMaxWait. Gangs of more than standard priority need no reserved machines, because
// they can preempt other jobs.
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
