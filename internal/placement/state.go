package placement

import (
	"slices"
	"strings"
	"time"
)

// machineUsage is what follows from a machine's running tasks. It is summed once: a view
// of a machine is shown again in later passes as long as nothing on it has changed.
type machineUsage struct {
	summed         bool
	used           Resources
	stopping       Resources     // of used, what was told to stop
	remaining      time.Duration // until the last of its tasks is expected to end
	lowestPriority int           // of the tasks not told to stop
	preemptible    bool          // whether there are any such
}

// machineState is what a pass keeps about a machine.
type machineState struct {
	rank      int  // place in the order of names
	claimedBy *Job // waiting job that the machine is kept for
	hadRoom   bool // for some task, as the pass began
	// classBits are the preemption classes of the tasks not told to stop as the pass began.
	classBits uint64
}

// jobState is what a pass keeps about a job whose tasks run.
type jobState struct {
	counted  int    // running tasks, while a pass counts them
	classBit uint64 // its preemption class
}

// sumUsage computes what follows from the running tasks.
func (m *Machine) sumUsage() {
	if m.usage.summed {
		return
	}
	m.usage = machineUsage{summed: true}
	for i := range m.RunningTasks {
		task := &m.RunningTasks[i]
		m.usage.used = m.usage.used.Add(task.Resources)
		m.usage.remaining = max(m.usage.remaining, task.Remaining)
		switch {
		case task.Stopping:
			m.usage.stopping = m.usage.stopping.Add(task.Resources)
		case task.Job != nil && (!m.usage.preemptible || task.Job.Priority < m.usage.lowestPriority):
			m.usage.lowestPriority, m.usage.preemptible = task.Job.Priority, true
		}
	}
}

// unused is the room on the machine that no task takes, reserved or not.
func (m *Machine) unused() Resources { return m.Total.Sub(m.usage.used) }

// freeFor is the room that the job may use on the machine.
func (m *Machine) freeFor(job *Job) Resources {
	free := m.unused()
	for _, slot := range m.Reserved {
		if slot.closedTo(job) {
			free = free.Sub(slot.Resources)
		}
	}
	return free
}

// emptyOnDemand tells whether the machine is whole for gangs that can't use spot machines.
func (m *Machine) emptyOnDemand() bool { return !m.Spot && m.usage.used == (Resources{}) }

// sortMachines puts machines in the order of their names, which breaks ties in a pass.
func sortMachines(machines []*Machine) {
	byName := func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(machines, byName) {
		slices.SortFunc(machines, byName)
	}
}

// machineNamed finds a machine among those sorted by name, or returns nil.
func (p *pass) machineNamed(name string) *Machine {
	at, found := slices.BinarySearchFunc(p.Machines, name, func(machine *Machine, name string) int {
		return strings.Compare(machine.Name, name)
	})
	if !found {
		return nil
	}
	return p.Machines[at]
}

// initMachines resets what the last pass kept about the machines and counts what is on
// them.
func (p *pass) initMachines() {
	var running []*Job // jobs with preemptible tasks, each once
	smallest := p.smallestRequest()
	for i, machine := range p.Machines {
		machine.state = machineState{rank: i}
		machine.sumUsage()
		if machine.Schedulable && !machine.Spot && len(machine.RunningTasks) == 0 {
			p.emptyOnDemand++
		}
		if machine.Schedulable && machine.AttemptCapacity > 0 && machine.unused().Fits(smallest) {
			p.withRoom = append(p.withRoom, machine)
			machine.state.hadRoom = true
		}
		running = p.countTasks(machine, running)
		for _, slot := range machine.Reserved {
			team := slot.Pipeline.Team
			p.reserved[team] = append(p.reserved[team], reservedOn{machine, slot})
		}
	}
	for _, job := range running {
		p.preemptible[preemptionClassOf(job)] += job.state.counted
		job.state.counted = 0
	}
}

// countTasks counts a machine's running tasks, by job as there are many tasks but few
// preemption classes. It returns the jobs with preemptible tasks so far.
func (p *pass) countTasks(machine *Machine, running []*Job) []*Job {
	for i := range machine.RunningTasks {
		task := &machine.RunningTasks[i]
		job := task.Job
		switch {
		case job == nil:
		case task.Stopping:
			p.stopping[job.Spec.Team] = p.stopping[job.Spec.Team].Add(task.Resources)
		default:
			if job.state.counted == 0 {
				running = append(running, job)
				job.state.classBit = p.classBit(preemptionClassOf(job))
			}
			job.state.counted++
			machine.state.classBits |= job.state.classBit
		}
	}
	return running
}
