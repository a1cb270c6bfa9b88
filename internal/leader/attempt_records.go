package leader

import (
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// logAttempt has an attempt recorded; its `run` leaves only once that stands.
func (l *Leader) logAttempt(machine *machineState, a *workers.Attempt) {
	if !machine.metadataLogged {
		l.logMetadata(machine, nil)
	}
	l.wal.AttemptPlaced(machine.agent.Name, recordAttempt(a), a.ID.Task.Job, l.recordUse(a), func() {
		if !a.Committed {
			a.Committed = true
			l.allowStart(machine, a)
		}
	})
}

// allowStart lets a committed attempt start. A gang waits until the records of all
// its tasks stand.
func (l *Leader) allowStart(machine *machineState, a *workers.Attempt) {
	j := l.jobs.get(a.ID.Task.Job)
	if j == nil {
		return
	}
	if j.spec.Kind != jobs.KindGang {
		a.StartAllowed = true
		l.replies.wake(machine)
		return
	}
	seats := j.attempts.sorted()
	for _, s := range seats {
		if s.attempt.ID.Number == a.ID.Number && !s.attempt.Committed {
			return
		}
	}
	for _, s := range seats {
		if s.attempt.ID.Number == a.ID.Number {
			s.attempt.StartAllowed = true
			l.replies.wake(s.machine)
		}
	}
}

// allowForget lets a worker forget an exit that is recorded, or of no interest.
func (l *Leader) allowForget(machine *machineState, a *workers.Attempt) {
	if !a.ExitRecorded {
		a.ExitRecorded = true
		l.replies.wake(machine)
	}
}

// releaseRecordedExits lets workers forget the exits of a job's tasks that are recorded.
func (l *Leader) releaseRecordedExits(j *jobState) {
	for a, machine := range j.unrecordedExits {
		if j.progress.isRecorded(a.ID.Task.Index) {
			l.allowForget(machine, a)
			delete(j.unrecordedExits, a)
		}
	}
}
