package leader

import (
	"context"
	"encoding/json"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// requestFinalRecord has a job's final record read if others wait for it.
func (l *Leader) requestFinalRecord(name string) {
	if len(l.dependencies.downstreams[name]) > 0 {
		l.dependencies.finalsWanted[name] = true
	}
}

// readFinalRecords reads what decides over the jobs that wait, some at a time.
func (l *Leader) readFinalRecords(now time.Time) {
	tracker := &l.dependencies
	if len(tracker.finalsWanted) == 0 && len(tracker.unlinked) == 0 || now.Before(tracker.retryAt) {
		return
	}
	for name := range tracker.finalsWanted {
		if len(tracker.reading) >= constants.MaxFinalReads {
			break
		}
		if tracker.reading[name] {
			continue
		}
		if l.jobs.get(name) != nil || len(tracker.downstreams[name]) == 0 {
			delete(tracker.finalsWanted, name) // it is open after all, or nobody waits
			continue
		}
		tracker.reading[name] = true
		l.calls.queue(func(ctx context.Context) func() {
			row, found, err := l.deps.Store.Get(ctx, statestore.ClassRecord, jobs.FinalPrefix+name)
			return func() {
				delete(tracker.reading, name)
				var final jobs.FinalRecord
				if err == nil && found {
					err = json.Unmarshal(row.Value, &final)
				}
				if err != nil || !found {
					// Not readable now; or not final: then the watch brings it.
					tracker.retryAt = time.Now().Add(constants.FinalReadRetry)
					return
				}
				l.upstreamEnded(name, final, time.Now())
				l.readFinalRecords(time.Now())
			}
		})
	}
	for job, dependencies := range tracker.unlinked {
		name := job.spec.ID
		if job.removed {
			delete(tracker.unlinked, job)
			continue
		}
		if len(tracker.reading) >= constants.MaxFinalReads || tracker.reading["list of "+name] {
			continue
		}
		tracker.reading["list of "+name] = true
		l.calls.queue(func(ctx context.Context) func() {
			names, err := dependencies.Load(ctx, l.deps.Store, statestore.ClassRecord, name)
			return func() {
				delete(tracker.reading, "list of "+name)
				if err != nil {
					l.deps.Log.Info("a list of jobs can't be read", "id", name, "err", err)
					tracker.retryAt = time.Now().Add(constants.FinalReadRetry)
					return
				}
				if _, still := tracker.unlinked[job]; still {
					delete(tracker.unlinked, job)
					l.linkUpstreams(job, names)
					l.readFinalRecords(time.Now())
				}
			}
		})
	}
}

// cancelledJobWrite writes the final record of a job that is cancelled with one before it.
func (l *Leader) cancelledJobWrite(job *jobState) wal.JobWrite {
	name := job.spec.ID
	value, _ := json.Marshal(jobs.FinalRecord{Status: jobs.StatusCancelled}) // plain fields always encode
	return wal.JobWrite{
		Conditions: []statestore.Condition{{Key: jobs.OpenPrefix + name, Revision: job.revision}},
		Writes:     []statestore.Write{{Delete: jobs.OpenPrefix + name}, {Put: jobs.FinalPrefix + name, Value: value}},
		Retry:      func() { l.recordCancellation(job) },
	}
}
