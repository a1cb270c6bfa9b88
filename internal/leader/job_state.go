package leader

import (
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/health"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// jobState is the state of an accepted job that has not ended.
type jobState struct {
	spec     *jobs.Spec
	revision uint64 // revision of the job's record, which never changes
	// acceptedAt is the submission time. Unlike view.Submitted, it does not move when the last
	// upstream job ends.
	acceptedAt time.Time

	// view is the job as shown to placement; stale is set when it has to be rebuilt.
	view  placement.Job
	stale bool

	progress taskProgress
	// unrecordedExits are attempts that were reported done and whose completion is not
	// recorded yet. Their workers must keep the exits until it is.
	unrecordedExits map[*workers.Attempt]*machineState

	attempts taskAttempts
	// placed is set once any task has been placed: the job no longer waits to start.
	placed bool
	// lastPlacedAt is when a task of the job was last placed. Before the first placement, it
	// is when the job was added or became eligible to start.
	lastPlacedAt time.Time
	startedAt    time.Time // when a task was first reported running

	gang      gangState
	retry     retryState
	upstreams upstreamState
	// downstreamDemand is the demand inherited from the jobs that depend on this one.
	downstreamDemand demand

	// failures and runtimes hold what the job's tasks show about the health of machines and of
	// the job itself.
	failures health.FailureHistory
	runtimes health.Runtimes
	// restartedTasks are tasks that have run in part before. The run time of their last
	// attempt is not that of the whole task.
	restartedTasks map[int]bool
	// fromEarlierTerm is set if the job was open when this term began. How long its tasks had
	// run by then is unknown, so their run times are not used to judge machines.
	fromEarlierTerm bool

	complete   bool // all tasks are done; the final record must be written
	finalizing bool // a transaction with the final record is in flight
	removed    bool // cancelled or ended
}

// markStale makes the next pass rebuild the job's view. It must be called on every change to
// the job's tasks or attempts.
func (j *jobState) markStale() { j.stale = true }

// gangState is the state that only gangs have, apart from their attempts.
type gangState struct {
	// attemptNumber is the number of the gang's current attempt. replacingTask is set while a
	// task that was lost before the gang started may be replaced under that number.
	attemptNumber uint64
	replacingTask bool
	// waitCounted is set once the gang is counted in the waits of its class's largest gangs.
	waitCounted bool
}

// upstreamState holds the jobs that a job depends on.
type upstreamState struct {
	declared bool // the job has dependencies, whether or not they are done
	unlinked bool // the job is not linked to its upstream jobs yet
	// pending are the IDs of the upstream jobs that are not known to be done.
	pending map[string]bool
}

// waitFor sets the IDs of the jobs to wait for. It returns them without duplicates.
func (u *upstreamState) waitFor(ids []string) []string {
	u.unlinked = false
	u.pending = make(map[string]bool, len(ids))
	var distinct []string
	for _, id := range ids {
		if !u.pending[id] {
			u.pending[id] = true
			distinct = append(distinct, id)
		}
	}
	return distinct
}

// markDone removes an upstream job that is done.
func (u *upstreamState) markDone(id string) { delete(u.pending, id) }

// blocked reports whether any upstream job is not known to be done.
func (u *upstreamState) blocked() bool { return u.unlinked || len(u.pending) > 0 }

// newJobState returns the state of a job without attempts. submitted is its submission time;
// now is the time at which it is added.
func newJobState(spec *jobs.Spec, revision uint64, submitted, now time.Time) *jobState {
	return &jobState{
		spec: spec, revision: revision, acceptedAt: submitted, lastPlacedAt: now,
		view: placement.Job{
			Spec: spec, Priority: jobs.Priority(spec.PriorityClass), SubmissionRevision: revision, Submitted: submitted,
		},
		stale:           true,
		progress:        newTaskProgress(spec.Tasks),
		unrecordedExits: make(map[*workers.Attempt]*machineState),
		attempts:        make(taskAttempts),
		retry:           retryState{avoid: make(map[string]time.Time)},
		restartedTasks:  make(map[int]bool),
	}
}
