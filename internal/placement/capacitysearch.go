package placement

import (
	"math"
	"slices"

	"thornnotch/internal/constants"
)

// capacityOption is a machine on which resources can be freed or kept for a job.
type capacityOption struct {
	machine *Machine
	victims []RunningTask // tasks to preempt
	costS   float64       // seconds of delay and of lost work
	// tasks is the number of the job's tasks that fit once the victims and the tasks that are
	// already stopping have ended; 0 means that the machine must drain first.
	tasks int
}

// countedTasks returns the number of the job's tasks for which the search counts the machine
// as sufficient: one if it must drain, otherwise the number that fits.
func (o capacityOption) countedTasks() int { return max(1, o.tasks) }

// capacitySearch searches for machines on which resources can be freed or kept for one job.
type capacitySearch struct {
	pass    *pass
	job     *Job
	request Resources // per task
	tasks   int       // number of tasks to find machines for

	anyPreemptible  bool   // the job may preempt some running task
	preemptibleBits uint64 // preemption classes that the job may preempt
	allowDrains     bool   // further machines may be drained
	singleZone      bool   // all machines must be in the same zone

	// cheapest lists the cheapest options so far, sorted by cost, at most one for each task. If
	// singleZone is set, there is a list for each zone; otherwise, one list under the empty
	// name. zones lists the keys in the order in which they were added.
	cheapest map[string][]capacityOption
	zones    []string
}

// preemptOrDrain frees resources for a job with tasks that could not be placed. It claims
// machines that have free capacity or are about to have some, so that later jobs don't use it,
// and preempts tasks of other jobs where the rules allow it. It does this only for the first
// MaxPreemptionAttempts jobs in the queue, because these leave little capacity for later jobs
// and the search is slow.
func (p *pass) preemptOrDrain(job *Job, unplacedTasks int) {
	clear(p.aboveGuaranteeCache) // invalidated by placements and preemptions since the last call
	anyPreemptible := p.mayPreemptAny(job)
	if !p.limitAllows(job, TaskResources(job.Spec)) || !job.isGang() && !anyPreemptible {
		return
	}
	p.preemptionAttempts++
	if p.preemptionAttempts > constants.MaxPreemptionAttempts {
		return
	}
	search := p.newCapacitySearch(job, unplacedTasks, anyPreemptible)
	for _, machine := range p.Machines {
		search.addIfCheapest(machine)
	}
	options := search.cheapestOptions()
	if job.isGang() {
		p.releaseClaims(job)
	}
	if !p.admitDrains(options) {
		return
	}
	if job.isGang() && fitWithoutDrains(options, unplacedTasks) {
		p.earmarkLimit(job)
		p.plan.AwaitingStops = append(p.plan.AwaitingStops, job)
	}
	for _, option := range options {
		if unplacedTasks <= 0 {
			break
		}
		p.applyOption(job, option)
		unplacedTasks -= option.countedTasks()
	}
}

func (p *pass) newCapacitySearch(job *Job, tasks int, anyPreemptible bool) capacitySearch {
	search := capacitySearch{
		pass: p, job: job, request: TaskResources(job.Spec), tasks: tasks,
		anyPreemptible: anyPreemptible,
		allowDrains:    job.isGang() && !p.exceedsDrainLimit(1),
		singleZone:     job.isGang() && job.Spec.SameZone && tasks > 1,
		cheapest:       make(map[string][]capacityOption),
	}
	if anyPreemptible {
		search.preemptibleBits = p.preemptibleClassBits(job)
	}
	return search
}

