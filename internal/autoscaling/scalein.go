package autoscaling

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// IdleMachine is a machine without tasks and reservations.
type IdleMachine struct {
	Name   string
	Pool   InstancePool
	Images int // number of images in its cache, which are lost when it is returned
}

// ScaleIn returns the names of the idle machines that are needed neither for the capacity to
// keep, by machine type, nor for a zone's floor. The most expensive machines are returned first
// and, at equal prices, those with the fewest cached images.
func ScaleIn(s Snapshot, keep map[string]DesiredCapacity, idle []IdleMachine) (names []string) {
	remaining := remainingMachines{
		snapshot: s,
		byPool:   maps.Clone(s.Machines),
		byType:   make(map[string]*remainingOfType),
	}
	for _, machine := range s.byReturnOrder(idle) {
		if remaining.canSpare(machine.Pool, keep) {
			remaining.remove(machine.Pool)
			names = append(names, machine.Name)
		}
	}
	return names
}

// byReturnOrder returns the idle machines sorted by the order in which they are to be returned.
func (s Snapshot) byReturnOrder(idle []IdleMachine) []IdleMachine {
	price := func(pool InstancePool) float64 {
		machineType, _ := s.Catalog.Type(pool.Type)
		return machineType.price(pool.Spot)
	}
	idle = slices.Clone(idle)
	slices.SortFunc(idle, func(a, b IdleMachine) int {
		return cmp.Or(
			cmp.Compare(price(b.Pool), price(a.Pool)),
			cmp.Compare(a.Images, b.Images),
			strings.Compare(a.Name, b.Name),
		)
	})
	return idle
}

// remainingMachines tracks the machines that remain while some are selected for return.
type remainingMachines struct {
	snapshot Snapshot
	byPool   map[InstancePool]int
	byType   map[string]*remainingOfType
}

// remainingOfType holds the number of machines of one type in all zones, and the type's zone
// floors.
type remainingOfType struct {
	onDemand, spot int
	floors         map[string]zoneFloor
}

// countsOf returns the counts of a machine type, which are computed on first use.
func (r *remainingMachines) countsOf(typeName string) *remainingOfType {
	counts := r.byType[typeName]
	if counts == nil {
		onDemand, spot := r.snapshot.machinesOf(typeName)
		machineType, _ := r.snapshot.Catalog.Type(typeName)
		counts = &remainingOfType{onDemand, spot, r.snapshot.zoneFloors(machineType)}
		r.byType[typeName] = counts
	}
	return counts
}

// canSpare reports whether the zone's floor and the capacity to keep are still met without one
// of the pool's machines. Machines of types that are missing in keep are never returned.
func (r *remainingMachines) canSpare(pool InstancePool, keep map[string]DesiredCapacity) bool {
	counts := r.countsOf(pool.Type)
	floor := counts.floors[pool.Zone]
	onDemandInZone := r.byPool[InstancePool{pool.Type, pool.Zone, false}]
	inZone := onDemandInZone + r.byPool[InstancePool{pool.Type, pool.Zone, true}]
	if inZone <= floor.total || !pool.Spot && onDemandInZone <= floor.onDemand {
		return false
	}
	desired, known := keep[pool.Type]
	if !known {
		return false
	}
	if pool.Spot {
		return counts.onDemand+counts.spot > int(desired.Total)
	}
	return counts.onDemand > int(desired.OnDemand)+desired.overflow(counts.spot)
}

func (r *remainingMachines) remove(pool InstancePool) {
	r.byPool[pool]--
	if counts := r.countsOf(pool.Type); pool.Spot {
		counts.spot--
	} else {
		counts.onDemand--
	}
}
