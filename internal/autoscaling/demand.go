package autoscaling

import (
	"math"
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// InstancePool is where machines come from: a type, in a zone, spot or on demand.
type InstancePool struct {
	Type, Zone string
	Spot       bool
}

// Demand is one unfinished job's tasks that are not done yet.
type Demand struct {
	Team          string
	Tasks         int
	TaskResources placement.Resources
	AllowSpot     bool     // may use spot machines
	MachineTypes  []string // nil: any
	Zone          string   // empty: any
	// SameZone: all at the same time and in the same zone, whichever it is.
	SameZone bool
}

// TeamLimit is the most that a team may use; more machines than it allows are no help.
type TeamLimit struct {
	Team  string
	Limit placement.Resources
}

// Snapshot is what decisions to scale look at.
type Snapshot struct {
	Catalog  *Catalog
	Machines map[InstancePool]int  // up or on their way
	Refused  map[InstancePool]bool // lately without capacity
	Demand   []Demand
	Limits   []TeamLimit
	// Recent are the jobs that came within the last Window, whether done or not: as much
	// is to be expected of the time to come.
	Recent []Demand
	Window time.Duration
}

// machinesOf counts the machines of a type in all zones.
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

// machinesFilled is how many machines of a type the demand would fill, at most as much as
// the teams' limits let run: on-demand ones for what can't run elsewhere, spot ones for
// the rest.
func (s Snapshot) machinesFilled(demand []Demand, machineType MachineType) (onDemand, spot float64) {
	s.forEachRunnable(demand, machineType, func(d Demand, tasks, perMachine int) {
		if machines := float64(tasks) / float64(perMachine); d.AllowSpot {
			spot += machines
		} else {
			onDemand += machines
		}
	})
	return onDemand, spot
}

// forEachRunnable visits each demand that machines of the type can serve, with how many
// of its tasks the team's limit lets run at once beside those before it, and how many
// whole ones one machine takes.
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
			tasks = leftOfLimit(limit, used[d.Team]).Count(d.TaskResources, tasks)
		}
		used[d.Team] = used[d.Team].Add(d.TaskResources.Times(tasks))
		if perMachine := machineType.resources().Count(d.TaskResources, constants.MaxTasks); perMachine >= 1 {
			visit(d, tasks, perMachine)
		}
	}
}

// leftOfLimit is what a team may use on top. A kind that is not set is not limited, nor is
// memory.
func leftOfLimit(limit, used placement.Resources) placement.Resources {
	left := limit.Sub(used)
	if limit.GPUs <= 0 {
		left.GPUs = math.Inf(1)
	}
	if limit.CPUs <= 0 {
		left.CPUs = math.Inf(1)
	}
	left.MemoryGB = math.Inf(1)
	return left
}
