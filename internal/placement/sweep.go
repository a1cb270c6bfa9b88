package placement

import (
	"container/heap"
)

// candidate is a machine that a sweep's next task could go to.
type candidate struct {
	machine *Machine
	score   float64
}

// candidates is a heap, the best first.
type candidates []candidate

func (c candidates) Len() int { return len(c) }
func (c candidates) Less(i, j int) bool {
	if c[i].score != c[j].score {
		return c[i].score < c[j].score
	}
	return c[i].machine.rank < c[j].machine.rank
}
func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push adds a candidate.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop takes the last one off.
func (c *candidates) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// takes tells whether one more task of a sweep may go to the machine, as far as its
// team's limit lets it start at all.
func (p *pass) takes(j *Job, r *Machine, need Resources) bool {
	if j.Spec.AllowSpot && !r.Spot && r.used == (Resources{}) && p.whole <= p.ReservedMachines {
		// Whole ordinary machines are kept for gangs that can use no others.
		return false
	}
	return p.usable(j, r) && zoneAllows(j, r.Zone) && r.free(j).Fits(need)
}

// sweep places a job's waiting tasks from one on, on machines that have its
// image within patience seconds, and tells up to which one it came.
func (p *pass) sweep(j *Job, from int, patience float64) int {
	need := TaskResources(j.Spec)
	if !p.allows(j, need) {
		return from
	}
	c := p.cands[:0]
	for _, r := range p.roomyFor(j) {
		if p.takes(j, r, need) && r.delay(j) <= patience {
			c = append(c, candidate{r, p.score(r, j)})
		}
	}
	heap.Init(&c)
	defer func() { p.cands = c[:0] }()
	for i := from; i < len(j.WaitingTasks); i++ {
		if !p.allows(j, need) {
			return i
		}
		// A put changes the score of its own machine, and makes whole ones
		// dearer: what comes to the top is looked at again.
		for len(c) > 0 {
			if !p.takes(j, c[0].machine, need) {
				heap.Pop(&c)
				continue
			}
			if s := p.score(c[0].machine, j); s > c[0].score {
				c[0].score = s
				heap.Fix(&c, 0)
				continue
			}
			break
		}
		if len(c) == 0 {
			return i
		}
		p.put(j, j.WaitingTasks[i], c[0].machine)
		c[0].score = p.score(c[0].machine, j)
		heap.Fix(&c, 0)
	}
	return len(j.WaitingTasks)
}
