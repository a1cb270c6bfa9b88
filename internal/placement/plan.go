package placement

// Plan is the result of a pass. It starts either all of a gang's waiting tasks or none.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Claims      []DrainClaim
	// Draining lists the gangs for which all tasks will fit once the stopping tasks have
	// ended.
	Draining []*Job
	// Released lists reservations that were overridden by other jobs or that no job can use.
	Released []Release
	// Unplaced lists the jobs with tasks that could not be placed, in the order handled.
	Unplaced []*Job
	// Examined is the number of machines examined while placing tasks.
	Examined int
}

// Start places one task on a machine.
type Start struct {
	Job     *Job
	Index   int
	Machine *Machine
}

// Preemption stops a task to make room for another job.
type Preemption struct {
	Machine *Machine
	Victim  RunningTask
	For     *Job
}

// DrainClaim keeps a machine that is about to have free capacity for a job.
type DrainClaim struct {
	Job     *Job
	Machine *Machine
}

// Release ends one slot's reservation on a machine.
type Release struct {
	Machine *Machine
	Slot    ReservedSlot
}
