package placement

import (
	"cmp"
	"maps"
	"slices"
)

// placeGang starts all of a gang's waiting tasks or none. If none, room is made for it,
// in its team's limit or on machines.
func (p *pass) placeGang(gang *Job) {
	machines := p.gangMachines(gang)
	p.endLimitPromise(gang)
	if machines != nil {
		for i, machine := range machines {
			p.place(gang, gang.WaitingTasks[i], machine)
		}
		return
	}
	p.plan.Unplaced = append(p.plan.Unplaced, gang)
	if p.gangWithinLimit(gang) {
		p.preemptOrDrain(gang, len(gang.WaitingTasks))
	} else if gang.Boost != NoBoost {
		p.keepLimitForBoosted(gang)
	}
}

func (p *pass) gangWithinLimit(gang *Job) bool {
	return p.limitAllows(gang, gang.waitingResources())
}

// gangSlot is room for one task of a gang.
type gangSlot struct {
	machine *Machine
	score   float64
}

// gangMachines chooses a machine for each waiting task, or returns nil if there are not
// enough.
func (p *pass) gangMachines(gang *Job) []*Machine {
	if !p.gangWithinLimit(gang) {
		return nil
	}
	slots := p.gangSlots(gang)
	if !gang.Spec.SameZone {
		machines, _ := chooseGangSlots(gang, slots, ZoneCap(gang.Spec))
		return machines
	}
	if gang.Spec.Tasks > ZoneCap(gang.Spec) {
		return nil
	}
	return bestZone(gang, slots)
}

// gangSlots lists the room for the gang's waiting tasks, machine by machine.
func (p *pass) gangSlots(gang *Job) []gangSlot {
	request := TaskResources(gang.Spec)
	var slots []gangSlot
	for _, machine := range p.machinesFor(gang) {
		if !eligible(gang, machine) {
			continue
		}
		count := machine.freeFor(gang).Count(request, min(len(gang.WaitingTasks), machine.AttemptCapacity))
		if count == 0 {
			continue
		}
		slot := gangSlot{machine, p.score(machine, gang)}
		for range count {
			slots = append(slots, slot)
		}
	}
	return slots
}

// bestZone chooses machines for a gang that must be in one zone: of the zones that have
// room for all of it the one with the best score, the first such one by the machines'
// order.
func bestZone(gang *Job, slots []gangSlot) (best []*Machine) {
	byZone := make(map[string][]gangSlot)
	var zones []string
	for _, slot := range slots {
		zone := slot.machine.Zone
		if byZone[zone] == nil {
			zones = append(zones, zone)
		}
		byZone[zone] = append(byZone[zone], slot)
	}
	bestScore := 0.0
	for _, zone := range zones {
		if !zoneAllows(gang, zone) {
			continue
		}
		machines, score := chooseGangSlots(gang, byZone[zone], gang.Spec.Tasks)
		if machines != nil && (best == nil || score < bestScore) {
			best, bestScore = machines, score
		}
	}
	return best
}

// chooseGangSlots takes the best slots with at most zoneCap of the gang's tasks in a zone.
// The score of the choice is that of its worst slot, as a gang starts to work when its
// last image is there. It returns nil if there are not enough slots. It sorts the slots.
func chooseGangSlots(gang *Job, slots []gangSlot, zoneCap int) (machines []*Machine, worstScore float64) {
	slices.SortStableFunc(slots, func(a, b gangSlot) int { return cmp.Compare(a.score, b.score) })
	// Tasks that already run count too: a gang that lost one gets a replacement.
	tasksByZone := make(map[string]int)
	maps.Copy(tasksByZone, gang.TasksByZone)
	for _, slot := range slots {
		if len(machines) == len(gang.WaitingTasks) {
			break
		}
		if tasksByZone[slot.machine.Zone] >= zoneCap {
			continue
		}
		tasksByZone[slot.machine.Zone]++
		machines = append(machines, slot.machine)
		worstScore = slot.score
	}
	if len(machines) < len(gang.WaitingTasks) {
		return nil, 0
	}
	return machines, worstScore
}
