package placement

// Plan is what a pass decided. The starts of a gang are all there or none.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Claims      []DrainClaim
	// Draining are the gangs that will have room for all of their tasks once the tasks
	// that were told to stop have ended.
	Draining []*Job
	// Released are reservations that gave way to jobs which may take them.
	Released []Release
	// Unplaced are the jobs, in order, that could not start all their tasks.
	Unplaced []*Job
	// Examined is how many machines were examined as places for tasks.
	Examined int
}

// Start places one task on a machine.
type Start struct {
	Job     *Job
	Index   int
	Machine *Machine
}

// Preemption stops a task to make room for a job.
type Preemption struct {
	Machine *Machine
	Victim  RunningTask
	For     *Job
}

// DrainClaim keeps a machine, whose room is about to come free, for a job.
type DrainClaim struct {
	Job     *Job
	Machine *Machine
}

// Release ends one reservation on a machine.
type Release struct {
	Machine *Machine
	Slot    ReservedSlot
}
