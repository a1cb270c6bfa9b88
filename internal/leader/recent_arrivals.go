package leader

import (
	"math"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// recentArrivals are the jobs that came, or could start, a short while ago, oldest first.
type recentArrivals []arrival

// arrival is a job that came a short while ago.
type arrival struct {
	at     time.Time
	demand autoscaling.Demand
	// reservesMachines is set for a gang that whole on-demand machines are kept for.
	reservesMachines bool
}

// add takes in a job, unless it came too long ago.
func (r *recentArrivals) add(a arrival, now time.Time) {
	if now.Sub(a.at) <= constants.ArrivalRateWindow {
		*r = append(*r, a)
	}
}

// forget drops what came too long ago.
func (r *recentArrivals) forget(now time.Time) {
	for len(*r) > 0 && now.Sub((*r)[0].at) > constants.ArrivalRateWindow {
		*r = (*r)[1:]
	}
}

// expectedGangMachines is how many whole machines the gangs need that are to be expected:
// as many as came lately.
func (r recentArrivals) expectedGangMachines(catalog *autoscaling.Catalog, now time.Time) int {
	sum := 0.0
	for _, a := range r {
		if a.reservesMachines && now.Sub(a.at) <= constants.ArrivalRateWindow {
			sum += wholeMachines(catalog, a.demand)
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
