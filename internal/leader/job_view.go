package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// refreshView updates the job's view for placement. relativeClassCount is the number of jobs
// of its class relative to that of the most frequent class.
func (j *jobState) refreshView(relativeClassCount float64, now time.Time) {
	view := &j.view
	view.UpdateSlack(now, relativeClassCount)
	view.BackingOff = j.retry.backingOff(now)
	view.SinceLastStart = now.Sub(j.lastPlacedAt)
	if !j.stale && !j.retry.changesWithTime() {
		return
	}
	j.stale = false
	view.TasksByZone = j.attempts.countByZone()
	view.AvoidMachines = j.retry.machinesToAvoid(now)
	// The slice is reused to avoid an allocation.
	view.WaitingTasks = view.WaitingTasks[:0]
	if j.spec.Kind == jobs.KindGang {
		j.listWaitingGangTasks()
	} else {
		j.listWaitingTasks(now)
	}
}

// listWaitingGangTasks lists the tasks of a gang that wait for a machine. A gang starts as a
// whole, and only after all tasks of an earlier attempt are proven gone. While a lost task may be
// replaced, only the tasks without an attempt are listed.
func (j *jobState) listWaitingGangTasks() {
	if len(j.attempts) == 0 {
		j.gang.replacingTask = false
	}
	mayStart := len(j.attempts) == 0 && j.progress.remaining() > 0
	if !mayStart && !j.gang.replacingTask {
		return
	}
	for task := range j.spec.Tasks {
		if len(j.attempts[task]) == 0 {
			j.view.WaitingTasks = append(j.view.WaitingTasks, task)
		}
	}
}

// listWaitingTasks lists the first tasks of an array or service that wait for a machine.
func (j *jobState) listWaitingTasks(now time.Time) {
	limit := constants.MaxWaitingTasksPerJob
	if j.failures.JobIsFaulty() {
		// A single task shows whether the job still fails, and leaves the capacity to
		// other jobs.
		limit = max(0, 1-len(j.attempts))
	}
	foundFirst := false
	for task := j.progress.firstWaiting; task < j.spec.Tasks; task++ {
		if j.progress.isDone(task) || len(j.attempts[task]) > 0 {
			continue
		}
		if !foundFirst {
			j.progress.firstWaiting, foundFirst = task, true
		}
		if len(j.view.WaitingTasks) >= limit {
			break
		}
		if !j.retry.delays.IsDelayed(task, now) {
			j.view.WaitingTasks = append(j.view.WaitingTasks, task)
		}
	}
	if !foundFirst {
		j.progress.firstWaiting = j.spec.Tasks
	}
}
