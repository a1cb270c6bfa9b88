package leader

import (
	"sort"
	"time"

	"thornnotch/internal/workers"
)

// stopAttempt stops one attempt.
func (l *Leader) stopAttempt(machine *machineState, a *workers.Attempt, grace float64, now time.Time) {
	if machine.agent.RequestStop(a, grace, now) {
		l.removeAttempt(machine, a)
	}
	l.markStale(machine)
	l.wakeReply(machine)
	l.passDueNow = true
}

// stopGang stops all attempts of a gang together.
func (l *Leader) stopGang(j *jobState, grace float64, now time.Time) {
	j.replacingTask, j.stale = false, true
	seats := sortedAttempts(j)
	for _, s := range seats {
		l.stopAttempt(s.machine, s.attempt, grace, now)
	}
	for _, s := range seats {
		l.sendStops(s.machine, now)
	}
}

func sortedAttempts(j *jobState) []placedAttempt {
	var out []placedAttempt
	for _, ss := range j.attempts {
		out = append(out, ss...)
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if x.attempt.ID.Task.Index != y.attempt.ID.Task.Index {
			return x.attempt.ID.Task.Index < y.attempt.ID.Task.Index
		}
		return x.machine.agent.Name < y.machine.agent.Name
	})
	return out
}

// addAttempt notes an attempt with its job.
func (l *Leader) addAttempt(machine *machineState, a *workers.Attempt) {
	l.markStale(machine)
	j := l.jobs[a.ID.Task.Job]
	if j == nil || a.ID.Task.Index >= j.spec.Tasks {
		return
	}
	j.stale = true
	i := a.ID.Task.Index
	j.attempts[i] = append(j.attempts[i], placedAttempt{machine, a})
	j.placed = true
}

// removeAttempt takes an attempt off its job once it is gone or has exited.
func (l *Leader) removeAttempt(machine *machineState, a *workers.Attempt) {
	l.markStale(machine)
	l.commits.log.AttemptGone(machine.agent.Name, recordAttempt(a))
	j := l.jobs[a.ID.Task.Job]
	if j == nil {
		if g := l.endedJobs[a.ID.Task.Job]; g != nil {
			if g.attempts--; g.attempts <= 0 {
				delete(l.endedJobs, a.ID.Task.Job)
			}
		}
		return
	}
	j.stale = true
	i := a.ID.Task.Index
	kept := j.attempts[i][:0:0]
	for _, s := range j.attempts[i] {
		if s.attempt != a {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		delete(j.attempts, i)
	} else {
		j.attempts[i] = kept
	}
	if i < j.firstWaiting {
		j.firstWaiting = i
	}
}
