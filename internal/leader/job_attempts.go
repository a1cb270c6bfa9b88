package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// stopGraceS returns the time, in seconds, that a task of the job has to save its progress
// before it is killed.
func (j *jobState) stopGraceS() float64 {
	return j.spec.CheckpointSaveS + constants.StopGrace.Seconds()
}

// stopAttempt requests the stop of an attempt, whose task gets graceS seconds to save its
// progress. An attempt whose run command was never sent is removed at once.
func (l *Leader) stopAttempt(machine *machineState, attempt *workers.Attempt, graceS float64, now time.Time) {
	if machine.worker.RequestStop(attempt, graceS, now) {
		l.removeAttempt(machine, attempt)
	}
	machine.markStale()
	l.replies.wake(machine)
	l.passes.request()
}

// stopGang stops all attempts of a gang. Each task gets graceS seconds to save its progress.
func (l *Leader) stopGang(job *jobState, graceS float64, now time.Time) {
	job.gang.replacingTask = false
	job.markStale()
	all := job.attempts.sorted()
	for _, placed := range all {
		l.stopAttempt(placed.machine, placed.attempt, graceS, now)
	}
	for _, placed := range all {
		l.sendStops(placed.machine, now)
	}
}

// addAttempt adds an attempt to its job, if the job is open and has the attempt's task.
func (l *Leader) addAttempt(machine *machineState, attempt *workers.Attempt) {
	machine.markStale()
	job := l.jobs.get(attempt.ID.Task.Job)
	if job == nil || attempt.ID.Task.Index >= job.spec.Tasks {
		return
	}
	job.markStale()
	job.attempts.add(machine, attempt)
	job.placed = true
}

// removeAttempt removes an attempt from its job once the attempt is gone or has exited, and
// adds its removal to the write-ahead log.
func (l *Leader) removeAttempt(machine *machineState, attempt *workers.Attempt) {
	machine.markStale()
	l.wal.AttemptGone(machine.worker.Name, attemptToRecord(attempt))
	job := l.jobs.get(attempt.ID.Task.Job)
	if job == nil {
		l.jobs.removeAttemptOfEndedJob(attempt.ID.Task.Job)
		return
	}
	job.markStale()
	job.attempts.remove(attempt)
	job.progress.lowerFirstWaiting(attempt.ID.Task.Index)
}
