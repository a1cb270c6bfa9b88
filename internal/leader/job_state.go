package leader

import (
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/health"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// placedAttempt is an attempt with the machine that it is on.
type placedAttempt struct {
	machine *machineState
	attempt *workers.Attempt
}

// jobState is one accepted job that has not ended.
type jobState struct {
	spec     *jobs.Spec
	view     placement.Job
	revision uint64 // revision of its record, which never changes
	// servedAt is when a task of it was last given a place, or it came.
	servedAt time.Time

	doneTasks    bitset // finished tasks
	recordedDone bitset // those whose completion is recorded
	doneCount    int
	firstWaiting int // no task below it waits
	// unrecordedExits are attempts reported done whose completion is not yet recorded.
	unrecordedExits map[*workers.Attempt]*machineState
	// stale is set when the view for placement must be made anew.
	stale bool

	// attempts are the attempts not proven gone or exited, by task.
	attempts map[int][]placedAttempt
	started  time.Time // first time that a task ran
	// placed is set once any task was given a place: the job no longer waits
	// to start.
	placed bool

	runtimes health.Runtimes
	// restartedTasks are the tasks that have run in part already, whose last run tells
	// nothing of the whole.
	restartedTasks map[int]bool
	// fromEarlierTerm jobs were open when this term began: how long their tasks had
	// run by then is not known, so they tell nothing of machines.
	fromEarlierTerm bool

	// gangAttempt is the number of a gang's present attempt. short is set while a
	// task that it lost before it ran may be replaced under that number.
	gangAttempt   uint64
	replacingTask bool

	// failures is what its failures tell; retry are tasks that must wait after
	// failing again and again while the others do well.
	failures     health.FailureHistory
	delayedTasks health.TaskDelays
	notBefore    time.Time
	avoid        map[string]time.Time
	waitCounted  bool // how it fared among the largest of its class is known
	// pendingUpstreams are the jobs that must be done first and are not known to be, asks is
	// set while not even their names are.
	pendingUpstreams map[string]bool
	upstreamsUnknown bool
	hasDependencies  bool // it named jobs to wait for, whether or not they are done
	// downstreamDemand is what the jobs that need this one ask for.
	downstreamDemand demand
	// acceptedAt is when it was submitted; its view counts from when it could start.
	acceptedAt time.Time
	complete   bool // all tasks are done, the final record is being written
	finalizing bool // a transaction with the final record is under way
	removed    bool // cancelled or ended
}
