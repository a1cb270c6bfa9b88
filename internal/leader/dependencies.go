package leader

import (
	"time"

	"thornnotch/internal/jobs"
)

// Jobs that depend on others. Such a job is shown to nobody, neither placement nor
// autoscaling, until each job that it names is done by its final record: that all
// its tasks are done in the log is too early, as its user's cancellation can still
// win that key. Final records never change, so reading one decides for good; while
// it can't be read the job waits on.

// addDependencies takes in what a job waits for.
func (l *Leader) addDependencies(job *jobState, dependencies jobs.Dependencies) {
	job.upstreams.unknown, job.upstreams.declared = true, true
	if dependencies.Split != nil || !l.failover.recordsLoaded() {
		// Not all names are known, or not all open jobs.
		l.dependencies.addUnlinked(job, dependencies)
		return
	}
	l.linkUpstreams(job, dependencies.DependsOn)
}

// linkLoadedJobs links the jobs that were read during the failover, once all are known.
func (l *Leader) linkLoadedJobs(now time.Time) {
	for job, names := range l.dependencies.takeListed() {
		l.linkUpstreams(job, names)
	}
	l.readFinalRecords(now)
}

// linkUpstreams has a job wait for the jobs that are named.
func (l *Leader) linkUpstreams(job *jobState, names []string) {
	for _, name := range job.upstreams.waitFor(names) {
		l.dependencies.addDownstream(name, job)
		if l.jobs.get(name) == nil {
			l.dependencies.requestFinal(name) // not open: it must be final
		}
	}
	l.propagateDemand(names)
}

// upstreamEnded takes in how a job ended, by its final record: those that depend on it
// have one less to wait for, or are cancelled with it, and so are those that depend on
// them. No call goes deeper than this, however long the chain.
func (l *Leader) upstreamEnded(id string, final jobs.FinalRecord, now time.Time) {
	type ending struct {
		id    string
		final jobs.FinalRecord
	}
	for queue := []ending{{id, final}}; len(queue) > 0; queue = queue[1:] {
		upstream := queue[0]
		for _, job := range l.dependencies.takeDownstreams(upstream.id) {
			switch {
			case job.removed:
			case upstream.final.Status == jobs.StatusDone:
				l.upstreamDone(job, upstream.id, upstream.final, now)
			default:
				l.cancelWithUpstream(job, upstream.id, now)
				queue = append(queue, ending{job.spec.ID, jobs.FinalRecord{Status: jobs.StatusCancelled}})
			}
		}
	}
}

// cancelWithUpstream cancels a job, as one that it depends on will never be done.
func (l *Leader) cancelWithUpstream(job *jobState, upstream string, now time.Time) {
	l.deps.Log.Debug("job cancelled with upstream", "job", job.spec.ID, "upstream", upstream)
	l.removeJob(job, now)
	l.recordCancellation(job)
}

// upstreamDone is called when a job that this one depends on is done. The times of this
// one count from when the last was, by its record; its due time from its submission.
func (l *Leader) upstreamDone(job *jobState, upstream string, final jobs.FinalRecord, now time.Time) {
	job.upstreams.done(upstream)
	finishedAt := time.UnixMilli(final.FinishedAtMS)
	if final.FinishedAtMS > 0 && finishedAt.After(job.view.Submitted) {
		// By an earlier leader's clock, which may be ahead of ours: it has happened all
		// the same, and long after the submission for all we know.
		if finishedAt.After(now) {
			finishedAt = now
		}
		job.view.Submitted = finishedAt
	}
	if !job.upstreams.blocked() {
		l.becomeStartable(job, now)
	}
}

// becomeStartable is called when all jobs before this one are done.
func (l *Leader) becomeStartable(job *jobState, now time.Time) {
	l.updateTargets(job)
	job.servedAt = now
	l.noteArrival(job, now)
	l.deps.Log.Debug("dependencies satisfied", "job", job.spec.ID, "waited_s", now.Sub(job.acceptedAt).Seconds())
}
