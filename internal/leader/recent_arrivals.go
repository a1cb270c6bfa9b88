package leader

import (
	"math"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// recentArrivals lists the jobs that were submitted or became eligible to start within
// ArrivalRateWindow, in the order in which they were added. This is roughly the order of their
// arrival: jobs loaded during the failover are not sorted by time.
type recentArrivals []arrival

// arrival is the time and demand of one job's arrival.
type arrival struct {
	at     time.Time
	demand autoscaling.Demand
	// forGangReserve is set for a gang that qualifies for the gang reserve.
	forGangReserve bool
}

// add appends an arrival unless it is older than the window.
func (r *recentArrivals) add(a arrival, now time.Time) {
	if now.Sub(a.at) <= constants.ArrivalRateWindow {
		*r = append(*r, a)
	}
}

// prune removes arrivals that are older than the window, up to the first one that is not.
func (r *recentArrivals) prune(now time.Time) {
	for len(*r) > 0 && now.Sub((*r)[0].at) > constants.ArrivalRateWindow {
		*r = (*r)[1:]
	}
}

// expectedGangMachines returns how many whole machines the gangs that arrive within
// GangReserveHorizon are expected to need, at the arrival rate of the window.
func (r recentArrivals) expectedGangMachines(catalog *autoscaling.Catalog, now time.Time) int {
	machines := 0.0
	for _, a := range r {
		if a.forGangReserve && now.Sub(a.at) <= constants.ArrivalRateWindow {
			machines += machinesNeeded(catalog, a.demand)
		}
	}
	return int(math.Ceil(machines * constants.GangReserveHorizon.Seconds() / constants.ArrivalRateWindow.Seconds()))
}

// machinesNeeded returns how many machines a demand fills, as a fraction. It assumes machines of
// the first type in the catalog on which a task of the demand fits, and returns 0 if there is no
// such type.
func machinesNeeded(catalog *autoscaling.Catalog, demand autoscaling.Demand) float64 {
	for _, machineType := range catalog.MachineTypes {
		total := placement.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
		if tasksPerMachine := total.FitCount(demand.TaskResources, demand.Tasks); tasksPerMachine > 0 {
			return float64(demand.Tasks) / float64(tasksPerMachine)
		}
	}
	return 0
}
