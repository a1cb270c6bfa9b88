package leader

import (
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// reservedMachines is how many whole on-demand machines other work leaves free for gangs:
// as many as the expected ones need, up to a share of those that there are.
func (l *Leader) reservedMachines(machines []*placement.Machine, now time.Time) int {
	onDemand := 0
	for _, machine := range machines {
		if machine.Schedulable && !machine.Spot {
			onDemand++
		}
	}
	return min(l.scaling.recentArrivals.expectedGangMachines(l.deps.Catalog(), now), int(float64(onDemand)*constants.GangReserveMaxShare))
}

// reservesWholeMachines tells whether whole machines are kept for jobs like this one: only
// gangs that can use no spot machines, may stop nobody, and are meant to start soon need
// any.
func (l *Leader) reservesWholeMachines(spec *jobs.Spec) bool {
	if spec.Kind != jobs.KindGang || spec.AllowSpot || jobs.Priority(spec.PriorityClass) > jobs.Priority("standard") {
		return false
	}
	for _, objective := range l.deps.Settings.Params.SLOs {
		if objective.Kind == config.SLOWait && objective.Class == spec.Class && config.Seconds(objective.WithinS) <= constants.GangReserveMaxAim {
			return true
		}
	}
	return false
}
