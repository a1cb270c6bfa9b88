package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/workers"
)

// applyEvents takes in what a report or the clock says of a machine's attempts.
func (l *Leader) applyEvents(machine *machineState, list []workers.Event, now time.Time) {
	if len(list) > 0 {
		l.markStale(machine)
	}
	for _, e := range list {
		a := e.Attempt
		j := l.jobs[a.ID.Task.Job]
		l.noteImage(machine, j, a, now)
		switch e.Kind {
		case workers.EventUnrecorded:
			if a.Status == workers.StatusExited {
				break // an Ended event follows
			}
			l.deps.Log.Info("task in no record", "piece", a.ID.Task, "try", a.ID.Number, "rig", machine.agent.Name)
			l.addAttempt(machine, a)
			if j == nil {
				if g := l.endedJobs[a.ID.Task.Job]; g != nil {
					g.attempts++
				}
			}
			if j == nil || a.ID.Task.Index >= j.spec.Tasks {
				l.stopAttempt(machine, a, 0, now)
			} else {
				l.stopAttempt(machine, a, j.spec.SaveS+constants.StopGrace.Seconds(), now)
			}
			l.logAttempt(machine, a)
		case workers.EventStatusChanged:
			l.deps.Log.Debug("task seen", "piece", a.ID.Task, "try", a.ID.Number, "rig", machine.agent.Name, "status", a.Status)
			if j != nil && a.Status == workers.StatusRunning && j.started.IsZero() {
				j.started = now
				l.countGangWait(j, now)
			}
		case workers.EventGone:
			if j != nil {
				j.restartedTasks[a.ID.Task.Index] = true
			}
			l.removeAttempt(machine, a)
			l.gangTaskLost(machine, j, a, true, now)
		case workers.EventExited:
			l.removeAttempt(machine, a)
			l.taskExited(machine, j, a, now)
		}
	}
	if len(list) > 0 {
		l.passDueNow = true
	}
}

// taskExited takes in a task's exit.
func (l *Leader) taskExited(machine *machineState, j *jobState, a *workers.Attempt, now time.Time) {
	l.deps.Log.Debug("task ended", "piece", a.ID.Task, "try", a.ID.Number, "rig", machine.agent.Name, "cause", a.Cause, "saved", a.Saved)
	if j == nil || a.ID.Task.Index >= j.spec.Tasks {
		l.allowForget(machine, a)
		return
	}
	replace := false
	switch a.Cause {
	case workers.CauseDone:
		l.taskCompleted(machine, j, a, now)
		return
	case workers.CauseError:
		l.taskFailed(machine, j, a, now)
	case "alone", "mates_gone", "halted":
		j.restartedTasks[a.ID.Task.Index] = true
	default:
		// Refused: the worker knows better than our books; look again soon.
		j.notBefore = now.Add(constants.RetryBase)
		replace = true
	}
	l.allowForget(machine, a)
	l.gangTaskLost(machine, j, a, replace, now)
}

// taskCompleted records a task's completion. The worker may forget it only once the
// record stands.
func (l *Leader) taskCompleted(machine *machineState, j *jobState, a *workers.Attempt, now time.Time) {
	first := !j.doneTasks.has(a.ID.Task.Index)
	j.unrecordedExits[a], j.stale = machine, true
	l.noteStragglerSignal(machine, j, a, now)
	if j.spec.Kind == jobs.KindGang {
		// A gang's tasks complete together: one done, all done.
		if first {
			for i := range j.spec.Tasks {
				j.doneTasks.set(i)
			}
			j.doneCount = j.spec.Tasks
			l.logDone(j, wal.AllTasks)
		}
	} else if first {
		j.doneTasks.set(a.ID.Task.Index)
		j.doneCount++
		l.logDone(j, a.ID.Task.Index)
	}
	j.failures.RecordSuccess()
	l.attributeFailures(j, now) // now: the job may be over in a moment
	machine.health.RecordSuccess()
	l.releaseRecordedExits(j)
	if first || j.spec.Kind == jobs.KindGang {
		l.reserve(machine, j, a, now)
	}
	// Another attempt of a task that is done has no purpose.
	if j.spec.Kind != jobs.KindGang {
		for _, s := range j.attempts[a.ID.Task.Index] {
			l.stopAttempt(s.machine, s.attempt, 0, now)
		}
	}
	l.checkComplete(j)
}

// logDone has a task's completion recorded, before its worker may forget it.
func (l *Leader) logDone(j *jobState, task int) {
	l.commits.log.TasksDone(j.spec.ID, []int{task}, func() {
		if j.removed {
			return
		}
		if task == wal.AllTasks {
			copy(j.recordedDone, j.doneTasks)
		} else {
			j.recordedDone.set(task)
		}
		l.releaseRecordedExits(j)
	})
}

// checkComplete starts the last record of a job whose tasks are all done.
func (l *Leader) checkComplete(j *jobState) {
	if j.doneCount == j.spec.Tasks && !j.complete && !j.removed {
		j.complete = true
		l.commits.finalizing = append(l.commits.finalizing, j)
	}
}
