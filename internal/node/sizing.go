package node

import (
	"math"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// checkSizing logs a warning for each setting that is too small for the given number of workers,
// and stores the warnings for the status.
func (n *Node) checkSizing(workers int) {
	warnings := n.settings.SizingWarnings(workers)
	n.sizingWarnings.Store(&warnings)
	for _, warning := range warnings {
		n.log.Warn("settings are too small", "problem", warning)
	}
}

// undersizedSettings returns a warning for each setting that the last check found too small.
func (n *Node) undersizedSettings() []string {
	if warnings := n.sizingWarnings.Load(); warnings != nil {
		return *warnings
	}
	return nil
}

// expectedMachines returns how many machines the settings must support. It is the greatest of
// constants.MinWorkers, the number of machines that the teams' guarantees need and, if this node
// leads, the number of machines that exist.
func (n *Node) expectedMachines() int {
	expected := max(constants.MinWorkers, n.guaranteedMachines())
	if term := n.leading.Load(); term != nil {
		expected = max(expected, term.MachineCount())
	}
	return expected
}

// guaranteedMachines returns how many machines of the largest type the teams' guarantees add
// up to. The fleet is expected to reach at least that size.
func (n *Node) guaranteedMachines() int {
	catalog := n.catalog.load()
	if catalog == nil {
		return 0
	}
	maxGPUs, maxCPUs := 0.0, 0.0
	for _, machineType := range catalog.MachineTypes {
		maxGPUs, maxCPUs = max(maxGPUs, machineType.GPUs), max(maxCPUs, machineType.CPUs)
	}
	total := 0.0
	for _, team := range n.settings.Params.Teams {
		total += machinesFor(team, maxGPUs, maxCPUs)
	}
	return int(math.Ceil(total))
}

// machinesFor returns how many machines with the given GPUs and CPUs a team's guarantee fills.
func machinesFor(team config.Team, gpus, cpus float64) (machines float64) {
	if gpus > 0 {
		machines = team.GuaranteedGPUs / gpus
	}
	if cpus > 0 {
		machines = max(machines, team.GuaranteedCPUs/cpus)
	}
	return machines
}
