package leader

import (
	"time"

	"thornnotch/internal/jobs"
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
