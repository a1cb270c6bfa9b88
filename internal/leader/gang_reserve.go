package leader

import (
	"math"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// reservedMachines is how many whole ordinary machines ought to be free for the gangs
// that are to be expected: as many as came lately. Only gangs that can use no
// others, may stop nobody, and are meant to start soon need any.
func (l *Leader) reservedMachines(now time.Time) int {
	cat := l.deps.Catalog()
	sum := 0.0
	for _, n := range l.scaling.recentArrivals {
		if !n.whole || now.Sub(n.at) > constants.ArrivalRateWindow {
			continue
		}
		for _, t := range cat.MachineTypes {
			per := (placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}).Count(n.demand.TaskResources, n.demand.Tasks)
			if per > 0 {
				sum += float64(n.demand.Tasks) / float64(per)
				break
			}
		}
	}
	return int(math.Ceil(sum * constants.GangReserveHorizon.Seconds() / constants.ArrivalRateWindow.Seconds()))
}

// reservesWholeMachines tells whether whole machines are kept for jobs like this one.
func (l *Leader) reservesWholeMachines(spec *jobs.Spec) bool {
	if spec.Kind != jobs.KindGang || spec.AllowSpot || jobs.Priority(spec.PriorityClass) > jobs.Priority("standard") {
		return false
	}
	for _, o := range l.deps.Settings.Params.SLOs {
		if o.Kind == config.SLOWait && o.Class == spec.Class && config.Seconds(o.WithinS) <= constants.GangReserveMaxAim {
			return true
		}
	}
	return false
}
