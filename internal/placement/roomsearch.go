package placement

import (
	"math"
	"slices"

	"thornnotch/internal/constants"
)

// roomOption is a machine whose room could be made or kept for a job.
type roomOption struct {
	machine *Machine
	victims []RunningTask // to be preempted
	costS   float64       // seconds of delay and of lost work
	// tasks is how many tasks of the job fit once what stops has ended; 0 means that the
	// machine would have to drain.
	tasks int
}

// slots is for how many of the job's tasks the machine counts in the search: one that has
// to drain for one.
func (o roomOption) slots() int { return max(1, o.tasks) }

// roomSearch is the search for machines whose room could be made or kept for one job.
type roomSearch struct {
	pass    *pass
	job     *Job
	request Resources // of one task
	tasks   int       // that have no place

	anyPreemptible  bool   // something runs that the job may preempt
	preemptibleBits uint64 // classes that it may preempt
	mayDrain        bool   // machines may be kept that are of no use yet
	oneZone         bool   // room is only of use in one zone

	// cheapest are the best options so far, as many as tasks, by zone if it matters, and
	// zones the zones in the order in which they were found.
	cheapest map[string][]roomOption
	zones    []string
}

// preemptOrDrain is called for a job that has some tasks without a place. It keeps
// machines whose room is about to come free from jobs after this one, and preempts
// others' tasks where the rules allow it. Only the first jobs in the queue get this: what
// they leave is little, and looking takes time.
func (p *pass) preemptOrDrain(job *Job, tasks int) {
	clear(p.aboveGuaranteeCache) // what this pass has placed and preempted so far changes it
	anyPreemptible := p.mayPreemptAny(job)
	if !p.limitAllows(job, TaskResources(job.Spec)) || !job.isGang() && !anyPreemptible {
		return
	}
	p.preemptionAttempts++
	if p.preemptionAttempts > constants.MaxPreemptionAttempts {
		return
	}
	search := p.newRoomSearch(job, tasks, anyPreemptible)
	for _, machine := range p.Machines {
		search.consider(machine)
	}
	options := search.cheapestOptions()
	if job.isGang() {
		p.endClaims(job)
	}
	if !p.admitDrains(options) {
		return
	}
	if job.isGang() && hasRoomWithoutDrains(options, tasks) {
		p.promiseLimit(job)
		p.plan.Draining = append(p.plan.Draining, job)
	}
	for _, option := range options {
		if tasks <= 0 {
			break
		}
		p.take(job, option)
		tasks -= option.slots()
	}
}

func (p *pass) newRoomSearch(job *Job, tasks int, anyPreemptible bool) roomSearch {
	search := roomSearch{
		pass: p, job: job, request: TaskResources(job.Spec), tasks: tasks,
		anyPreemptible: anyPreemptible,
		mayDrain:       job.isGang() && !p.tooManyDraining(1),
		oneZone:        job.isGang() && job.Spec.SameZone && tasks > 1,
		cheapest:       make(map[string][]roomOption),
	}
	if anyPreemptible {
		search.preemptibleBits = p.preemptibleClassBits(job)
	}
	return search
}

// consider adds the machine to the cheapest options if it is among them.
func (s *roomSearch) consider(machine *Machine) {
	if !s.mayMatter(machine) || !s.mayUse(machine) {
		return
	}
	zone := ""
	if s.oneZone {
		zone = machine.Zone
	}
	options := s.cheapest[zone]
	maxCostS := math.Inf(1)
	if len(options) == s.tasks {
		maxCostS = options[s.tasks-1].costS
	}
	option, cheaper := s.weigh(machine, maxCostS)
	if !cheaper || option.tasks == 0 && !s.job.isGang() {
		// An array's task takes any room that comes free; only whole machines for gangs
		// need keeping.
		return
	}
	if options == nil {
		s.zones = append(s.zones, zone)
	}
	at, _ := slices.BinarySearchFunc(options, option, func(a, b roomOption) int {
		if a.costS > b.costS {
			return 1
		}
		return -1 // equal ones keep the machines' order
	})
	if at < s.tasks {
		options = slices.Insert(options, at, option)
		s.cheapest[zone] = options[:min(len(options), s.tasks)]
	}
}

// mayMatter leaves out machines that can't be of use: once as many machines drain as may,
// only what comes free by itself or by preemption is.
func (s *roomSearch) mayMatter(machine *Machine) bool {
	return s.mayDrain || machine.state.hadRoom || machine.usage.stopping != (Resources{}) ||
		machine.state.classBits&s.preemptibleBits != 0 || s.pass.exhaustive
}

// mayUse tells whether the job could use the machine if it were empty. A machine that is
// kept for another job is taken only for a boosted one.
func (s *roomSearch) mayUse(machine *Machine) bool {
	claimedBy := machine.state.claimedBy
	if claimedBy != nil && claimedBy != s.job && s.job.Boost == NoBoost {
		return false
	}
	return eligible(s.job, machine) && zoneAllows(s.job, machine.Zone) && machine.Total.Fits(s.request)
}

// weigh weighs one machine and reports whether it costs less than maxCostS, the worst
// option that the job has already. Every gang that waits looks at all machines, so
// nothing is computed or kept here that can't matter.
func (s *roomSearch) weigh(machine *Machine, maxCostS float64) (option roomOption, cheaper bool) {
	free := machine.freeFor(s.job).Add(machine.usage.stopping)
	if tasks := free.Count(s.request, s.tasks); tasks > 0 {
		option = roomOption{machine: machine, tasks: tasks, costS: machine.imageDelayS(s.job)}
		return option, option.costS < maxCostS
	}
	if s.mayPreemptOn(machine) {
		if option, enough := s.weighPreemption(machine, free, maxCostS); enough {
			return option, option.costS < maxCostS
		}
	}
	if !s.job.isGang() {
		return roomOption{machine: machine}, false
	}
	return s.weighDrain(machine, maxCostS)
}

// cheapestOptions are the options of the zone that has enough for the least cost, or of
// all zones together if the zone does not matter.
func (s *roomSearch) cheapestOptions() []roomOption {
	chosen, leastS := "", 0.0
	for _, zone := range s.zones {
		costS, slots := 0.0, 0
		for _, option := range s.cheapest[zone] {
			if slots >= s.tasks {
				break
			}
			costS += option.costS
			slots += option.slots()
		}
		if s.oneZone && slots < s.tasks {
			continue
		}
		if chosen == "" && leastS == 0 || costS < leastS {
			chosen, leastS = zone, costS
		}
	}
	return s.cheapest[chosen]
}

// hasRoomWithoutDrains tells whether the options have room for all the tasks once what
// stops has ended.
func hasRoomWithoutDrains(options []roomOption, tasks int) bool {
	room := 0
	for _, option := range options {
		if option.tasks == 0 {
			return false
		}
		room += option.tasks
	}
	return len(options) > 0 && room >= tasks
}
