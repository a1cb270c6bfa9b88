package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/workers"
)

// applyEvents applies events of a machine's attempts, which a heartbeat, an expired lease or the
// machine's termination has produced.
func (l *Leader) applyEvents(machine *machineState, events []workers.Event, now time.Time) {
	if len(events) == 0 {
		return
	}
	machine.markStale()
	for _, event := range events {
		attempt := event.Attempt
		job := l.jobs.get(attempt.ID.Task.Job)
		l.updateImageCache(machine, job, attempt, now)
		switch event.Kind {
		case workers.EventUnrecorded:
			l.stopUnrecorded(machine, job, attempt, now)
		case workers.EventStatusChanged:
			l.taskStatusChanged(machine, job, attempt, now)
		case workers.EventGone:
			if job != nil {
				job.restartedTasks[attempt.ID.Task.Index] = true
			}
			l.removeAttempt(machine, attempt)
			l.gangTaskLost(machine, job, attempt, true, now)
		case workers.EventExited:
			l.removeAttempt(machine, attempt)
			l.taskExited(machine, job, attempt, now)
		}
	}
	l.passes.request()
}

// stopUnrecorded stops an attempt that a machine reports but that has no record. The attempt
// is recorded nevertheless, as it occupies resources until it is gone.
func (l *Leader) stopUnrecorded(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	if attempt.Status == workers.StatusExited {
		return // EventExited follows
	}
	l.deps.Log.Warn("task without record reported", "task", attempt.ID.Task, "attempt", attempt.ID.Number, "machine", machine.worker.Name)
	l.addAttempt(machine, attempt)
	if job == nil {
		l.jobs.addAttemptOfEndedJob(attempt.ID.Task.Job)
	}
	graceS := 0.0
	if job != nil && attempt.ID.Task.Index < job.spec.Tasks {
		graceS = job.stopGraceS()
	}
	l.stopAttempt(machine, attempt, graceS, now)
	l.logAttempt(machine, attempt)
}

// taskStatusChanged handles a status change other than an exit.
func (l *Leader) taskStatusChanged(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	l.deps.Log.Debug("task status changed", "task", attempt.ID.Task, "attempt", attempt.ID.Number, "machine", machine.worker.Name, "status", attempt.Status)
	if job != nil && attempt.Status == workers.StatusRunning && job.startedAt.IsZero() {
		job.startedAt = now
		l.classes.gangWaits.observe(job, now)
	}
}

// taskExited handles the exit of a task, by its cause.
func (l *Leader) taskExited(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	l.deps.Log.Debug("task exited", "task", attempt.ID.Task, "attempt", attempt.ID.Number, "machine", machine.worker.Name, "cause", attempt.Cause, "saved", attempt.CheckpointSaved)
	if job == nil || attempt.ID.Task.Index >= job.spec.Tasks {
		l.allowForget(machine, attempt)
		return
	}
	replace := false
	switch attempt.Cause {
	case workers.CauseDone:
		l.taskCompleted(machine, job, attempt, now)
		return
	case workers.CauseError:
		l.taskFailed(machine, job, attempt, now)
	case workers.CauseGangIncomplete, workers.CauseGangLost, workers.CauseStopped:
		job.restartedTasks[attempt.ID.Task.Index] = true
	default:
		// The worker refused the start, so its state differs from what the leader assumed. The
		// job is retried soon.
		job.retry.notBefore = now.Add(constants.MinTaskRetryDelay)
		replace = true
	}
	l.allowForget(machine, attempt)
	l.gangTaskLost(machine, job, attempt, replace, now)
}

// taskCompleted records a task's completion. The worker may forget the task only once the
// record is committed.
func (l *Leader) taskCompleted(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	task, isGang := attempt.ID.Task.Index, job.spec.Kind == jobs.KindGang
	first := !job.progress.isDone(task)
	job.unrecordedExits[attempt] = machine
	job.markStale()
	l.recordTaskRuntime(machine, job, attempt, now)
	switch {
	case first && isGang:
		// A gang completes as a whole once one of its tasks is done.
		job.progress.completeAll()
		l.logDone(job, wal.AllTasks)
	case first:
		job.progress.complete(task)
		l.logDone(job, task)
	}
	job.failures.RecordSuccess()
	l.attributeFailures(job, now) // before checkComplete, which may end the job
	machine.health.RecordSuccess()
	l.releaseRecordedExits(job)
	if first || isGang {
		l.reserveFreedResources(machine, job, attempt, now)
	}
	if !isGang {
		// Other attempts of a completed task are redundant.
		for _, placed := range job.attempts[task] {
			l.stopAttempt(placed.machine, placed.attempt, 0, now)
		}
	}
	l.checkComplete(job)
}

// logDone records the completion of a task, or of all tasks for wal.AllTasks. Workers may
// forget the exits once the record is committed.
func (l *Leader) logDone(job *jobState, task int) {
	l.wal.TasksDone(job.spec.ID, []int{task}, func() {
		if job.removed {
			return
		}
		job.progress.markRecorded(task)
		l.releaseRecordedExits(job)
	})
}

// checkComplete queues the write of a job's final record once all its tasks are done.
func (l *Leader) checkComplete(job *jobState) {
	if job.progress.remaining() == 0 && !job.complete && !job.removed {
		job.complete = true
		l.queueCompletionWrite(job)
	}
}
