package autoscaling

import "math"

// zoneFloor is the minimum number of machines of a type in a zone, regardless of the number
// in other zones.
type zoneFloor struct{ onDemand, total int }

// zoneDemand is the number of machines that the demand bound to a zone would fill.
type zoneDemand struct{ onDemand, spot float64 }

// zoneFloors returns the floors of a machine type by zone. They serve jobs that are bound to
// a zone by name, and gangs that must run within one zone. Without floors, a job bound to a
// zone would wait forever once other zones have enough machines for the total demand.
func (s Snapshot) zoneFloors(machineType MachineType) map[string]zoneFloor {
	bound, largestGang := s.zoneBoundDemand(machineType)
	floors := make(map[string]zoneFloor, len(machineType.Zones))
	for zone, demand := range bound {
		onDemand := int(math.Ceil(demand.onDemand))
		floors[zone] = zoneFloor{onDemand, onDemand + int(math.Ceil(demand.spot))}
	}
	s.raiseFloorForOnDemandGang(floors, machineType, largestGang.onDemand)
	s.raiseFloorForGang(floors, machineType, largestGang.total)
	return floors
}

// zoneBoundDemand returns the demand that is bound to a zone by name, and how many machines
// the largest gang needs in one zone: onDemand for gangs that can't use spot machines, total
// for all gangs.
func (s Snapshot) zoneBoundDemand(machineType MachineType) (bound map[string]zoneDemand, largestGang zoneFloor) {
	bound = make(map[string]zoneDemand)
	s.forEachRunnable(s.Demand, machineType, func(d Demand, tasks, perMachine int) {
		switch {
		case d.Zone != "":
			demand := bound[d.Zone]
			if machines := float64(tasks) / float64(perMachine); d.AllowSpot {
				demand.spot += machines
			} else {
				demand.onDemand += machines
			}
			bound[d.Zone] = demand
		case d.SameZone && tasks == d.Tasks:
			machines := (tasks + perMachine - 1) / perMachine
			largestGang.total = max(largestGang.total, machines)
			if !d.AllowSpot {
				largestGang.onDemand = max(largestGang.onDemand, machines)
			}
		}
	})
	return bound, largestGang
}

// raiseFloorForOnDemandGang raises the floor of the zone selected for a gang that can't use
// spot machines.
func (s Snapshot) raiseFloorForOnDemandGang(floors map[string]zoneFloor, machineType MachineType, machines int) {
	onDemand := func(zone string) InstancePool { return InstancePool{machineType.Name, zone, false} }
	zone, found := gangZone(machineType.Zones, machines,
		func(zone string) int { return max(s.Machines[onDemand(zone)], floors[zone].onDemand) },
		func(zone string) bool { return s.Unavailable[onDemand(zone)] },
	)
	if found {
		floors[zone] = zoneFloor{max(floors[zone].onDemand, machines), max(floors[zone].total, machines)}
	}
}

// raiseFloorForGang raises the floor of the zone selected for a gang that can use both
// on-demand and spot machines.
func (s Snapshot) raiseFloorForGang(floors map[string]zoneFloor, machineType MachineType, machines int) {
	onDemand := func(zone string) InstancePool { return InstancePool{machineType.Name, zone, false} }
	spot := func(zone string) InstancePool { return InstancePool{machineType.Name, zone, true} }
	zone, found := gangZone(machineType.Zones, machines,
		func(zone string) int {
			return max(s.Machines[onDemand(zone)]+s.Machines[spot(zone)], floors[zone].total)
		},
		func(zone string) bool { return s.Unavailable[onDemand(zone)] && s.Unavailable[spot(zone)] },
	)
	if found {
		floors[zone] = zoneFloor{floors[zone].onDemand, max(floors[zone].total, machines)}
	}
}

// gangZone selects the zone for a gang that needs the given number of machines in one zone:
// the one with the most machines, present or already required. Zones with too few machines
// where no more can be rented are skipped.
func gangZone(zones []string, needed int, machines func(zone string) int, unavailable func(zone string) bool) (best string, found bool) {
	bestCount := -1
	for _, zone := range zones {
		if count := machines(zone); count > bestCount && (count >= needed || !unavailable(zone)) {
			best, bestCount = zone, count
		}
	}
	return best, best != ""
}
