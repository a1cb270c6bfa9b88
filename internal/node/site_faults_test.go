package node

import (
	"slices"

	"thornnotch/internal/simulator"
)

// Network faults between a site's nodes, machines and services.

// isolateNode cuts a node off from the state service and from the other nodes, in both
// directions. Workers and users still reach it.
func (s *site) isolateNode(name string) {
	number := nodeNumber(name)
	for other, process := range s.nodes {
		if other != name {
			process.host.Disconnect(peerAddress(number))
			continue
		}
		addresses := []string{stateAddress}
		for i := range s.siteOptions.nodes {
			if i != number {
				addresses = append(addresses, peerAddress(i))
			}
		}
		process.host.Disconnect(addresses...)
	}
}

// isolateZoneOf isolates a node together with the machines of its zone: these machines and the
// other nodes can't reach each other, and no machine of another zone reaches the node. The
// node still reaches the cloud, and can send direct commands to machines of other zones.
func (s *site) isolateZoneOf(name string) {
	s.isolateNode(name)
	zone := zones[nodeNumber(name)]
	for _, location := range s.machineLocations() {
		if location.zone != zone {
			location.host.Disconnect(nodeAddress(nodeNumber(name)))
			continue
		}
		for other, process := range s.nodes {
			if other != name {
				process.host.Disconnect(location.addr)
				location.host.Disconnect(nodeAddress(nodeNumber(other)))
			}
		}
	}
}

// isolateMachines cuts machines off from all nodes, in both directions. Nodes that start later
// can't reach them either.
func (s *site) isolateMachines(names ...string) {
	for _, name := range names {
		location := s.machineLocation(name)
		s.unreachableAddresses[location.addr] = true
		for i := range s.siteOptions.nodes {
			location.host.Disconnect(nodeAddress(i))
		}
		for _, process := range s.nodes {
			process.host.Disconnect(location.addr)
		}
	}
}

// zoneSide returns the nodes and machines in a zone as one side of a network partition.
func (s *site) zoneSide(zone string) (side simulator.Side) {
	for name, process := range s.nodes {
		number := nodeNumber(name)
		if zones[number] == zone {
			side.Hosts = append(side.Hosts, process.host)
			side.Addrs = append(side.Addrs, nodeAddress(number), peerAddress(number))
		}
	}
	for _, location := range s.machineLocations() {
		if location.zone == zone {
			side.Hosts = append(side.Hosts, location.host)
			side.Addrs = append(side.Addrs, location.addr)
		}
	}
	return side
}

// healPartitions ends all partitions between running nodes, machines and services. It leaves
// unreachableAddresses as they are.
func (s *site) healPartitions() {
	for _, process := range s.nodes {
		process.host.Heal()
	}
	for _, location := range s.machineLocations() {
		location.host.Heal()
	}
}

// worker returns the simulated worker of a machine by the machine's name.
func (s *site) worker(name string) *simulator.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[name]
}

func (s *site) machineLocation(name string) machineLocation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machines[name]
}

func (s *site) machineLocations() (locations []machineLocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, location := range s.machines {
		locations = append(locations, location)
	}
	return locations
}

// machineNames returns the sorted names of all machines rented so far, including those that
// are gone.
func (s *site) machineNames() (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// busyMachines returns the sorted names of the machines that run at least one task.
func (s *site) busyMachines() (names []string) {
	for _, machine := range s.rules.runningTasks() {
		names = append(names, machine)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// runningMachinesOf returns the machine of each running task of a job, sorted. A machine
// appears once for each task.
func (s *site) runningMachinesOf(job string) (machines []string) {
	for task, machine := range s.rules.runningTasks() {
		if task.Job == job {
			machines = append(machines, machine)
		}
	}
	slices.Sort(machines)
	return machines
}
