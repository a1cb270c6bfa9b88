package placement

import "container/heap"

// placeArray places the job's waiting tasks, beginning with WaitingTasks[from], on machines
// where the wait for the image is at most maxImageWaitS seconds. It returns the number of
// waiting tasks that are placed, including those before from.
func (p *pass) placeArray(job *Job, from int, maxImageWaitS float64) int {
	request := TaskResources(job.Spec)
	if !p.limitAllows(job, request) {
		return from
	}
	candidates := p.arrayBuffer[:0]
	for _, machine := range p.candidateMachines(job) {
		if p.canPlaceArrayTask(job, machine, request) && machine.imageDelayS(job) <= maxImageWaitS {
			candidates = append(candidates, arrayCandidate{machine, p.score(machine, job)})
		}
	}
	heap.Init(&candidates)
	defer func() { p.arrayBuffer = candidates[:0] }()
	for i := from; i < len(job.WaitingTasks); i++ {
		if !p.limitAllows(job, request) {
			return i
		}
		p.rescoreBest(&candidates, job, request)
		if len(candidates) == 0 {
			return i
		}
		best := &candidates[0]
		p.placeTask(job, job.WaitingTasks[i], best.machine)
		best.score = p.score(best.machine, job)
		heap.Fix(&candidates, 0)
	}
	return len(job.WaitingTasks)
}

// rescoreBest moves the best candidate that can still run a task to the top of the heap.
// Placing a task changes the score of its own machine and raises the scores of all empty
// on-demand machines, so the scores of other candidates may be outdated, but only too low.
func (p *pass) rescoreBest(candidates *arrayCandidates, job *Job, request Resources) {
	for len(*candidates) > 0 {
		best := &(*candidates)[0]
		if !p.canPlaceArrayTask(job, best.machine, request) {
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

// canPlaceArrayTask reports whether one more task of a job array can be placed on the machine.
// It does not check the team's limit.
func (p *pass) canPlaceArrayTask(job *Job, machine *Machine, request Resources) bool {
	if job.Spec.AllowSpot && machine.emptyOnDemand() && p.emptyOnDemand <= p.GangReserve {
		// The last empty on-demand machines are kept for gangs that can't use spot machines.
		return false
	}
	return eligible(job, machine) && zoneAllowed(job, machine.Zone) && machine.freeResourcesFor(job).Covers(request)
}

// arrayCandidate is a machine that can run the next task of a job array, and its score.
type arrayCandidate struct {
	machine *Machine
	score   float64
}

// arrayCandidates is a heap of candidates, the lowest score first.
type arrayCandidates []arrayCandidate

func (c arrayCandidates) Len() int { return len(c) }
func (c arrayCandidates) Less(i, j int) bool {
	if c[i].score != c[j].score {
		return c[i].score < c[j].score
	}
	return c[i].machine.state.position < c[j].machine.state.position
}
func (c arrayCandidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *arrayCandidates) Push(x any) { *c = append(*c, x.(arrayCandidate)) }

// Pop implements heap.Interface.
func (c *arrayCandidates) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}
