package leader

import (
	"time"

	"thornnotch/internal/constants"
)

// unreachableZones holds the time until which each zone counts as unreachable.
//
// Machines fail one at a time. If most of a zone falls silent at once, a network partition is
// the likely cause, and the zone's machines will come back with their cached images. They are
// therefore not returned early: replacements would have to boot and fetch all images again, and
// those rented in the same zone could not be reached either.
type unreachableZones map[string]time.Time

// update marks a zone as unreachable for UnreachableZoneRecovery if most of its machines are
// silent, given the number of machines and of silent machines in each zone. It returns, for
// each zone that was ever marked, whether it is unreachable now.
func (u unreachableZones) update(machines, silent map[string]int, now time.Time) map[string]bool {
	for zone, n := range silent {
		if n >= constants.UnreachableZoneMinSilent && 2*n > machines[zone] {
			u[zone] = now.Add(constants.UnreachableZoneRecovery)
		}
	}
	// When a partition heals, machines reconnect one after another. The last ones must not
	// be returned just because most have reconnected.
	unreachable := make(map[string]bool)
	for zone, until := range u {
		unreachable[zone] = now.Before(until)
	}
	return unreachable
}

// updateUnreachableZones updates the reachability of all zones and returns whether each is
// unreachable: most of its machines are silent beyond their lease, or were until recently.
func (l *Leader) updateUnreachableZones(now time.Time) map[string]bool {
	machines, silent := make(map[string]int), make(map[string]int)
	for machine := range l.fleet.all() {
		if machine.lifecycle.isLeaving() {
			continue
		}
		machines[machine.worker.Zone]++
		if l.isSilentBeyondLease(machine, now) {
			silent[machine.worker.Zone]++
		}
	}
	return l.scaling.zones.update(machines, silent, now)
}
