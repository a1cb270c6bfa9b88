package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// gangTaskLost is called when a task of a gang is gone or has ended undone. While the
// gang still waits for its start, a replacement with the same attempt number
// completes it; else the others go too, and it starts anew.
func (l *Leader) gangTaskLost(machine *machineState, job *jobState, attempt *workers.Attempt, replace bool, now time.Time) {
	if job == nil || job.spec.Kind != jobs.KindGang || job.complete {
		return
	}
	if replace && l.mayReplaceTask(job, attempt) {
		job.gang.replacingTask = true
		job.markStale()
		job.retry.avoidMachine(machine.agent.Name, now.Add(constants.AvoidFor))
		l.deps.Log.Debug("task of a waiting gang to be replaced", "task", attempt.ID.Task, "attempt", attempt.ID.Number, "machine", machine.agent.Name)
		return
	}
	l.stopGang(job, 0, now)
}

// stopIncompleteGang stops what an earlier term had placed of a gang that lacks tasks: it
// can't be completed any more, and would wait in vain.
func (l *Leader) stopIncompleteGang(job *jobState, now time.Time) {
	if n := len(job.attempts); job.spec.Kind == jobs.KindGang && n > 0 && n < job.spec.Tasks && !job.complete {
		l.stopGang(job, job.stopGrace(), now)
	}
}

// mayReplaceTask tells whether the rest of the gang still waits, as far as is
// known. Should it have started after all, the rest exits for want of the lost
// task, and that stops the replacement too. Attempts of earlier terms are not
// completed: what their leader sent last is not known.
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

// waitsForStart tells whether an attempt was not seen beyond waiting for its gang.
func waitsForStart(attempt *workers.Attempt) bool {
	return attempt.Status == "" || attempt.Status == workers.StatusFetching || attempt.Status == workers.StatusWaiting
}
