package leader

import (
	"sort"
	"time"

	"thornnotch/internal/workers"
)

// stopAttempt stops one attempt.
func (l *Leader) stopAttempt(machine *machineState, attempt *workers.Attempt, grace float64, now time.Time) {
	if machine.agent.RequestStop(attempt, grace, now) {
		l.removeAttempt(machine, attempt)
	}
	machine.markStale()
	l.wakeReply(machine)
	l.passDueNow = true
}

// stopGang stops all attempts of a gang together.
func (l *Leader) stopGang(job *jobState, grace float64, now time.Time) {
	job.replacingTask, job.stale = false, true
	seats := sortedAttempts(job)
	for _, s := range seats {
		l.stopAttempt(s.machine, s.attempt, grace, now)
	}
	for _, s := range seats {
		l.sendStops(s.machine, now)
	}
}

func sortedAttempts(job *jobState) []placedAttempt {
	var out []placedAttempt
	for _, ss := range job.attempts {
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
func (l *Leader) addAttempt(machine *machineState, attempt *workers.Attempt) {
	machine.markStale()
	job := l.jobs.get(attempt.ID.Task.Job)
	if job == nil || attempt.ID.Task.Index >= job.spec.Tasks {
		return
	}
	job.stale = true
	i := attempt.ID.Task.Index
	job.attempts[i] = append(job.attempts[i], placedAttempt{machine, attempt})
	job.placed = true
}

// removeAttempt takes an attempt off its job once it is gone or has exited.
func (l *Leader) removeAttempt(machine *machineState, attempt *workers.Attempt) {
	machine.markStale()
	l.wal.AttemptGone(machine.agent.Name, recordAttempt(attempt))
	job := l.jobs.get(attempt.ID.Task.Job)
	if job == nil {
		l.jobs.endedAttemptGone(attempt.ID.Task.Job)
		return
	}
	job.stale = true
	i := attempt.ID.Task.Index
	kept := job.attempts[i][:0:0]
	for _, s := range job.attempts[i] {
		if s.attempt != attempt {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		delete(job.attempts, i)
	} else {
		job.attempts[i] = kept
	}
	if i < job.firstWaiting {
		job.firstWaiting = i
	}
}
