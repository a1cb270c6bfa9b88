package placement

import (
	"slices"
	"strings"
	"time"
)

// machineUsage is derived from a machine's running tasks. It is computed once, because a
// Machine is reused in later passes as long as nothing on it has changed.
type machineUsage struct {
	computed       bool
	used           Resources
	usedByStopping Resources     // part of used, by stopping tasks
	maxRemaining   time.Duration // until the last task is expected to end
	lowestPriority int           // of the preemptible tasks; 0 if there are none
	preemptible    bool          // whether any task is preemptible: of a known job, and not stopping
}

// machineState is the state that a pass keeps for a machine.
type machineState struct {
	position        int  // in the order of names
	claimedBy       *Job // waiting job for which the machine is kept
	hadFreeCapacity bool // had room for some waiting task when the pass began
	// classBits are the preemption classes of the tasks that were not stopping when the pass
	// began.
	classBits uint64
}

// jobState is the state that a pass keeps for a job with running tasks.
type jobState struct {
	runningTasks int    // tasks that are not stopping; only set while initMachines counts them
	classBit     uint64 // bit of the job's preemption class
}

// computeUsage computes the machine's usage from its running tasks, unless it is already
// known.
func (m *Machine) computeUsage() {
	if m.usage.computed {
		return
	}
	m.usage = machineUsage{computed: true}
	for i := range m.RunningTasks {
		task := &m.RunningTasks[i]
		m.usage.used = m.usage.used.Add(task.Resources)
		m.usage.maxRemaining = max(m.usage.maxRemaining, task.Remaining)
		switch {
		case task.Stopping:
			m.usage.usedByStopping = m.usage.usedByStopping.Add(task.Resources)
		case task.Job != nil && (!m.usage.preemptible || task.Job.Priority < m.usage.lowestPriority):
			m.usage.lowestPriority, m.usage.preemptible = task.Job.Priority, true
		}
	}
}

// unusedResources returns the resources that no task uses, reserved or not.
func (m *Machine) unusedResources() Resources { return m.Total.Sub(m.usage.used) }

// freeResourcesFor returns the unused resources that the job may use on the machine.
func (m *Machine) freeResourcesFor(job *Job) Resources {
	free := m.unusedResources()
	for _, slot := range m.Reserved {
		if slot.unavailableTo(job) {
			free = free.Sub(slot.Resources)
		}
	}
	return free
}

// emptyOnDemand reports whether the machine is an on-demand machine without tasks. Gangs that
// can't use spot machines need such machines.
func (m *Machine) emptyOnDemand() bool { return !m.Spot && m.usage.used == (Resources{}) }

// sortMachines sorts machines by name. A pass uses this order to break ties.
func sortMachines(machines []*Machine) {
	byName := func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(machines, byName) {
		slices.SortFunc(machines, byName)
	}
}

// findMachine returns the machine with the given name, or nil. Machines must be sorted by
// name.
func (p *pass) findMachine(name string) *Machine {
	at, found := slices.BinarySearchFunc(p.Machines, name, func(machine *Machine, name string) int {
		return strings.Compare(machine.Name, name)
	})
	if !found {
		return nil
	}
	return p.Machines[at]
}

// initMachines resets the state that the previous pass kept for the machines and counts their
// tasks and reserved slots.
func (p *pass) initMachines() {
	var running []*Job // jobs with preemptible tasks, without duplicates
	minimum := p.minRequest()
	for i, machine := range p.Machines {
		machine.state = machineState{position: i}
		machine.computeUsage()
		if machine.Schedulable && !machine.Spot && len(machine.RunningTasks) == 0 {
			p.emptyOnDemand++
		}
		if machine.Schedulable && machine.AttemptCapacity > 0 && machine.unusedResources().Covers(minimum) {
			p.withFreeCapacity = append(p.withFreeCapacity, machine)
			machine.state.hadFreeCapacity = true
		}
		running = p.countTasks(machine, running)
		for _, slot := range machine.Reserved {
			team := slot.Pipeline.Team
			p.reserved[team] = append(p.reserved[team], machineReservation{machine, slot})
		}
	}
	for _, job := range running {
		p.preemptibleTasks[preemptionClassOf(job)] += job.state.runningTasks
		job.state.runningTasks = 0
	}
}

// countTasks counts the machine's stopping tasks in usedByStopping, and the others in their
// job's runningTasks and the machine's classBits. Counting by job before summing up by
// preemption class avoids a map access for each task. It appends the jobs with preemptible
// tasks that are not yet in running and returns the result.
func (p *pass) countTasks(machine *Machine, running []*Job) []*Job {
	for i := range machine.RunningTasks {
		task := &machine.RunningTasks[i]
		job := task.Job
		switch {
		case job == nil:
		case task.Stopping:
			p.usedByStopping[job.Spec.Team] = p.usedByStopping[job.Spec.Team].Add(task.Resources)
		default:
			if job.state.runningTasks == 0 {
				running = append(running, job)
				job.state.classBit = p.classBit(preemptionClassOf(job))
			}
			job.state.runningTasks++
			machine.state.classBits |= job.state.classBit
		}
	}
	return running
}
