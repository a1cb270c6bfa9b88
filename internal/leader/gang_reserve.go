package leader

import (
	"math"
	"time"

	"thornnotch/internal/autoscaling"
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
	return min(l.expectedGangMachines(now), int(float64(onDemand)*constants.GangReserveMaxShare))
}

// expectedGangMachines is how many whole machines the gangs need that are to be expected:
// as many as came lately. Only gangs that can use no spot machines, may stop nobody, and
// are meant to start soon need any.
func (l *Leader) expectedGangMachines(now time.Time) int {
	catalog := l.deps.Catalog()
	sum := 0.0
	for _, recent := range l.scaling.recentArrivals {
		if recent.whole && now.Sub(recent.at) <= constants.ArrivalRateWindow {
			sum += wholeMachines(catalog, recent.demand)
		}
	}
	return int(math.Ceil(sum * constants.GangReserveHorizon.Seconds() / constants.ArrivalRateWindow.Seconds()))
}

// wholeMachines is how many machines a demand fills, of the first type that takes its
// tasks.
func wholeMachines(catalog *autoscaling.Catalog, demand autoscaling.Demand) float64 {
	for _, machineType := range catalog.MachineTypes {
		total := placement.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
		if tasks := total.Count(demand.TaskResources, demand.Tasks); tasks > 0 {
			return float64(demand.Tasks) / float64(tasks)
		}
	}
	return 0
}

// reservesWholeMachines tells whether whole machines are kept for jobs like this one.
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
