package leader

import (
	"thornnotch/internal/placement"
)

// teamUse is what one attempt or hold adds to its team's use.
type teamUse struct {
	team      string
	resources placement.Resources
}

// setTeamUsage replaces what a machine adds to the teams' use.
func (l *Leader) setTeamUsage(machine *machineState, uses []teamUse) {
	for _, u := range machine.countedUsage {
		l.teamUsage[u.team] = l.teamUsage[u.team].Sub(u.resources)
	}
	for _, u := range uses {
		l.teamUsage[u.team] = l.teamUsage[u.team].Add(u.resources)
	}
	machine.countedUsage = uses
}
