package leader

import "thornnotch/internal/placement"

// teamUsage holds the resources that each team's attempts and reservations take, as counted
// in the machine views.
type teamUsage map[string]placement.Resources

// teamResources is the contribution of one attempt or reservation to its team's usage.
type teamResources struct {
	team      string
	resources placement.Resources
}

// replace subtracts a machine's previous contributions from the teams' usage and adds its
// current ones.
func (u teamUsage) replace(previous, current []teamResources) {
	for _, use := range previous {
		u[use.team] = u[use.team].Sub(use.resources)
	}
	for _, use := range current {
		u[use.team] = u[use.team].Add(use.resources)
	}
}

// setTeamUsage replaces a machine's contributions to the teams' usage.
func (l *Leader) setTeamUsage(machine *machineState, uses []teamResources) {
	l.teamUsage.replace(machine.countedUsage, uses)
	machine.countedUsage = uses
}
