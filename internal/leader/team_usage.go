package leader

import "thornnotch/internal/placement"

// teamUsage is what the teams' attempts and reservations take, as the machines' views
// show it.
type teamUsage map[string]placement.Resources

// teamUse is what one attempt or reservation adds to its team's usage.
type teamUse struct {
	team      string
	resources placement.Resources
}

// replace takes what a machine added to the teams' usage out of it, and adds what it
// takes now.
func (u teamUsage) replace(previous, present []teamUse) {
	for _, use := range previous {
		u[use.team] = u[use.team].Sub(use.resources)
	}
	for _, use := range present {
		u[use.team] = u[use.team].Add(use.resources)
	}
}

// setTeamUsage replaces what a machine adds to the teams' usage.
func (l *Leader) setTeamUsage(machine *machineState, uses []teamUse) {
	l.teamUsage.replace(machine.countedUsage, uses)
	machine.countedUsage = uses
}
