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
	downstreams map[string][]*jobState
	// wanted are the names whose final record is to be read, asking those whose
	// reading is under way.
	finalsWanted map[string]bool
	reading      map[string]bool
	// unnamed are the jobs whose list of names is to be read.
	unlinked map[*jobState]jobs.Dependencies
	retryAt  time.Time
	// fed are the jobs that were shown as feeding ones with room held for them.
	reservedUpstreams []*jobState
}

func (d *dependencyTracker) init() {
	d.downstreams = make(map[string][]*jobState)
	d.finalsWanted = make(map[string]bool)
	d.reading = make(map[string]bool)
	d.unlinked = make(map[*jobState]jobs.Dependencies)
}

// addDependencies takes in what a job waits for.
func (l *Leader) addDependencies(job *jobState, dependencies jobs.Dependencies) {
	job.upstreams.unknown, job.upstreams.declared = true, true
	if dependencies.Split != nil || !l.loaded {
		// Not all names are known, or not all open jobs.
		l.dependencies.unlinked[job] = dependencies
		return
	}
	l.linkUpstreams(job, dependencies.DependsOn)
}

// linkLoadedJobs links the jobs that were read at the takeover, once all are known.
func (l *Leader) linkLoadedJobs(now time.Time) {
	for job, dependencies := range l.dependencies.unlinked {
		if dependencies.Split == nil {
			delete(l.dependencies.unlinked, job)
			l.linkUpstreams(job, dependencies.DependsOn)
		}
	}
	l.readFinalRecords(now)
}

// linkUpstreams has a job wait for the jobs that are named.
func (l *Leader) linkUpstreams(job *jobState, upstreams []string) {
	job.upstreams.unknown = false
	job.upstreams.pending = make(map[string]bool, len(upstreams))
	for _, name := range upstreams {
		if job.upstreams.pending[name] {
			continue
		}
		job.upstreams.pending[name] = true
		l.dependencies.downstreams[name] = append(l.dependencies.downstreams[name], job)
		if l.jobs.get(name) == nil {
			l.dependencies.finalsWanted[name] = true // not open: it must be final
		}
	}
	l.propagateDemand(upstreams)
}

// upstreamEnded takes in how a job ended, by its final record: those that wait for it have one
// less to wait for, or are cancelled with it, and so are those that wait for them.
// No call goes deeper than this, however long the chain.
func (l *Leader) upstreamEnded(name string, final jobs.FinalRecord, now time.Time) {
	tracker := &l.dependencies
	type end struct {
		name string
		f    jobs.FinalRecord
	}
	for queue := []end{{name, final}}; len(queue) > 0; queue = queue[1:] {
		ended := queue[0]
		downstreams := tracker.downstreams[ended.name]
		delete(tracker.downstreams, ended.name)
		delete(tracker.finalsWanted, ended.name)
		for _, job := range downstreams {
			if job.removed {
				continue
			}
			if ended.f.Status != jobs.StatusDone {
				l.deps.Log.Debug("job cancelled with one before it", "id", job.spec.ID, "before", ended.name)
				l.removeJob(job, now)
				l.recordCancellation(job)
				queue = append(queue, end{job.spec.ID, jobs.FinalRecord{Status: jobs.StatusCancelled}})
				continue
			}
			delete(job.upstreams.pending, ended.name)
			// By an earlier leader's clock, which may be ahead of ours: it has
			// happened all the same, and long after the submission for all we know.
			if endedAt := time.UnixMilli(ended.f.FinishedAtMS); ended.f.FinishedAtMS > 0 && endedAt.After(job.view.Submitted) {
				job.view.Submitted = endedAt
				if endedAt.After(now) {
					job.view.Submitted = now
				}
			}
			if !job.upstreams.blocked() {
				l.becomeStartable(job, now)
			}
		}
	}
}

// becomeStartable is called when all jobs before this one are done. Its times count from
// when the last was, by its record; its due time from its submission.
func (l *Leader) becomeStartable(job *jobState, now time.Time) {
	l.updateTargets(job)
	job.servedAt = now
	l.noteArrival(job, now)
	l.deps.Log.Debug("nothing is left to wait for", "id", job.spec.ID, "waited_s", now.Sub(job.acceptedAt).Seconds())
}
