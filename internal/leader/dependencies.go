package leader

import (
	"encoding/json"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// Jobs that wait for others. Such a job is shown to nobody, neither placement nor
// the market, until each job that it names is done by its final record: that all
// its tasks are done in the log is too early, as its user's cancellation can still
// win that key. Final records never change, so reading one decides for good; while
// it can't be read the job waits on.

// dependencyTracker is what they wait for.
type dependencyTracker struct {
	// after are the jobs that wait for one, by its name.
	after map[string][]*jobState
	// wanted are the names whose final record is to be read, asking those whose
	// reading is under way.
	wanted map[string]bool
	asking map[string]bool
	// unnamed are the jobs whose list of names is to be read.
	unnamed map[*jobState]jobs.Dependencies
	retryAt time.Time
	// fed are the jobs that were shown as feeding ones with room held for them.
	fed []*jobState
}

func (w *dependencyTracker) init() {
	w.after = make(map[string][]*jobState)
	w.wanted = make(map[string]bool)
	w.asking = make(map[string]bool)
	w.unnamed = make(map[*jobState]jobs.Dependencies)
}

// blockedByUpstream tells whether a job before this one is not known to be done.
func (j *jobState) blockedByUpstream() bool { return j.upstreamsUnknown || len(j.pendingUpstreams) > 0 }

// addDependencies takes in what a job waits for.
func (l *Leader) addDependencies(j *jobState, needs jobs.Dependencies) {
	j.upstreamsUnknown, j.hasDependencies = true, true
	if needs.Split != nil || !l.loaded {
		// Not all names are known, or not all open jobs.
		l.dependencies.unnamed[j] = needs
		return
	}
	l.linkUpstreams(j, needs.DependsOn)
}

// linkLoadedJobs links the jobs that were read at the takeover, once all are known.
func (l *Leader) linkLoadedJobs(now time.Time) {
	for j, needs := range l.dependencies.unnamed {
		if needs.Split == nil {
			delete(l.dependencies.unnamed, j)
			l.linkUpstreams(j, needs.DependsOn)
		}
	}
	l.readFinalRecords(now)
}

// linkUpstreams has a job wait for the jobs that are named.
func (l *Leader) linkUpstreams(j *jobState, names []string) {
	j.upstreamsUnknown = false
	j.pendingUpstreams = make(map[string]bool, len(names))
	for _, name := range names {
		if j.pendingUpstreams[name] {
			continue
		}
		j.pendingUpstreams[name] = true
		l.dependencies.after[name] = append(l.dependencies.after[name], j)
		if l.jobs[name] == nil {
			l.dependencies.wanted[name] = true // not open: it must be final
		}
	}
	l.propagateDemand(names)
}

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

// upstreamEnded takes in how a job ended, by its final record: those that wait for it have one
// less to wait for, or are cancelled with it, and so are those that wait for them.
// No call goes deeper than this, however long the chain.
func (l *Leader) upstreamEnded(name string, f jobs.FinalRecord, now time.Time) {
	w := &l.dependencies
	type end struct {
		name string
		f    jobs.FinalRecord
	}
	for queue := []end{{name, f}}; len(queue) > 0; queue = queue[1:] {
		e := queue[0]
		after := w.after[e.name]
		delete(w.after, e.name)
		delete(w.wanted, e.name)
		for _, j := range after {
			if j.removed {
				continue
			}
			if e.f.Status != jobs.StatusDone {
				l.deps.Log.Debug("job cancelled with one before it", "id", j.spec.ID, "before", e.name)
				l.removeJob(j, now)
				l.commits.cancelled = append(l.commits.cancelled, j)
				queue = append(queue, end{j.spec.ID, jobs.FinalRecord{Status: jobs.StatusCancelled}})
				continue
			}
			delete(j.pendingUpstreams, e.name)
			// By an earlier leader's clock, which may be ahead of ours: it has
			// happened all the same, and long after the submission for all we know.
			if at := time.UnixMilli(e.f.FinishedAtMS); e.f.FinishedAtMS > 0 && at.After(j.view.Submitted) {
				j.view.Submitted = at
				if at.After(now) {
					j.view.Submitted = now
				}
			}
			if !j.blockedByUpstream() {
				l.becomeStartable(j, now)
			}
		}
	}
}

// becomeStartable is called when all jobs before this one are done. Its times count from
// when the last was, by its record; its due time from its submission.
func (l *Leader) becomeStartable(j *jobState, now time.Time) {
	l.updateTargets(j)
	j.servedAt = now
	l.noteArrival(j, now)
	l.deps.Log.Debug("nothing is left to wait for", "id", j.spec.ID, "waited_s", now.Sub(j.acceptedAt).Seconds())
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
