package leader

import (
	"encoding/json"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// requestFinalRecord has a job's final record read if others wait for it.
func (l *Leader) requestFinalRecord(name string) {
	if len(l.dependencies.after[name]) > 0 {
		l.dependencies.wanted[name] = true
	}
}

// readFinalRecords reads what decides over the jobs that wait, some at a time.
func (l *Leader) readFinalRecords(now time.Time) {
	w := &l.dependencies
	if len(w.wanted) == 0 && len(w.unnamed) == 0 || now.Before(w.retryAt) {
		return
	}
	for name := range w.wanted {
		if len(w.asking) >= constants.MaxFinalReads {
			break
		}
		if w.asking[name] {
			continue
		}
		if l.jobs[name] != nil || len(w.after[name]) == 0 {
			delete(w.wanted, name) // it is open after all, or nobody waits
			continue
		}
		w.asking[name] = true
		l.background.Go(func() error {
			row, found, err := l.deps.Store.Get(l.ctx, statestore.ClassRecord, jobs.FinalPrefix+name)
			l.post(l.ctx, func() {
				delete(w.asking, name)
				var f jobs.FinalRecord
				if err == nil && found {
					err = json.Unmarshal(row.Value, &f)
				}
				if err != nil || !found {
					// Not readable now; or not final: then the watch brings it.
					w.retryAt = time.Now().Add(constants.FinalReadRetry)
					return
				}
				l.upstreamEnded(name, f, time.Now())
				l.readFinalRecords(time.Now())
			})
			return nil
		})
	}
	for j, needs := range w.unnamed {
		name := j.spec.ID
		if j.removed {
			delete(w.unnamed, j)
			continue
		}
		if len(w.asking) >= constants.MaxFinalReads || w.asking["list of "+name] {
			continue
		}
		w.asking["list of "+name] = true
		l.background.Go(func() error {
			names, err := needs.Load(l.ctx, l.deps.Store, statestore.ClassRecord, name)
			l.post(l.ctx, func() {
				delete(w.asking, "list of "+name)
				if err != nil {
					l.deps.Log.Info("a list of jobs can't be read", "id", name, "err", err)
					w.retryAt = time.Now().Add(constants.FinalReadRetry)
					return
				}
				if _, still := w.unnamed[j]; still {
					delete(w.unnamed, j)
					l.linkUpstreams(j, names)
					l.readFinalRecords(time.Now())
				}
			})
			return nil
		})
	}
}

// cancelledExtra writes the final record of a job that is cancelled with one before it.
func (l *Leader) cancelledExtra(j *jobState) wal.JobWrite {
	name := j.spec.ID
	v, _ := json.Marshal(jobs.FinalRecord{Status: jobs.StatusCancelled}) // plain fields always encode
	return wal.JobWrite{
		Conditions: []statestore.Condition{{Key: jobs.OpenPrefix + name, Revision: j.revision}},
		Writes:     []statestore.Write{{Delete: jobs.OpenPrefix + name}, {Put: jobs.FinalPrefix + name, Value: v}},
		Retry:      func() { l.commits.cancelled = append(l.commits.cancelled, j) },
	}
}