// addIfCheapest adds the machine's option to the cheapest options if it is among them.
func (s *capacitySearch) addIfCheapest(machine *Machine) {
	if !s.canYieldCapacity(machine) || !s.canUseWhenEmpty(machine) {
		return
	}
	zone := ""
	if s.singleZone {
		zone = machine.Zone
	}
	options := s.cheapest[zone]
	maxCostS := math.Inf(1)
	if len(options) == s.tasks {
		maxCostS = options[s.tasks-1].costS
	}
	option, cheaper := s.evaluate(machine, maxCostS)
	if !cheaper || option.tasks == 0 && !s.job.isGang() {
		// Tasks of job arrays use any capacity that becomes free; only gangs need whole
		// machines kept for them.
		return
	}
	if options == nil {
		s.zones = append(s.zones, zone)
	}
	at, _ := slices.BinarySearchFunc(options, option, func(a, b capacityOption) int {
		if a.costS > b.costS {
			return 1
		}
		return -1 // options of equal cost keep the machines' order
	})
	if at < s.tasks {
		options = slices.Insert(options, at, option)
		s.cheapest[zone] = options[:min(len(options), s.tasks)]
	}
}

// canYieldCapacity reports whether the machine may be an option. Once no further machine may
// drain, only machines with free capacity, stopping tasks or preemptible tasks can be options.
func (s *capacitySearch) canYieldCapacity(machine *Machine) bool {
	return s.allowDrains || machine.state.hadFreeCapacity || machine.usage.usedByStopping != (Resources{}) ||
		machine.state.classBits&s.preemptibleBits != 0 || s.pass.exhaustive
}

// canUseWhenEmpty reports whether the job could use the machine if it were empty. Only a
// boosted job can use a machine that is claimed for another job.
func (s *capacitySearch) canUseWhenEmpty(machine *Machine) bool {
	claimedBy := machine.state.claimedBy
	if claimedBy != nil && claimedBy != s.job && s.job.Boost == NoBoost {
		return false
	}
	return eligible(s.job, machine) && zoneAllowed(s.job, machine.Zone) && machine.Total.Covers(s.request)
}

// evaluate returns the machine's option and reports whether it costs less than maxCostS, the
// cost of the most expensive option kept so far. Every waiting gang evaluates all machines, so
// evaluate computes and allocates nothing that can't affect the result.
func (s *capacitySearch) evaluate(machine *Machine, maxCostS float64) (option capacityOption, cheaper bool) {
	free := machine.freeResourcesFor(s.job).Add(machine.usage.usedByStopping)
	if tasks := free.FitCount(s.request, s.tasks); tasks > 0 {
		option = capacityOption{machine: machine, tasks: tasks, costS: machine.imageDelayS(s.job)}
		return option, option.costS < maxCostS
	}
	if s.mayHavePreemptible(machine) {
		if option, enough := s.preemptionOption(machine, free, maxCostS); enough {
			return option, option.costS < maxCostS
		}
	}
	if !s.job.isGang() {
		return capacityOption{machine: machine}, false
	}
	return s.drainOption(machine, maxCostS)
}

// cheapestOptions returns the options of the zone that has enough of them at the lowest cost,
// or the options in all zones if singleZone is not set.
func (s *capacitySearch) cheapestOptions() []capacityOption {
	cheapestZone, minCostS := "", 0.0
	for _, zone := range s.zones {
		costS, countedTasks := 0.0, 0
		for _, option := range s.cheapest[zone] {
			if countedTasks >= s.tasks {
				break
			}
			costS += option.costS
			countedTasks += option.countedTasks()
		}
		if s.singleZone && countedTasks < s.tasks {
			continue
		}
		if cheapestZone == "" && minCostS == 0 || costS < minCostS {
			cheapestZone, minCostS = zone, costS
		}
	}
	return s.cheapest[cheapestZone]
}

// fitWithoutDrains reports whether all the tasks fit on the options' machines once the
// stopping tasks have ended, without draining any machine.
func fitWithoutDrains(options []capacityOption, tasks int) bool {
	fittingTasks := 0
	for _, option := range options {
		if option.tasks == 0 {
			return false
		}
		fittingTasks += option.tasks
	}
	return len(options) > 0 && fittingTasks >= tasks
}
