package placement

// Plan is the result of a pass. It starts either all of a gang's waiting tasks or none.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Claims      []MachineClaim
	// AwaitingStops lists the gangs whose waiting tasks will all fit once the stopping tasks
	// have ended, so that no further machine has to drain for them.
	AwaitingStops []*Job
	// Released lists reservations that were overridden by other jobs or that no job can use.
	Released []Release
	// MachinesExamined is the number of machines examined while placing tasks, summed over all
	// jobs.
	MachinesExamined int
}

// Start places one task on a machine.
type Start struct {
	Job     *Job
	Index   int // of the task within the job
	Machine *Machine
}

// Preemption stops a task to make room for another job.
type Preemption struct {
	Machine   *Machine
	Victim    RunningTask
	Preemptor *Job
}

// MachineClaim keeps a machine that has free capacity or is about to have some, for a job that
// can't start on it yet.
type MachineClaim struct {
	Job     *Job
	Machine *Machine
}

// Release ends one slot's reservation on a machine.
type Release struct {
	Machine *Machine
	Slot    ReservedSlot
}
