package leader

import (
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// logAttempt appends a new attempt to the write-ahead log. Its run command is sent only after
// the record is committed.
func (l *Leader) logAttempt(machine *machineState, attempt *workers.Attempt) {
	if !machine.metadataLogged {
		l.logMetadata(machine, nil)
	}
	l.wal.AttemptPlaced(machine.worker.Name, attemptToRecord(attempt), attempt.ID.Task.Job, l.jobUsageToRecord(attempt), func() {
		if !attempt.Committed {
			attempt.Committed = true
			l.allowStart(machine, attempt)
		}
	})
}

// allowStart lets a committed attempt start. The attempts of a gang may start only once those
// of all its tasks are committed.
func (l *Leader) allowStart(machine *machineState, attempt *workers.Attempt) {
	job := l.jobs.get(attempt.ID.Task.Job)
	if job == nil {
		return
	}
	if job.spec.Kind != jobs.KindGang {
		attempt.StartAllowed = true
		l.replies.wake(machine)
		return
	}
	placed := job.attempts.sorted()
	for _, p := range placed {
		if p.attempt.ID.Number == attempt.ID.Number && !p.attempt.Committed {
			return
		}
	}
	for _, p := range placed {
		if p.attempt.ID.Number == attempt.ID.Number {
			p.attempt.StartAllowed = true
			l.replies.wake(p.machine)
		}
	}
}

// allowForget allows a worker to forget the exit of an attempt. It is called once the exit is
// recorded, or right away for an exit that needs no record.
func (l *Leader) allowForget(machine *machineState, attempt *workers.Attempt) {
	if !attempt.ExitRecorded {
		attempt.ExitRecorded = true
		l.replies.wake(machine)
	}
}

// releaseRecordedExits lets workers forget the exits of a job's tasks whose completion is
// recorded.
func (l *Leader) releaseRecordedExits(job *jobState) {
	for attempt, machine := range job.unrecordedExits {
		if job.progress.isRecorded(attempt.ID.Task.Index) {
			l.allowForget(machine, attempt)
			delete(job.unrecordedExits, attempt)
		}
	}
}
