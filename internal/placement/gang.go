package placement

import (
	"cmp"
	"slices"
)

func (p *pass) gang(j *Job) {
	machines := p.gangMachines(j)
	p.unpromise(j)
	if machines != nil {
		for i, r := range machines {
			p.put(j, j.WaitingTasks[i], r)
		}
		return
	}
	p.plan.Unplaced = append(p.plan.Unplaced, j)
	if !p.gangWithinLimit(j) {
		if j.Boost != NoBoost {
			p.makeLimit(j)
		}
		return
	}
	p.makeRoom(j, len(j.WaitingTasks))
}

func (p *pass) gangWithinLimit(j *Job) bool {
	return p.allows(j, TaskResources(j.Spec).Times(len(j.WaitingTasks)))
}

// gangMachines finds machines for all waiting tasks, or none.
func (p *pass) gangMachines(j *Job) []*Machine {
	if !p.gangWithinLimit(j) {
		return nil
	}
	need := TaskResources(j.Spec)
	type seat struct {
		machine *Machine
		score   float64
	}
	byZone := make(map[string][]seat)
	var zones []string
	var all []seat
	for _, r := range p.roomyFor(j) {
		if !p.usable(j, r) {
			continue
		}
		n := r.free(j).Count(need, min(len(j.WaitingTasks), r.AttemptCapacity))
		if n == 0 {
			continue
		}
		s := seat{r, p.score(r, j)}
		for range n {
			if byZone[r.Zone] == nil {
				zones = append(zones, r.Zone)
			}
			byZone[r.Zone] = append(byZone[r.Zone], s)
			all = append(all, s)
		}
	}
	// A gang moves when its last image is there, so a choice of machines is
	// as good as its worst.
	pick := func(seats []seat, cap int) ([]*Machine, float64) {
		slices.SortStableFunc(seats, func(a, b seat) int { return cmp.Compare(a.score, b.score) })
		// Tasks that already have their place count too: a gang that lost one
		// while it waited gets a replacement.
		per := make(map[string]int)
		for z, n := range j.TasksByZone {
			per[z] = n
		}
		var out []*Machine
		worst := 0.0
		for _, s := range seats {
			if len(out) == len(j.WaitingTasks) {
				break
			}
			if per[s.machine.Zone] >= cap {
				continue
			}
			per[s.machine.Zone]++
			out = append(out, s.machine)
			worst = s.score
		}
		if len(out) < len(j.WaitingTasks) {
			return nil, 0
		}
		return out, worst
	}
	if !j.Spec.SameZone {
		machines, _ := pick(all, ZoneCap(j.Spec))
		return machines
	}
	if j.Spec.Tasks > ZoneCap(j.Spec) {
		return nil
	}
	var best []*Machine
	bestScore := 0.0
	for _, z := range zones {
		if !zoneAllows(j, z) {
			continue
		}
		if machines, s := pick(byZone[z], j.Spec.Tasks); machines != nil && (best == nil || s < bestScore) {
			best, bestScore = machines, s
		}
	}
	return best
}
