package placement

import (
	"cmp"
	"slices"
	"time"

	"thornnotch/internal/constants"
)

// preemptionClass is what decides, of a running task's job, whether the task may be
// preempted.
type preemptionClass struct {
	priority   int
	guaranteed bool
	team       string
}

func preemptionClassOf(job *Job) preemptionClass {
	return preemptionClass{job.Priority, job.Guaranteed, job.Spec.Team}
}

// mayPreemptClass tells whether the job may preempt tasks of a class. The protocol allows
// it for higher priority and, to give a team its guarantee, against whatever another team
// runs beyond its own. Taken together these two can go in a circle: an urgent job beyond
// its guarantee and a standard one within, preempting each other for ever. So preemption
// follows the queue's own order, priority first and guarantee second: what is preempted
// also stands behind in the queue and can't take the room back.
func (p *pass) mayPreemptClass(job *Job, class preemptionClass) bool {
	if class.priority != job.Priority {
		return class.priority < job.Priority
	}
	return reclaimsFrom(job, class) && p.aboveGuarantee(class.team)
}

// reclaimsFrom tells whether the job, of the same priority, may take its team's guarantee
// from a class, as long as the other team uses more than its own guarantee.
func reclaimsFrom(job *Job, class preemptionClass) bool {
	return job.Guaranteed && !class.guaranteed && class.team != job.Spec.Team
}

// mayPreempt tells whether the job may preempt a task.
func (p *pass) mayPreempt(job *Job, task *RunningTask) bool {
	if task.Stopping || task.Job == nil {
		return false
	}
	return p.mayPreemptClass(job, preemptionClassOf(task.Job))
}

// mayPreemptAny tells whether any task runs that the job may preempt.
func (p *pass) mayPreemptAny(job *Job) bool {
	for class, tasks := range p.preemptible {
		if tasks > 0 && p.mayPreemptClass(job, class) {
			return true
		}
	}
	return false
}

// maxClassBit is the last bit of a set of preemption classes.
const maxClassBit = 63

// classBit gives a preemption class its bit; those beyond the last bit share it.
func (p *pass) classBit(class preemptionClass) uint64 {
	bit, known := p.classBits[class]
	if !known {
		bit = 1 << min(len(p.classBits), maxClassBit)
		p.classBits[class] = bit
	}
	return bit
}

// preemptibleClassBits are the classes, as bits, that the job may preempt: some of these
// only while their team uses more than its guarantee.
func (p *pass) preemptibleClassBits(job *Job) (bits uint64) {
	for class, bit := range p.classBits {
		if class.priority < job.Priority || class.priority == job.Priority && reclaimsFrom(job, class) {
			bits |= bit
		}
	}
	return bits
}

// preempt has a task stopped for a job.
func (p *pass) preempt(job *Job, machine *Machine, victim RunningTask) {
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{machine, victim, job})
	for i := range machine.RunningTasks {
		task := &machine.RunningTasks[i]
		if task.Attempt == victim.Attempt && task.Index == victim.Index && task.Job == victim.Job {
			task.Stopping = true
		}
	}
	machine.usage.stopping = machine.usage.stopping.Add(victim.Resources)
	p.preemptible[preemptionClassOf(victim.Job)]--
	// It counts toward the team's limit until it is proven gone; only what the team runs
	// beyond its guarantee shrinks already.
	team := victim.Job.Spec.Team
	p.stopping[team] = p.stopping[team].Add(victim.Resources)
}

// mayPreemptOn tells whether anything on the machine may be worth preempting, without
// looking at each task.
func (s *roomSearch) mayPreemptOn(machine *Machine) bool {
	return s.anyPreemptible && machine.usage.preemptible && machine.state.classBits&s.preemptibleBits != 0 &&
		(machine.usage.lowestPriority < s.job.Priority || s.job.Guaranteed)
}

// weighPreemption chooses the tasks to preempt on a machine that has free room but not
// enough for one task of the job: the lowest priority first, then those that lose least.
// It reports whether preempting is enough. A choice that costs maxCostS or more is not
// worked out to the end and has no victims.
func (s *roomSearch) weighPreemption(machine *Machine, free Resources, maxCostS float64) (option roomOption, enough bool) {
	option.machine = machine
	victims, freed := s.pass.victimBuffer[:0], free
	for i := range machine.RunningTasks {
		task := &machine.RunningTasks[i]
		if s.pass.mayPreempt(s.job, task) {
			victims = append(victims, *task)
			freed = freed.Add(task.Resources)
		}
	}
	s.pass.victimBuffer = victims[:0]
	if !freed.Fits(s.request) {
		return option, false
	}
	slices.SortStableFunc(victims, func(a, b RunningTask) int {
		return cmp.Or(cmp.Compare(a.Job.Priority, b.Job.Priority), cmp.Compare(a.StopCost, b.StopCost))
	})
	freed = free
	count := 0
	var lost time.Duration
	for i := range victims {
		if freed.Fits(s.request) || lost.Seconds() >= maxCostS {
			break
		}
		freed = freed.Add(victims[i].Resources)
		lost += time.Duration(float64(victims[i].StopCost) * victims[i].Resources.DominantShare(machine.Total) * constants.StopWeight)
		count++
	}
	option.costS = lost.Seconds() + machine.imageDelayS(s.job)*s.request.DominantShare(machine.Total)*constants.StopWeight
	if option.costS < maxCostS {
		option.victims = slices.Clone(victims[:count])
		option.tasks = freed.Count(s.request, s.tasks)
	}
	return option, true
}
