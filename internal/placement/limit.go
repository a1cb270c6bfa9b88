package placement

import (
	"cmp"
	"slices"
)

// What a team may use is short where its jobs are many. Then the order of its
// own jobs has to hold for its limit as it does for machines: what is held for
// lower work gives way to higher, and a lifted gang gets its part of it.

// heldOn is a hold with its machine.
type heldOn struct {
	machine *Machine
	held    ReservedSlot
}

// givesWay tells whether a hold gives way to the job: its pipeline's own, and
// those of lower work. A lifted job goes before others of its priority, or
// before all. Of its team's limit a hold gives way just as on its machine.
//
// Without this, holds for work that may not start, as the team's limit is kept
// for a lifted gang, stand until they lapse, while the gang waits for the limit
// that they take: both wait for the other for a quarter of an hour.
func givesWay(h ReservedSlot, j *Job) bool {
	switch {
	case j.Owns(h.Pipeline), j.Boost == BoostAboveAll:
		return true
	case j.Boost == BoostWithinPriority:
		return h.Priority <= j.Priority
	}
	return h.Priority < j.Priority
}

// leavesLimit tells whether a hold gives way to the job in their team's limit. Held
// room counts toward it, yet a job that waits for others holds no part of it: so
// what is held for one that may not start yet gives way to whatever of its team may.
func leavesLimit(h ReservedSlot, j *Job) bool { return h.Blocked || givesWay(h, j) }

// promise is a part of a team's limit that a gang will need in a moment.
type promise struct {
	job  *Job
	room Resources
}

// promise adds a promise, or renews it.
func (p *pass) promise(j *Job) {
	p.unpromise(j)
	p.promises[j.Spec.Team] = append(p.promises[j.Spec.Team], promise{j, TaskResources(j.Spec).Times(len(j.WaitingTasks))})
}

func (p *pass) unpromise(j *Job) {
	owner := j.Spec.Team
	p.promises[owner] = slices.DeleteFunc(p.promises[owner], func(k promise) bool { return k.job == j })
}

// keepPromises renews those of the gangs that machines are being emptied for.
// Else a smaller job of the team takes a bit of the limit meanwhile, the gang
// can't start, what was stopped for it begins anew on the same machines, and is
// stopped again for it a moment later: six thousand tasks in half a minute on
// Peakdale's day with a partition.
func (p *pass) keepPromises() {
	for _, j := range p.Jobs {
		if j.Draining && len(j.WaitingTasks) > 0 && !j.Blocked && p.Teams[j.Spec.Team] != nil {
			p.promise(j)
		}
	}
}

// allows tells whether the job's team may use extra on top, once what is held
// for lower work has given way. What is kept for a lifted gang or promised to
// one that waits for room being made is left to it, except by higher work.
func (p *pass) allows(j *Job, extra Resources) bool {
	t := p.Teams[j.Spec.Team]
	if j.Boost == NoBoost {
		if j.Priority >= t.PromisedBelow {
			extra = extra.Add(t.Promised)
		}
		extra = extra.Add(p.leaves(j))
		for _, k := range p.promises[j.Spec.Team] {
			if k.job != j && k.job.Priority >= j.Priority {
				extra = extra.Add(k.room)
			}
		}
	}
	return t.Allows(extra) || len(p.holds[j.Spec.Team]) > 0 && t.Allows(extra.Sub(p.yields(j)))
}

// yields is what is held of the job's team's limit and gives way to it, its own
// pipeline's holds among it: whatever they are worth, they must never keep the job
// that they are for from starting. It is asked for machine after machine, so it is kept until a hold ends.
func (p *pass) yields(j *Job) Resources {
	if p.yieldsTo == j {
		return p.yielding
	}
	p.yieldsTo, p.yielding = j, Resources{}
	for _, h := range p.holds[j.Spec.Team] {
		if leavesLimit(h.held, j) {
			p.yielding = p.yielding.Add(h.held.Resources)
		}
	}
	return p.yielding
}

// unhold takes a hold off its machine and off its team's use.
func (p *pass) unhold(h heldOn) {
	p.yieldsTo = nil
	r, of := h.machine, h.held.Pipeline
	for i, k := range r.Reserved {
		if k == h.held {
			r.Reserved = append(append([]ReservedSlot(nil), r.Reserved[:i]...), r.Reserved[i+1:]...)
			break
		}
	}
	t := p.Teams[of.Team]
	if t != nil {
		t.Used = t.Used.Sub(h.held.Resources)
	}
	if at := slices.Index(p.holds[of.Team], h); at >= 0 {
		p.holds[of.Team] = slices.Delete(p.holds[of.Team], at, at+1)
	}
}

