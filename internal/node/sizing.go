package node

import (
	"math"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// checkSizing logs which settings are too small for so many workers, and has the
// status name them.
func (n *Node) checkSizing(workers int) {
	problems := n.settings.SizingWarnings(workers)
	n.undersized.Store(&problems)
	for _, problem := range problems {
		n.log.Warn("settings are too small", "problem", problem)
	}
}

// undersizedSettings are the settings that the last check found too small.
func (n *Node) undersizedSettings() []string {
	if problems := n.undersized.Load(); problems != nil {
		return *problems
	}
	return nil
}

// expectedMachines is how many machines the settings must be enough for: those that
// the teams are guaranteed, or those that there are if this node leads.
func (n *Node) expectedMachines() int {
	expected := max(constants.MinWorkers, n.guaranteedMachines())
	if term := n.leading.Load(); term != nil {
		expected = max(expected, term.Machines())
	}
	return expected
}

// guaranteedMachines is how many machines the teams' guarantees fill, on the
// largest type: at least as many are to be expected.
func (n *Node) guaranteedMachines() int {
	catalog := n.catalog.load()
	if catalog == nil {
		return 0
	}
	maxGPUs, maxCPUs := 0.0, 0.0
	for _, machineType := range catalog.MachineTypes {
		maxGPUs, maxCPUs = max(maxGPUs, machineType.GPUs), max(maxCPUs, machineType.CPUs)
	}
	sum := 0.0
	for _, team := range n.settings.Params.Teams {
		sum += machinesFor(team, maxGPUs, maxCPUs)
	}
	return int(math.Ceil(sum))
}

// machinesFor is how many machines with so many GPUs and CPUs a team's guarantee fills.
func machinesFor(team config.Team, gpus, cpus float64) (machines float64) {
	if gpus > 0 {
		machines = team.GuaranteedGPUs / gpus
	}
	if cpus > 0 {
		machines = max(machines, team.GuaranteedCPUs/cpus)
	}
	return machines
}
