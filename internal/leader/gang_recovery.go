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
		job.replacingTask, job.stale = true, true
		job.avoid[machine.agent.Name] = now.Add(constants.AvoidFor)
		l.deps.Log.Debug("task of a waiting gang to be replaced", "piece", attempt.ID.Task, "try", attempt.ID.Number, "rig", machine.agent.Name)
		return
	}
	l.stopGang(job, 0, now)
}

// stopIncompleteGang stops what an earlier term had placed of a gang that lacks tasks: it
// can't be completed any more, and would wait in vain.
func (l *Leader) stopIncompleteGang(job *jobState, now time.Time) {
	if n := len(job.attempts); job.spec.Kind == jobs.KindGang && n > 0 && n < job.spec.Tasks && !job.complete {
		l.stopGang(job, job.spec.SaveS+constants.StopGrace.Seconds(), now)
	}
}

// mayReplaceTask tells whether the rest of the gang still waits, as far as is
// known. Should it have started after all, the rest exits for want of the lost
// task, and that stops the replacement too. Attempts of earlier terms are not
// completed: what their leader sent last is not known.
func (l *Leader) mayReplaceTask(job *jobState, attempt *workers.Attempt) bool {
	if attempt.StopRequested || attempt.FromEarlierTerm || attempt.ID.Number != job.gangAttempt || !l.term.ownsAttempt(attempt.ID.Number) || len(job.attempts) == 0 {
		return false
	}
	for _, s := range sortedAttempts(job) {
		switch {
		case s.attempt.StopRequested, s.attempt.FromEarlierTerm, s.attempt.ID.Number != attempt.ID.Number:
			return false
		case s.attempt.Status != "" && s.attempt.Status != workers.StatusFetching && s.attempt.Status != workers.StatusWaiting:
			return false
		}
	}
	return true
}
