package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/workers"
)

// applyEvents takes in what a report or the clock says of a machine's attempts.
func (l *Leader) applyEvents(machine *machineState, events []workers.Event, now time.Time) {
	if len(events) > 0 {
		machine.markStale()
	}
	for _, event := range events {
		attempt := event.Attempt
		job := l.jobs.get(attempt.ID.Task.Job)
		l.noteCachedImage(machine, job, attempt, now)
		switch event.Kind {
		case workers.EventUnrecorded:
			if attempt.Status == workers.StatusExited {
				break // an Ended event follows
			}
			l.deps.Log.Info("task in no record", "piece", attempt.ID.Task, "try", attempt.ID.Number, "rig", machine.agent.Name)
			l.addAttempt(machine, attempt)
			if job == nil {
				l.jobs.endedAttemptFound(attempt.ID.Task.Job)
			}
			if job == nil || attempt.ID.Task.Index >= job.spec.Tasks {
				l.stopAttempt(machine, attempt, 0, now)
			} else {
				l.stopAttempt(machine, attempt, job.spec.SaveS+constants.StopGrace.Seconds(), now)
			}
			l.logAttempt(machine, attempt)
		case workers.EventStatusChanged:
			l.deps.Log.Debug("task seen", "piece", attempt.ID.Task, "try", attempt.ID.Number, "rig", machine.agent.Name, "status", attempt.Status)
			if job != nil && attempt.Status == workers.StatusRunning && job.started.IsZero() {
				job.started = now
				l.countGangWait(job, now)
			}
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
	if len(events) > 0 {
		l.passDueNow = true
	}
}

// taskExited takes in a task's exit.
func (l *Leader) taskExited(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	l.deps.Log.Debug("task ended", "piece", attempt.ID.Task, "try", attempt.ID.Number, "rig", machine.agent.Name, "cause", attempt.Cause, "saved", attempt.Saved)
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
	case "alone", "mates_gone", "halted":
		job.restartedTasks[attempt.ID.Task.Index] = true
	default:
		// Refused: the worker knows better than our books; look again soon.
		job.notBefore = now.Add(constants.RetryBase)
		replace = true
	}
	l.allowForget(machine, attempt)
	l.gangTaskLost(machine, job, attempt, replace, now)
}

// taskCompleted records a task's completion. The worker may forget it only once the
// record stands.
func (l *Leader) taskCompleted(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	first := !job.doneTasks.has(attempt.ID.Task.Index)
	job.unrecordedExits[attempt], job.stale = machine, true
	l.noteStragglerSignal(machine, job, attempt, now)
	if job.spec.Kind == jobs.KindGang {
		// A gang's tasks complete together: one done, all done.
		if first {
			for i := range job.spec.Tasks {
				job.doneTasks.set(i)
			}
			job.doneCount = job.spec.Tasks
			l.logDone(job, wal.AllTasks)
		}
	} else if first {
		job.doneTasks.set(attempt.ID.Task.Index)
		job.doneCount++
		l.logDone(job, attempt.ID.Task.Index)
	}
	job.failures.RecordSuccess()
	l.attributeFailures(job, now) // now: the job may be over in a moment
	machine.health.RecordSuccess()
	l.releaseRecordedExits(job)
	if first || job.spec.Kind == jobs.KindGang {
		l.reserveFreed(machine, job, attempt, now)
	}
	// Another attempt of a task that is done has no purpose.
	if job.spec.Kind != jobs.KindGang {
		for _, s := range job.attempts[attempt.ID.Task.Index] {
			l.stopAttempt(s.machine, s.attempt, 0, now)
		}
	}
	l.checkComplete(job)
}

// logDone has a task's completion recorded, before its worker may forget it.
func (l *Leader) logDone(job *jobState, task int) {
	l.wal.TasksDone(job.spec.ID, []int{task}, func() {
		if job.removed {
			return
		}
		if task == wal.AllTasks {
			copy(job.recordedDone, job.doneTasks)
		} else {
			job.recordedDone.set(task)
		}
		l.releaseRecordedExits(job)
	})
}

// checkComplete starts the last record of a job whose tasks are all done.
func (l *Leader) checkComplete(job *jobState) {
	if job.doneCount == job.spec.Tasks && !job.complete && !job.removed {
		job.complete = true
		l.recordCompletion(job)
	}
}