// release ends a hold for good.
func (p *pass) release(h heldOn) {
	p.unhold(h)
	p.plan.Released = append(p.plan.Released, Release{h.machine, h.held})
}

// releaseUseless ends the holds that no job of their pipeline can use: all that
// wait are gangs for which their team's limit has no room, whatever is held. Bit by
// bit held back for a gang of 24, the limit stood idle while the team's other jobs
// waited for it.
func (p *pass) releaseUseless() {
	if len(p.holds) == 0 {
		return
	}
	waits, usable, without := make(map[Pipeline]bool), make(map[Pipeline]bool), make(map[string]Resources)
	for _, j := range p.Jobs {
		t := p.Teams[j.Spec.Team]
		if len(j.WaitingTasks) == 0 || len(p.holds[j.Spec.Team]) == 0 || t == nil {
			continue
		}
		use, known := without[j.Spec.Team]
		if !known {
			use = t.Used
			for _, h := range p.holds[j.Spec.Team] {
				use = use.Sub(h.held.Resources)
			}
			without[j.Spec.Team] = use
		}
		fits := j.Spec.Kind != "gang" || t.within(use.Add(TaskResources(j.Spec).Times(len(j.WaitingTasks))))
		for _, pipe := range [2]Pipeline{j.Pipeline(), j.EdgePipeline()} {
			waits[pipe] = true
			usable[pipe] = usable[pipe] || fits
		}
	}
	for pipe := range waits {
		if usable[pipe] {
			continue
		}
		for _, h := range slices.Clone(p.holds[pipe.Team]) {
			if h.held.Pipeline == pipe {
				p.release(h)
			}
		}
	}
}

// giveWay ends as many of the holds that give way to the job as its team needs
// to use extra on top, the lowest first.
func (p *pass) giveWay(j *Job, extra Resources) {
	t := p.Teams[j.Spec.Team]
	var list []heldOn
	for _, h := range p.holds[j.Spec.Team] {
		if leavesLimit(h.held, j) {
			list = append(list, h)
		}
	}
	slices.SortStableFunc(list, func(a, b heldOn) int {
		if own := j.Owns(a.held.Pipeline); own != j.Owns(b.held.Pipeline) {
			if own {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.held.Priority, b.held.Priority)
	})
	for _, h := range list {
		if t.Allows(extra) {
			return
		}
		p.release(h)
	}
}

// makeLimit is called for a lifted gang whose team is at its limit. What is held
// for work that it goes before gives way at once: that work could not use it. What
// comes free of the limit is kept for the gang, else jobs behind it go on taking
// each bit. Lower work of its team may use it until the gang could start by having
// such work stopped: gangs run for minutes, and a tenth of the limit would stand
// idle while enough of it comes together. Then lower tasks are stopped, as far as
// the gang needs, and nobody takes their place.
//
// A gang that is not lifted waits, and smaller work goes on meanwhile.
func (p *pass) makeLimit(j *Job) {
	t := p.Teams[j.Spec.Team]
	extra := TaskResources(j.Spec).Times(len(j.WaitingTasks))
	if t.Promised != (Resources{}) || !(&Team{Limit: t.Limit}).Allows(extra) {
		return // kept for another already, or of no use
	}
	short := extra.Sub(p.ending[j.Spec.Team])
	p.giveWay(j, short)
	t.Promised, t.PromisedBelow = extra, 0
	if !t.Allows(short) && !p.stopOwn(j, short) {
		t.PromisedBelow = j.Priority
	}
}

// stopOwn stops tasks of the job's own team that are lower in priority, until
// its team could use extra more once they are gone: those that lose least for
// the room they give. It stops none if all of them are not enough.
func (p *pass) stopOwn(j *Job, extra Resources) (enough bool) {
	t := p.Teams[j.Spec.Team]
	type victim struct {
		machine *Machine
		slot    RunningTask
		cost    float64
	}
	var list []victim
	sum := Resources{}
	for _, r := range p.Machines {
		if !r.stoppable || r.lowest >= j.Priority {
			continue
		}
		for _, s := range r.RunningTasks {
			if s.Job != nil && !s.Stopping && s.Job.Spec.Team == j.Spec.Team && s.Job.Priority < j.Priority {
				list = append(list, victim{r, s, s.StopCost.Seconds()})
				sum = sum.Add(s.Resources)
			}
		}
	}
	// Stopping what is not enough would only cost.
	if !t.Allows(extra.Sub(sum)) {
		return false
	}
	slices.SortStableFunc(list, func(a, b victim) int {
		if a.slot.Job.Priority != b.slot.Job.Priority {
			return cmp.Compare(a.slot.Job.Priority, b.slot.Job.Priority)
		}
		return cmp.Compare(a.cost, b.cost)
	})
	for _, v := range list {
		if t.Allows(extra) {
			break
		}
		p.stop(j, v.machine, v.slot)
		extra = extra.Sub(v.slot.Resources)
	}
	return true
}

// stop has a task stopped for a job.
func (p *pass) stop(j *Job, r *Machine, s RunningTask) {
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{r, s, j})
	for i := range r.RunningTasks {
		if r.RunningTasks[i].Attempt == s.Attempt && r.RunningTasks[i].Index == s.Index && r.RunningTasks[i].Job == s.Job {
			r.RunningTasks[i].Stopping = true
		}
	}
	r.ending = r.ending.Add(s.Resources)
	p.able[standing{s.Job.Priority, s.Job.Guaranteed, s.Job.Spec.Team}]--
	// It counts toward the team's limit until it is proven gone; only
	// what the team runs beyond its guarantee shrinks already.
	p.ending[s.Job.Spec.Team] = p.ending[s.Job.Spec.Team].Add(s.Resources)
}

