package leader

import (
	"encoding/json"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// queueCompletionWrite queues the write of a completed job's final record.
func (l *Leader) queueCompletionWrite(job *jobState) {
	l.commits.queueCompleted(finalRecord{
		obsolete: func() bool { return job.removed || job.finalizing },
		write: func() wal.JobWrite {
			job.finalizing = true
			return l.completionWrite(job)
		},
	})
}

// completionWrite returns the write that replaces the job's open record with its final one. It
// conflicts if the user's cancellation was written first, so exactly one of the two succeeds.
func (l *Leader) completionWrite(job *jobState) wal.JobWrite {
	id := job.spec.ID
	final := jobs.FinalRecord{Status: jobs.StatusDone, Tasks: job.spec.Tasks, FinishedAtMS: time.Now().UnixMilli()}
	write := finalWrite(job, final)
	write.OnCommitted = func(uint64) {
		l.deps.Log.Debug("job done", "job", id)
		l.removeJob(job, time.Now())
		l.upstreamEnded(id, final, time.Now())
	}
	// The user's cancellation was written first.
	write.OnConflict = func() { l.removeJob(job, time.Now()) }
	write.OnRetry = func() {
		job.finalizing = false
		l.queueCompletionWrite(job)
	}
	return write
}

// queueCancellationWrite queues the write of the final record of a job that is cancelled
// because an upstream job was.
func (l *Leader) queueCancellationWrite(job *jobState) {
	l.commits.queueCancelled(func() wal.JobWrite { return l.cancellationWrite(job) })
}

// cancellationWrite returns the write that replaces a job's open record with its final one. It
// is used for jobs that are cancelled because an upstream job was.
func (l *Leader) cancellationWrite(job *jobState) wal.JobWrite {
	write := finalWrite(job, jobs.FinalRecord{Status: jobs.StatusCancelled})
	write.OnRetry = func() { l.queueCancellationWrite(job) }
	return write
}

// finalWrite returns the write that replaces a job's open record with its final one, on the
// condition that the open record still exists.
func finalWrite(job *jobState, final jobs.FinalRecord) wal.JobWrite {
	id := job.spec.ID
	value, _ := json.Marshal(final) // can't fail: the record has only plain fields
	return wal.JobWrite{
		Conditions: []statestore.Condition{{Key: jobs.OpenPrefix + id, Revision: job.revision}},
		Writes:     []statestore.Write{{Delete: jobs.OpenPrefix + id}, {Put: jobs.FinalPrefix + id, Value: value}},
	}
}
