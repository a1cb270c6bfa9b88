package leader

import (
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/health"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// jobState is one accepted job that has not ended.
type jobState struct {
	spec     *jobs.Spec
	revision uint64 // of its record, which never changes
	// acceptedAt is when it was submitted; its view counts from when it could start.
	acceptedAt time.Time

	// view is the job as placement sees it; stale is set when it must be made anew.
	view  placement.Job
	stale bool

	progress taskProgress
	// unrecordedExits are attempts reported done whose completion is not yet recorded:
	// their workers must not forget them.
	unrecordedExits map[*workers.Attempt]*machineState

	attempts taskAttempts
	// placed is set once any task was given a machine: the job no longer waits to start.
	placed bool
	// servedAt is when a task of it was last given a machine, or it came.
	servedAt time.Time
	started  time.Time // first time that a task ran

	gang      gangState
	retry     retryState
	upstreams upstreamState
	// downstreamDemand is what the jobs that need this one ask for.
	downstreamDemand demand

	// failures and runtimes are what its tasks tell of their machines, and of itself.
	failures health.FailureHistory
	runtimes health.Runtimes
	// restartedTasks are the tasks that have run in part already, whose last run tells
	// nothing of the whole.
	restartedTasks map[int]bool
	// fromEarlierTerm jobs were open when this term began: how long their tasks had
	// run by then is not known, so they tell nothing of machines.
	fromEarlierTerm bool

	complete   bool // all tasks are done, the final record is being written
	finalizing bool // a transaction with the final record is under way
	removed    bool // cancelled or ended
}

// markStale has the job's view made anew for the next pass. Whatever changes its tasks or
// attempts must call it.
func (j *jobState) markStale() { j.stale = true }

// gangState is what is kept of a gang beside its attempts.
type gangState struct {
	// attemptNumber is the number of its present attempt. replacingTask is set while a
	// task that it lost before it ran may be replaced under that number.
	attemptNumber uint64
	replacingTask bool
	// waitCounted is set once it is known how it fared among the largest of its class.
	waitCounted bool
}

// upstreamState is what a job waits for.
type upstreamState struct {
	declared bool // it named jobs to wait for, whether or not they are done
	unknown  bool // not even their names are known
	// pending are those that are not known to be done.
	pending map[string]bool
}

// waitFor has the job wait for the named ones. It returns them, each once.
func (u *upstreamState) waitFor(names []string) []string {
	u.unknown = false
	u.pending = make(map[string]bool, len(names))
	var distinct []string
	for _, name := range names {
		if !u.pending[name] {
			u.pending[name] = true
			distinct = append(distinct, name)
		}
	}
	return distinct
}

// done notes that an upstream is done.
func (u *upstreamState) done(name string) { delete(u.pending, name) }

// blocked tells whether a job before this one is not known to be done.
func (u *upstreamState) blocked() bool { return u.unknown || len(u.pending) > 0 }

func newJobState(spec *jobs.Spec, revision uint64, submitted, now time.Time) *jobState {
	return &jobState{
		spec: spec, revision: revision, acceptedAt: submitted, servedAt: now,
		view: placement.Job{
			Spec: spec, Priority: jobs.Priority(spec.PriorityClass), Order: revision, Submitted: submitted,
		},
		stale:           true,
		progress:        newTaskProgress(spec.Tasks),
		unrecordedExits: make(map[*workers.Attempt]*machineState),
		attempts:        make(taskAttempts),
		retry:           retryState{avoid: make(map[string]time.Time)},
		restartedTasks:  make(map[int]bool),
	}
}
