package placement

import (
	"cmp"
	"slices"
	"time"

	"thornnotch/internal/constants"
)

// preemptionClass holds the properties of a job that decide whether its running tasks may be
// preempted.
type preemptionClass struct {
	priority   int
	guaranteed bool
	team       string
}

func preemptionClassOf(job *Job) preemptionClass {
	return preemptionClass{job.Priority, job.Guaranteed, job.Spec.Team}
}

// mayPreemptClass reports whether the job may preempt tasks of a class. The protocol allows
// preempting tasks of lower priority and, to give the job's team its guarantee, tasks of
// another team that uses more than its own guarantee. Together, these two rules permit cycles:
// an urgent job above its guarantee and a standard job within it would preempt each other
// forever. Preemption therefore follows the queue order, priority first and guarantee second:
// a preempted job is also behind the preemptor in the queue and can't take the resources back.
func (p *pass) mayPreemptClass(job *Job, class preemptionClass) bool {
	if class.priority != job.Priority {
		return class.priority < job.Priority
	}
	return mayReclaimFrom(job, class) && p.aboveGuarantee(class.team)
}

// mayReclaimFrom reports whether the job may preempt a class of the same priority to give its
// team its guarantee, provided that the other team uses more than its own guarantee.
func mayReclaimFrom(job *Job, class preemptionClass) bool {
	return job.Guaranteed && !class.guaranteed && class.team != job.Spec.Team
}

// mayPreempt reports whether the job may preempt the task.
func (p *pass) mayPreempt(job *Job, task *RunningTask) bool {
	if task.Stopping || task.Job == nil {
		return false
	}
	return p.mayPreemptClass(job, preemptionClassOf(task.Job))
}

// mayPreemptAny reports whether the job may preempt any running task.
func (p *pass) mayPreemptAny(job *Job) bool {
	for class, tasks := range p.preemptibleTasks {
		if tasks > 0 && p.mayPreemptClass(job, class) {
			return true
		}
	}
	return false
}

// maxClassBit is the highest bit of a set of preemption classes.
const maxClassBit = 63

// classBit returns the bit of a preemption class. Classes beyond the highest bit share it.
func (p *pass) classBit(class preemptionClass) uint64 {
	bit, known := p.classBits[class]
	if !known {
		bit = 1 << min(len(p.classBits), maxClassBit)
		p.classBits[class] = bit
	}
	return bit
}

// preemptibleClassBits returns the set of classes that the job may preempt. It includes
// classes that the job may preempt only while their team uses more than its guarantee.
func (p *pass) preemptibleClassBits(job *Job) (bits uint64) {
	for class, bit := range p.classBits {
		if class.priority < job.Priority || class.priority == job.Priority && mayReclaimFrom(job, class) {
			bits |= bit
		}
	}
	return bits
}

// preempt adds the preemption of the victim to the plan and marks the task as stopping.
func (p *pass) preempt(preemptor *Job, machine *Machine, victim RunningTask) {
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{machine, victim, preemptor})
	for i := range machine.RunningTasks {
		task := &machine.RunningTasks[i]
		if task.Attempt == victim.Attempt && task.Index == victim.Index && task.Job == victim.Job {
			task.Stopping = true
		}
	}
	machine.usage.usedByStopping = machine.usage.usedByStopping.Add(victim.Resources)
	p.preemptibleTasks[preemptionClassOf(victim.Job)]--
	// The task counts toward the team's limit until it is proven to have ended. Only the usage
	// that is compared with the team's guarantee is reduced at once.
	team := victim.Job.Spec.Team
	p.usedByStopping[team] = p.usedByStopping[team].Add(victim.Resources)
}

// mayHavePreemptible reports whether the machine may run tasks that the job can preempt. It
// uses summary values of the machine instead of examining each task.
func (s *capacitySearch) mayHavePreemptible(machine *Machine) bool {
	return s.anyPreemptible && machine.usage.preemptible && machine.state.classBits&s.preemptibleBits != 0 &&
		(machine.usage.lowestPriority < s.job.Priority || s.job.Guaranteed)
}

// preemptionOption chooses the tasks to preempt on a machine whose free resources are not
// enough for one task of the job: lowest priority first, then the least lost work. It reports
// whether preemption frees enough. An option whose cost reaches maxCostS is left incomplete
// and has no victims.
func (s *capacitySearch) preemptionOption(machine *Machine, free Resources, maxCostS float64) (option capacityOption, enough bool) {
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
	if !freed.Covers(s.request) {
		return option, false
	}
	slices.SortStableFunc(victims, func(a, b RunningTask) int {
		return cmp.Or(cmp.Compare(a.Job.Priority, b.Job.Priority), cmp.Compare(a.StopCost, b.StopCost))
	})
	freed = free
	count := 0
	var lost time.Duration
	for i := range victims {
		if freed.Covers(s.request) || lost.Seconds() >= maxCostS {
			break
		}
		freed = freed.Add(victims[i].Resources)
		lost += time.Duration(float64(victims[i].StopCost) * victims[i].Resources.DominantShare(machine.Total) * constants.StopLossWeight)
		count++
	}
	option.costS = lost.Seconds() + machine.imageDelayS(s.job)*s.request.DominantShare(machine.Total)*constants.StopLossWeight
	if option.costS < maxCostS {
		option.victims = slices.Clone(victims[:count])
		option.tasks = freed.FitCount(s.request, s.tasks)
	}
	return option, true
}
