package autoscaling

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// IdleMachine is a machine with nothing on it.
type IdleMachine struct {
	Name   string
	Pool   InstancePool
	Images int // in its cache, lost with it
}

// ScaleIn names the idle machines that are not wanted any more: the dear ones first, and
// of those the ones with the least in their cache.
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

// byReturnOrder sorts a copy of the idle machines, those to be returned first first.
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

// remainingMachines are the machines that remain as some are returned.
type remainingMachines struct {
	snapshot Snapshot
	byPool   map[InstancePool]int
	byType   map[string]*remainingOfType
}

// remainingOfType counts the machines of one type in all zones.
type remainingOfType struct {
	onDemand, spot int
	floors         map[string]zoneFloor
}

func (r *remainingMachines) ofType(typeName string) *remainingOfType {
	counts := r.byType[typeName]
	if counts == nil {
		onDemand, spot := r.snapshot.machinesOf(typeName)
		machineType, _ := r.snapshot.Catalog.Type(typeName)
		counts = &remainingOfType{onDemand, spot, r.snapshot.zoneFloors(machineType)}
		r.byType[typeName] = counts
	}
	return counts
}

// canSpare tells whether one machine less in the pool leaves what is to be kept. A type
// that keep does not name is not touched.
func (r *remainingMachines) canSpare(pool InstancePool, keep map[string]DesiredCapacity) bool {
	counts := r.ofType(pool.Type)
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
	if counts := r.ofType(pool.Type); pool.Spot {
		counts.spot--
	} else {
		counts.onDemand--
	}
}
