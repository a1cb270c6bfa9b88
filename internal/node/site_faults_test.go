package node

import (
	"slices"

	"thornnotch/internal/simulator"
)

// What goes wrong between a site's nodes, machines and services.

// isolate cuts a node off from the state service and the other nodes, both
// ways; workers and users reach it as before.
func (s *site) isolate(name string) {
	number := nodeNumber(name)
	for other, process := range s.nodes {
		if other != name {
			process.host.Cut(peerAddress(number))
			continue
		}
		addresses := []string{stateAddress}
		for i := range s.siteLayout.nodes {
			if i != number {
				addresses = append(addresses, peerAddress(i))
			}
		}
		process.host.Cut(addresses...)
	}
}

// cutZone cuts a node and the machines of its zone off from everything else.
func (s *site) cutZone(name string) {
	s.isolate(name)
	zone := zones[nodeNumber(name)]
	for _, place := range s.machinePlaces() {
		if place.zone != zone {
			place.host.Cut(nodeAddress(nodeNumber(name)))
			continue
		}
		for other, process := range s.nodes {
			if other != name {
				process.host.Cut(place.addr)
				place.host.Cut(nodeAddress(nodeNumber(other)))
			}
		}
	}
}

// isolateMachines cuts machines off from all nodes, both ways; nodes that start later
// do not reach them either.
func (s *site) isolateMachines(names ...string) {
	for _, name := range names {
		place := s.machinePlace(name)
		s.unreachable[place.addr] = true
		for i := range s.siteLayout.nodes {
			place.host.Cut(nodeAddress(i))
		}
		for _, process := range s.nodes {
			process.host.Cut(place.addr)
		}
	}
}

// zoneSide is all that stands in a zone, as one side of a network partition.
func (s *site) zoneSide(zone string) (side simulator.Side) {
	for name, process := range s.nodes {
		number := nodeNumber(name)
		if zones[number] == zone {
			side.Hosts = append(side.Hosts, process.host)
			side.Addrs = append(side.Addrs, nodeAddress(number), peerAddress(number))
		}
	}
	for _, place := range s.machinePlaces() {
		if place.zone == zone {
			side.Hosts = append(side.Hosts, place.host)
			side.Addrs = append(side.Addrs, place.addr)
		}
	}
	return side
}

// heal ends all cuts of running nodes and of machines.
func (s *site) heal() {
	for _, process := range s.nodes {
		process.host.Heal()
	}
	for _, place := range s.machinePlaces() {
		place.host.Heal()
	}
}

// worker finds a machine's worker by the machine's name.
func (s *site) worker(name string) *simulator.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[name]
}

func (s *site) machinePlace(name string) machinePlace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machines[name]
}

func (s *site) machinePlaces() (places []machinePlace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, place := range s.machines {
		places = append(places, place)
	}
	return places
}

// machineNames lists all machines that ever were, sorted.
func (s *site) machineNames() (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// busyMachines lists the machines that run something, sorted.
func (s *site) busyMachines() (names []string) {
	for _, machine := range s.rules.runningTasks() {
		names = append(names, machine)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// machinesOf lists the machine of each running task of a job, sorted.
func (s *site) machinesOf(job string) (machines []string) {
	for task, machine := range s.rules.runningTasks() {
		if task.Job == job {
			machines = append(machines, machine)
		}
	}
	slices.Sort(machines)
	return machines
}
