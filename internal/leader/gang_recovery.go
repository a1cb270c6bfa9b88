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
func (l *Leader) gangTaskLost(machine *machineState, j *jobState, a *workers.Attempt, replace bool, now time.Time) {
	if j == nil || j.spec.Kind != jobs.KindGang || j.complete {
		return
	}
	if replace && l.mayReplace(j, a) {
		j.replacingTask, j.stale = true, true
		j.avoid[machine.agent.Name] = now.Add(constants.AvoidFor)
		l.deps.Log.Debug("task of a waiting gang to be replaced", "piece", a.ID.Task, "try", a.ID.Number, "rig", machine.agent.Name)
		return
	}
	l.stopGang(j, 0, now)
}

// stopIncompleteGang stops what an earlier term had placed of a gang that lacks tasks: it
// can't be completed any more, and would wait in vain.
func (l *Leader) stopIncompleteGang(j *jobState, now time.Time) {
	if n := len(j.attempts); j.spec.Kind == jobs.KindGang && n > 0 && n < j.spec.Tasks && !j.complete {
		l.stopGang(j, j.spec.SaveS+constants.StopGrace.Seconds(), now)
	}
}

// mayReplace tells whether the rest of the gang still waits, as far as is
// known. Should it have started after all, the rest exits for want of the lost
// task, and that stops the replacement too. Attempts of earlier terms are not
// completed: what their leader sent last is not known.
func (l *Leader) mayReplace(j *jobState, a *workers.Attempt) bool {
	if a.StopRequested || a.FromEarlierTerm || a.ID.Number != j.gangAttempt || !l.attemptNumbers.owns(a.ID.Number) || len(j.attempts) == 0 {
		return false
	}
	for _, s := range sortedAttempts(j) {
		switch {
		case s.attempt.StopRequested, s.attempt.FromEarlierTerm, s.attempt.ID.Number != a.ID.Number:
			return false
		case s.attempt.Status != "" && s.attempt.Status != workers.StatusFetching && s.attempt.Status != workers.StatusWaiting:
			return false
		}
	}
	return true
}
