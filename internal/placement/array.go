package placement

import "container/heap"

// placeArray places a job's waiting tasks from the given one on, on machines where they
// wait no longer than maxImageWaitS seconds for their image. It returns the number of
// waiting tasks that are placed, those before from included.
func (p *pass) placeArray(job *Job, from int, maxImageWaitS float64) int {
	request := TaskResources(job.Spec)
	if !p.limitAllows(job, request) {
		return from
	}
	candidates := p.arrayBuffer[:0]
	for _, machine := range p.machinesFor(job) {
		if p.takesArrayTask(job, machine, request) && machine.imageDelayS(job) <= maxImageWaitS {
			candidates = append(candidates, arrayCandidate{machine, p.score(machine, job)})
		}
	}
	heap.Init(&candidates)
	defer func() { p.arrayBuffer = candidates[:0] }()
	for i := from; i < len(job.WaitingTasks); i++ {
		if !p.limitAllows(job, request) {
			return i
		}
		p.refreshBest(&candidates, job, request)
		if len(candidates) == 0 {
			return i
		}
		best := &candidates[0]
		p.place(job, job.WaitingTasks[i], best.machine)
		best.score = p.score(best.machine, job)
		heap.Fix(&candidates, 0)
	}
	return len(job.WaitingTasks)
}

// refreshBest brings the best candidate that still takes a task to the top. Placing a
// task changes the score of its own machine, and makes all empty on-demand machines
// dearer, so the scores further down may be out of date.
func (p *pass) refreshBest(candidates *arrayCandidates, job *Job, request Resources) {
	for len(*candidates) > 0 {
		best := &(*candidates)[0]
		if !p.takesArrayTask(job, best.machine, request) {
			heap.Pop(candidates)
			continue
		}
		score := p.score(best.machine, job)
		if score <= best.score {
			return
		}
		best.score = score
		heap.Fix(candidates, 0)
	}
}

// takesArrayTask tells whether one more task of a job array may go to the machine, as far
// as its team's limit lets it start at all.
func (p *pass) takesArrayTask(job *Job, machine *Machine, request Resources) bool {
	if job.Spec.AllowSpot && machine.emptyOnDemand() && p.emptyOnDemand <= p.ReservedMachines {
		// Empty on-demand machines are kept for gangs that can use no others.
		return false
	}
	return eligible(job, machine) && zoneAllows(job, machine.Zone) && machine.freeFor(job).Fits(request)
}

// arrayCandidate is a machine that an array's next task could go to.
type arrayCandidate struct {
	machine *Machine
	score   float64
}

// arrayCandidates is a heap, the best first.
type arrayCandidates []arrayCandidate

func (c arrayCandidates) Len() int { return len(c) }
func (c arrayCandidates) Less(i, j int) bool {
	if c[i].score != c[j].score {
		return c[i].score < c[j].score
	}
	return c[i].machine.state.rank < c[j].machine.state.rank
}
func (c arrayCandidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push is for container/heap.
func (c *arrayCandidates) Push(x any) { *c = append(*c, x.(arrayCandidate)) }

// Pop is for container/heap.
func (c *arrayCandidates) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}
