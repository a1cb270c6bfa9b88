package autoscaling

import (
	"slices"
	"strings"

	"thornnotch/internal/constants"
)

// ScaleOut returns the next rent request, or false if no more machines are needed than are
// usable or booting, or if none of the missing ones can be rented. Unavailable spot machines are
// replaced in part by on-demand ones. spare is explained at DesiredCapacityFor.
func ScaleOut(s Snapshot, spare float64) (RentRequest, bool) {
	types := slices.Clone(s.Catalog.MachineTypes)
	slices.SortFunc(types, func(a, b MachineType) int { return strings.Compare(a.Name, b.Name) })
	for _, machineType := range types {
		if request, ok := s.rentForFloors(machineType); ok {
			return request, true
		}
		if request, ok := s.rentForDesired(machineType, DesiredCapacityFor(s, machineType, spare)); ok {
			return request, true
		}
	}
	return RentRequest{}, false
}

// rentForFloors returns a request for a zone that has fewer machines than its floor.
func (s Snapshot) rentForFloors(machineType MachineType) (RentRequest, bool) {
	floors := s.zoneFloors(machineType)
	for _, zone := range machineType.Zones {
		floor := floors[zone]
		onDemandPool, spotPool := InstancePool{machineType.Name, zone, false}, InstancePool{machineType.Name, zone, true}
		onDemand, spot := s.Machines[onDemandPool], s.Machines[spotPool]
		if missing := floor.onDemand - onDemand; missing > 0 && !s.Unavailable[onDemandPool] {
			return rentRequest(onDemandPool, missing), true
		}
		missing := floor.total - max(onDemand, floor.onDemand) - spot
		switch {
		case missing <= 0:
		case !s.Unavailable[spotPool]:
			return rentRequest(spotPool, missing), true
		case !s.Unavailable[onDemandPool]:
			return rentRequest(onDemandPool, missing), true
		}
	}
	return RentRequest{}, false
}

// rentForDesired returns a request toward the desired capacity: first on-demand machines for
// tasks that can't use spot machines, then spot machines, then on-demand machines in place of
// missing spot machines.
func (s Snapshot) rentForDesired(machineType MachineType, desired DesiredCapacity) (RentRequest, bool) {
	onDemand, spot := s.machinesOf(machineType.Name)
	wantedOnDemand := int(desired.OnDemand)
	if request, ok := s.rentInZone(machineType, wantedOnDemand-onDemand, false); ok {
		return request, true
	}
	if request, ok := s.rentInZone(machineType, int(desired.Total)-max(onDemand, wantedOnDemand)-spot, true); ok {
		return request, true
	}
	return s.rentInZone(machineType, wantedOnDemand+desired.overflow(spot)-onDemand, false)
}

// rentInZone returns a request for the missing machines in the available zone with the fewest
// machines of the type.
func (s Snapshot) rentInZone(machineType MachineType, missing int, spot bool) (RentRequest, bool) {
	if missing <= 0 {
		return RentRequest{}, false
	}
	zone, found := s.zoneWithFewestMachines(machineType, spot)
	if !found {
		return RentRequest{}, false
	}
	return rentRequest(InstancePool{machineType.Name, zone, spot}, missing), true
}

func rentRequest(pool InstancePool, missing int) RentRequest {
	return RentRequest{MachineType: pool.Type, Zone: pool.Zone, Spot: pool.Spot, Count: min(missing, constants.MaxMachinesPerRent)}
}

// zoneWithFewestMachines returns the available zone with the fewest machines of the type.
// Spreading machines this way limits the damage when a zone is lost.
func (s Snapshot) zoneWithFewestMachines(machineType MachineType, spot bool) (best string, found bool) {
	fewest := 0
	for _, zone := range machineType.Zones {
		if s.Unavailable[InstancePool{machineType.Name, zone, spot}] {
			continue
		}
		count := s.Machines[InstancePool{machineType.Name, zone, true}] + s.Machines[InstancePool{machineType.Name, zone, false}]
		if !found || count < fewest {
			best, found, fewest = zone, true, count
		}
	}
	return best, found
}
