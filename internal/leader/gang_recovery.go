package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// gangTaskLost handles a task of a gang whose attempt is gone or exited without completing. If
// the gang has not started yet and a replacement is allowed, the task is placed again under
// the same attempt number. Otherwise the remaining tasks are stopped and the gang restarts as
// a whole.
func (l *Leader) gangTaskLost(machine *machineState, job *jobState, attempt *workers.Attempt, replace bool, now time.Time) {
	if job == nil || job.spec.Kind != jobs.KindGang || job.complete {
		return
	}
	if replace && l.mayReplaceTask(job, attempt) {
		job.gang.replacingTask = true
		job.markStale()
		job.retry.avoidMachine(machine.worker.Name, now.Add(constants.AvoidMachineFor))
		l.deps.Log.Debug("replacing lost task of waiting gang", "task", attempt.ID.Task, "attempt", attempt.ID.Number, "machine", machine.worker.Name)
		return
	}
	l.stopGang(job, 0, now)
}

// stopIncompleteGang stops the attempts of a gang that an earlier term placed only in part.
// Such a gang can't be completed any more and would wait forever.
func (l *Leader) stopIncompleteGang(job *jobState, now time.Time) {
	if n := len(job.attempts); job.spec.Kind == jobs.KindGang && n > 0 && n < job.spec.Tasks && !job.complete {
		l.stopGang(job, job.stopGraceS(), now)
	}
}

// mayReplaceTask reports whether, by their last reported status, the other tasks of the gang
// are still waiting for its start. If they have started since, they exit because the lost task
// is missing, and that stops the replacement too. Gangs with attempts of earlier terms get no
// replacement, because the last commands of an earlier leader are unknown.
func (l *Leader) mayReplaceTask(job *jobState, lost *workers.Attempt) bool {
	if lost.StopRequested || lost.FromEarlierTerm || len(job.attempts) == 0 {
		return false
	}
	if lost.ID.Number != job.gang.attemptNumber || !l.term.ownsAttempt(lost.ID.Number) {
		return false
	}
	for _, placed := range job.attempts.sorted() {
		other := placed.attempt
		if other.StopRequested || other.FromEarlierTerm || other.ID.Number != lost.ID.Number || !waitsForStart(other) {
			return false
		}
	}
	return true
}

// waitsForStart reports whether an attempt, by its last reported status, has not started: its
// worker has not reported it yet, or it is fetching its image or waiting for the other tasks of
// its gang.
func waitsForStart(attempt *workers.Attempt) bool {
	return attempt.Status == "" || attempt.Status == workers.StatusFetching || attempt.Status == workers.StatusWaiting
}
