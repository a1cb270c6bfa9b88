package autoscaling

import (
	"math"
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// InstancePool identifies a group of interchangeable machines: all spot machines, or all
// on-demand machines, of one type in one zone.
type InstancePool struct {
	Type, Zone string
	Spot       bool
}

// Demand is the resource demand of the unfinished tasks of one job.
type Demand struct {
	Team          string
	Tasks         int
	TaskResources placement.Resources
	AllowSpot     bool     // the tasks may use spot machines
	MachineTypes  []string // allowed types; nil: any
	Zone          string   // required zone; empty: any
	// SameZone is set for a gang whose tasks must all run at the same time in the same
	// zone.
	SameZone bool
}

// TeamLimit is the maximum that a team may use. Demand above it does not justify machines.
type TeamLimit struct {
	Team  string
	Limit placement.Resources
}

// Snapshot is the input to the scaling decisions.
type Snapshot struct {
	Catalog     *Catalog
	Machines    map[InstancePool]int  // number of usable or booting machines
	Unavailable map[InstancePool]bool // pools in which no machines can be rented or reached
	Demand      []Demand
	Limits      []TeamLimit
	// RecentArrivals is the demand of all jobs that arrived within the last ArrivalWindow,
	// whether finished or not. It serves as the forecast of future arrivals.
	RecentArrivals []Demand
	ArrivalWindow  time.Duration
}

// machinesOf returns the number of machines of a type in all zones.
func (s Snapshot) machinesOf(typeName string) (onDemand, spot int) {
	for pool, count := range s.Machines {
		switch {
		case pool.Type != typeName:
		case pool.Spot:
			spot += count
		default:
			onDemand += count
		}
	}
	return onDemand, spot
}

// machinesNeeded returns how many machines of a type the demand would fill, within the teams'
// limits: on-demand machines for tasks that can't use spot machines, spot machines for all
// other tasks.
func (s Snapshot) machinesNeeded(demand []Demand, machineType MachineType) (onDemand, spot float64) {
	s.forEachRunnable(demand, machineType, func(d Demand, tasks, perMachine int) {
		if machines := float64(tasks) / float64(perMachine); d.AllowSpot {
			spot += machines
		} else {
			onDemand += machines
		}
	})
	return onDemand, spot
}

// forEachRunnable calls visit for each demand that machines of the type can serve. tasks is
// the number of its tasks that can run at the same time within the part of the team's limit
// that earlier demands do not use, and perMachine the number of tasks that fit on one machine.
func (s Snapshot) forEachRunnable(demand []Demand, machineType MachineType, visit func(d Demand, tasks, perMachine int)) {
	used := make(map[string]placement.Resources)
	limits := make(map[string]placement.Resources)
	for _, team := range s.Limits {
		limits[team.Team] = team.Limit
	}
	for _, d := range demand {
		if d.MachineTypes != nil && !slices.Contains(d.MachineTypes, machineType.Name) {
			continue
		}
		tasks := d.Tasks
		if limit, limited := limits[d.Team]; limited {
			tasks = remainingLimit(limit, used[d.Team]).FitCount(d.TaskResources, tasks)
		}
		used[d.Team] = used[d.Team].Add(d.TaskResources.Times(tasks))
		if perMachine := machineType.resources().FitCount(d.TaskResources, constants.MaxTasks); perMachine >= 1 {
			visit(d, tasks, perMachine)
		}
	}
}

// remainingLimit returns how much more a team may use. CPUs and GPUs whose limit is 0 are
// unlimited; memory is never limited.
func remainingLimit(limit, used placement.Resources) placement.Resources {
	remaining := limit.Sub(used)
	if limit.GPUs <= 0 {
		remaining.GPUs = math.Inf(1)
	}
	if limit.CPUs <= 0 {
		remaining.CPUs = math.Inf(1)
	}
	remaining.MemoryGB = math.Inf(1)
	return remaining
}
