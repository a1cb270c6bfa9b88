package leader

import (
	"time"

	"thornnotch/internal/jobs"
)

// A job with dependencies is hidden from placement and autoscaling until the final record of
// each of its upstream jobs says that the upstream job is done. It is not enough that the log
// records all tasks of the upstream job as done, because its user's cancellation can still win
// the race to write the final record. Final records never change, so each has to be read only
// once. While a final record can't be read, the job keeps waiting.

// addDependencies registers the dependencies of a new job.
func (l *Leader) addDependencies(job *jobState, dependencies jobs.Dependencies) {
	job.upstreams.unlinked, job.upstreams.declared = true, true
	if dependencies.Split != nil || !l.failover.recordsLoaded() {
		// Some names have not been read yet, or not all open jobs are loaded yet.
		l.dependencies.addUnlinked(job, dependencies)
		return
	}
	l.linkUpstreams(job, dependencies.DependsOn)
}

// linkLoadedJobs links the jobs that were loaded during the failover, once all open jobs are
// known.
func (l *Leader) linkLoadedJobs(now time.Time) {
	for job, names := range l.dependencies.takeResolved() {
		l.linkUpstreams(job, names)
	}
	l.readFinalRecords(now)
}

// linkUpstreams makes a job wait for the named jobs.
func (l *Leader) linkUpstreams(job *jobState, names []string) {
	for _, name := range job.upstreams.waitFor(names) {
		l.dependencies.addDownstream(name, job)
		if l.jobs.get(name) == nil {
			l.dependencies.requestFinal(name) // not open, so it must have a final record
		}
	}
	l.propagateDemand(names)
}

// upstreamEnded handles the end of a job according to its final record. If the job is done,
// each of its downstream jobs waits for one job fewer. Otherwise they are cancelled, and so are
// all jobs downstream of them. It uses a queue instead of recursion, so long chains can't
// exhaust the stack.
func (l *Leader) upstreamEnded(id string, final jobs.FinalRecord, now time.Time) {
	type endedUpstream struct {
		id    string
		final jobs.FinalRecord
	}
	for queue := []endedUpstream{{id, final}}; len(queue) > 0; queue = queue[1:] {
		upstream := queue[0]
		for _, job := range l.dependencies.takeDownstreams(upstream.id) {
			switch {
			case job.removed:
			case upstream.final.Status == jobs.StatusDone:
				l.upstreamDone(job, upstream.id, upstream.final, now)
			default:
				l.cancelWithUpstream(job, upstream.id, now)
				queue = append(queue, endedUpstream{job.spec.ID, jobs.FinalRecord{Status: jobs.StatusCancelled}})
			}
		}
	}
}

// cancelWithUpstream cancels a job because one of its upstream jobs will never be done.
func (l *Leader) cancelWithUpstream(job *jobState, upstream string, now time.Time) {
	l.deps.Log.Debug("job cancelled with upstream", "job", job.spec.ID, "upstream", upstream)
	l.removeJob(job, now)
	l.queueCancellationWrite(job)
}

// upstreamDone handles the completion of one of a job's upstream jobs. The job's wait counts
// from the recorded end of its last upstream job; its deadline still counts from its
// submission.
func (l *Leader) upstreamDone(job *jobState, upstream string, final jobs.FinalRecord, now time.Time) {
	job.upstreams.markDone(upstream)
	finishedAt := time.UnixMilli(final.FinishedAtMS)
	if final.FinishedAtMS > 0 && finishedAt.After(job.view.Submitted) {
		// The time may be from the clock of an earlier leader, which may be ahead of this
		// leader's. The upstream job has ended by now in any case, so now is the latest
		// possible time.
		if finishedAt.After(now) {
			finishedAt = now
		}
		job.view.Submitted = finishedAt
	}
	if !job.upstreams.blocked() {
		l.dependenciesSatisfied(job, now)
	}
}

// dependenciesSatisfied makes a job eligible to start once all its upstream jobs are done.
func (l *Leader) dependenciesSatisfied(job *jobState, now time.Time) {
	l.updateTargets(job)
	job.lastPlacedAt = now
	l.recordArrival(job, now)
	l.deps.Log.Debug("dependencies satisfied", "job", job.spec.ID, "waited_s", now.Sub(job.acceptedAt).Seconds())
}
