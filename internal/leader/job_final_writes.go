package leader

import (
	"encoding/json"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// recordCompletion has a job whose tasks are all done moved to the final records.
func (l *Leader) recordCompletion(job *jobState) {
	l.commits.recordCompleted(finalRecord{
		obsolete: func() bool { return job.removed || job.finalizing },
		write: func() wal.JobWrite {
			job.finalizing = true
			return l.completionWrite(job)
		},
	})
}

// completionWrite moves a job from the open to the final records. It fails if the user's
// cancellation came first: exactly one of both wins.
func (l *Leader) completionWrite(job *jobState) wal.JobWrite {
	id := job.spec.ID
	final := jobs.FinalRecord{Status: jobs.StatusDone, Tasks: job.spec.Tasks, FinishedAtMS: time.Now().UnixMilli()}
	write := finalWrite(job, final)
	write.Committed = func(uint64) {
		l.deps.Log.Debug("job done", "job", id)
		l.removeJob(job, time.Now())
		l.upstreamEnded(id, final, time.Now())
	}
	// Ended already by its user.
	write.Conflicted = func() { l.removeJob(job, time.Now()) }
	write.Retry = func() {
		job.finalizing = false
		l.recordCompletion(job)
	}
	return write
}

// recordCancellation has the final record written of a job that is cancelled with one that
// it depends on.
func (l *Leader) recordCancellation(job *jobState) {
	l.commits.recordCancelled(func() wal.JobWrite { return l.cancellationWrite(job) })
}

// cancellationWrite moves a job that is cancelled with one that it depends on to the final
// records.
func (l *Leader) cancellationWrite(job *jobState) wal.JobWrite {
	write := finalWrite(job, jobs.FinalRecord{Status: jobs.StatusCancelled})
	write.Retry = func() { l.recordCancellation(job) }
	return write
}

// finalWrite moves a job from the open to the final records, unless its open record is
// gone.
func finalWrite(job *jobState, final jobs.FinalRecord) wal.JobWrite {
	id := job.spec.ID
	value, _ := json.Marshal(final) // plain fields always encode
	return wal.JobWrite{
		Conditions: []statestore.Condition{{Key: jobs.OpenPrefix + id, Revision: job.revision}},
		Writes:     []statestore.Write{{Delete: jobs.OpenPrefix + id}, {Put: jobs.FinalPrefix + id, Value: value}},
	}
}
