package placement

import (
	"cmp"
	"maps"
	"slices"
)

// placeGang starts all of the gang's waiting tasks or none. If they do not fit, placeGang tries
// to free resources on machines or, if the team's limit is too small, earmarks a part of the
// limit for the gang if it is boosted.
func (p *pass) placeGang(gang *Job) {
	machines := p.chooseGangMachines(gang)
	p.removeEarmark(gang)
	if machines != nil {
		for i, machine := range machines {
			p.placeTask(gang, gang.WaitingTasks[i], machine)
		}
		return
	}
	if p.gangWithinLimit(gang) {
		p.preemptOrDrain(gang, len(gang.WaitingTasks))
	} else if gang.Boost != NoBoost {
		p.earmarkForBoosted(gang)
	}
}

func (p *pass) gangWithinLimit(gang *Job) bool {
	return p.limitAllows(gang, gang.waitingResources())
}

// gangSlot is free capacity on a machine for one task of a gang.
type gangSlot struct {
	machine *Machine
	score   float64
}

// chooseGangMachines chooses a machine for each waiting task. It returns nil if the whole gang
// does not fit.
func (p *pass) chooseGangMachines(gang *Job) []*Machine {
	if !p.gangWithinLimit(gang) {
		return nil
	}
	slots := p.listGangSlots(gang)
	if !gang.Spec.SameZone {
		machines, _ := chooseBestSlots(gang, slots, maxTasksPerZone(gang.Spec))
		return machines
	}
	if gang.Spec.Tasks > maxTasksPerZone(gang.Spec) {
		return nil
	}
	return chooseInBestZone(gang, slots)
}

// listGangSlots returns the free capacity for the gang's waiting tasks, in the machines'
// order.
func (p *pass) listGangSlots(gang *Job) []gangSlot {
	request := TaskResources(gang.Spec)
	var slots []gangSlot
	for _, machine := range p.candidateMachines(gang) {
		if !eligible(gang, machine) {
			continue
		}
		count := machine.freeResourcesFor(gang).FitCount(request, min(len(gang.WaitingTasks), machine.AttemptCapacity))
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

// chooseInBestZone chooses machines for a gang that must run in one zone. Of the zones that
// can hold the whole gang it takes the one with the best score, and among equals the first in
// the machines' order.
func chooseInBestZone(gang *Job, slots []gangSlot) (best []*Machine) {
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
		if !zoneAllowed(gang, zone) {
			continue
		}
		machines, score := chooseBestSlots(gang, byZone[zone], gang.Spec.Tasks)
		if machines != nil && (best == nil || score < bestScore) {
			best, bestScore = machines, score
		}
	}
	return best
}

// chooseBestSlots chooses the slots with the best scores, with at most maxPerZone of the
// gang's tasks in a zone. The score of the choice is that of its worst slot, because a gang
// starts working when its last image has arrived. It returns nil if there are not enough
// slots. It sorts the slots in place.
func chooseBestSlots(gang *Job, slots []gangSlot, maxPerZone int) (machines []*Machine, worstScore float64) {
	slices.SortStableFunc(slots, func(a, b gangSlot) int { return cmp.Compare(a.score, b.score) })
	// Running tasks count, too: a gang that lost a task gets a replacement for it.
	tasksByZone := make(map[string]int)
	maps.Copy(tasksByZone, gang.TasksByZone)
	for _, slot := range slots {
		if len(machines) == len(gang.WaitingTasks) {
			break
		}
		if tasksByZone[slot.machine.Zone] >= maxPerZone {
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
