package autoscaling

import "math"

// zoneFloor is how many machines of a type a zone must have, however many there are
// elsewhere.
type zoneFloor struct{ onDemand, total int }

// zoneDemand is what demand that is bound to a zone fills there.
type zoneDemand struct{ onDemand, spot float64 }

// zoneFloors tells the floors by zone: for jobs that may run nowhere else, and for gangs
// that must be in one zone, whichever it is. Without this a job that is bound to a zone
// waits for ever once there are enough machines in the others.
func (s Snapshot) zoneFloors(machineType MachineType) map[string]zoneFloor {
	bound, largestGang := s.zoneBoundDemand(machineType)
	floors := make(map[string]zoneFloor, len(machineType.Zones))
	for zone, demand := range bound {
		onDemand := int(math.Ceil(demand.onDemand))
		floors[zone] = zoneFloor{onDemand, onDemand + int(math.Ceil(demand.spot))}
	}
	s.raiseForOnDemandGang(floors, machineType, largestGang.onDemand)
	s.raiseForGang(floors, machineType, largestGang.total)
	return floors
}

// zoneBoundDemand sums the demand that is bound to a zone by name, and finds how many
// machines the largest gang needs in one zone: of those that can't use spot machines, and
// of all.
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

// raiseForOnDemandGang raises the floor of the zone where a gang that can't use spot
// machines gathers.
func (s Snapshot) raiseForOnDemandGang(floors map[string]zoneFloor, machineType MachineType, machines int) {
	onDemand := func(zone string) InstancePool { return InstancePool{machineType.Name, zone, false} }
	zone, found := gatheringZone(machineType.Zones, machines,
		func(zone string) int { return max(s.Machines[onDemand(zone)], floors[zone].onDemand) },
		func(zone string) bool { return s.Refused[onDemand(zone)] },
	)
	if found {
		floors[zone] = zoneFloor{max(floors[zone].onDemand, machines), max(floors[zone].total, machines)}
	}
}

// raiseForGang raises the floor of the zone where a gang that can use all machines
// gathers.
func (s Snapshot) raiseForGang(floors map[string]zoneFloor, machineType MachineType, machines int) {
	onDemand := func(zone string) InstancePool { return InstancePool{machineType.Name, zone, false} }
	spot := func(zone string) InstancePool { return InstancePool{machineType.Name, zone, true} }
	zone, found := gatheringZone(machineType.Zones, machines,
		func(zone string) int {
			return max(s.Machines[onDemand(zone)]+s.Machines[spot(zone)], floors[zone].total)
		},
		func(zone string) bool { return s.Refused[onDemand(zone)] && s.Refused[spot(zone)] },
	)
	if found {
		floors[zone] = zoneFloor{floors[zone].onDemand, max(floors[zone].total, machines)}
	}
}

// gatheringZone is where a gang that needs so many machines in one zone gathers: where
// there are most already, or will be. A zone that lacks some and where none can be had is
// left out.
func gatheringZone(zones []string, needed int, machines func(zone string) int, refused func(zone string) bool) (best string, found bool) {
	most := -1
	for _, zone := range zones {
		if count := machines(zone); count > most && (count >= needed || !refused(zone)) {
			best, most = zone, count
		}
	}
	return best, best != ""
}