// missed tells whether the job had aims and can meet none any more.
func (j *Job) missed() bool { return j.Late && len(j.Targets) > 0 && j.Boost == NoBoost }

// smallFirst puts the gangs of one rank in a better order where their team's
// limit can't hold all that waits, each team's in the places that its gangs have:
// those that can meet an aim first, and of these the ones that take least of the
// limit. The users count jobs, whatever their size, and a large gang takes the
// place of several small ones. That the largest still begin in time is for
// lifting to see to.
func (p *pass) smallFirst(jobs []*Job) {
	places := make(map[string][]int)
	for i, j := range jobs {
		if j.Spec.Kind == "gang" && p.short(j.Spec.Team) {
			places[j.Spec.Team] = append(places[j.Spec.Team], i)
		}
	}
	for owner, at := range places {
		size := func(j *Job) float64 {
			return TaskResources(j.Spec).Times(len(j.WaitingTasks)).DominantShare(p.Teams[owner].Limit)
		}
		gangs := make([]*Job, len(at))
		for i, k := range at {
			gangs[i] = jobs[k]
		}
		slices.SortStableFunc(gangs, func(a, b *Job) int {
			if a.missed() != b.missed() {
				if b.missed() {
					return -1
				}
				return 1
			}
			return cmp.Compare(size(a), size(b))
		})
		for i, k := range at {
			jobs[k] = gangs[i]
		}
	}
}

// leaves is what a job that can meet none of its aims any more leaves of its
// team's limit: what lower jobs of the team wait for that still can. Taking it
// from them would help nobody's aims.
//
// The job's place in the queue stays as it is: whoever may stop another's tasks
// must stand before it, or the room goes back to what was stopped, pass after pass.
func (p *pass) leaves(j *Job) Resources {
	if !j.missed() || j.Draining || !p.short(j.Spec.Team) {
		// One that room is being made for has its promise: to give it up for a
		// lower job, stop that one's tasks and begin anew would go on pass by pass.
		return Resources{}
	}
	k := ownerAt{j.Spec.Team, j.Priority}
	sum, known := p.inTime[k]
	if !known {
		for _, o := range p.Jobs {
			if o.Spec.Team == k.owner && o.Priority < k.priority && !o.Blocked && !o.Late {
				sum = sum.Add(TaskResources(o.Spec).Times(len(o.WaitingTasks)))
			}
		}
		p.inTime[k] = sum
	}
	return sum
}

// ownerAt is a team's work below a priority.
type ownerAt struct {
	owner    string
	priority int
}

// short tells whether the team's limit is too small for all that it has waiting.
func (p *pass) short(owner string) bool {
	is, known := p.shortOf[owner]
	if !known {
		if t := p.Teams[owner]; t != nil {
			sum := Resources{}
			for _, j := range p.Jobs {
				if j.Spec.Team == owner && !j.Blocked {
					sum = sum.Add(TaskResources(j.Spec).Times(len(j.WaitingTasks)))
				}
			}
			is = !t.Allows(sum)
		}
		p.shortOf[owner] = is
	}
	return is
}
