package leader

import (
	"time"

	"thornnotch/internal/constants"
)

// unreachableZones are the zones that count as cut off, and until when.
//
// Machines die one by one; a zone that goes dark is cut off, and comes back with all its
// machines and their images. Giving them all up for others that must boot and
// fetch anew, in a zone that can't be reached, is the worst answer to a cut.
type unreachableZones map[string]time.Time

// update takes in how many machines each zone has, and how many of them are silent: most
// of a zone's cut it off for a while. It tells of each zone that was ever cut off whether
// it is now.
func (u unreachableZones) update(machines, silent map[string]int, now time.Time) map[string]bool {
	for zone, n := range silent {
		if n >= constants.UnreachableMinMachines && 2*n > machines[zone] {
			u[zone] = now.Add(constants.UnreachableHold)
		}
	}
	// When the cut heals, machines come back one after the other. Those that
	// come last must not be given up because most are there already.
	unreachable := make(map[string]bool)
	for zone, until := range u {
		unreachable[zone] = now.Before(until)
	}
	return unreachable
}

// unreachableZones are the zones most of whose machines are silent, or were a short
// while ago.
func (l *Leader) unreachableZones(now time.Time) map[string]bool {
	machines, silent := make(map[string]int), make(map[string]int)
	for machine := range l.fleet.all() {
		if machine.lifecycle.isLeaving() {
			continue
		}
		machines[machine.agent.Zone]++
		if l.isSilentBeyondLease(machine, now) {
			silent[machine.agent.Zone]++
		}
	}
	return l.scaling.zones.update(machines, silent, now)
}
