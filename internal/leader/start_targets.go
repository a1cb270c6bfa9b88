package leader

import (
	"slices"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
)

// startTargets returns, in ascending order, the latest starts at which a job still meets the
// service-level objectives of its class. They are relative to the time when the job became
// eligible to start, and leave time to fetch its image. A wait or completion objective is a
// fixed time; a deadline objective is a multiple of the job's deadline, which counts from
// submission, so the time already waited is subtracted. Without any objective the deadline
// itself is the target.
func (l *Leader) startTargets(spec *jobs.Spec, waited time.Duration) (targets []time.Duration) {
	fetchS := l.longestFetchS(spec)
	for _, objective := range l.deps.Settings.Params.SLOs {
		if objective.Class != spec.Class {
			continue
		}
		switch objective.Kind {
		case config.SLOWait:
			targets = append(targets, config.Seconds(objective.WithinS-fetchS))
		case config.SLOCompletion:
			targets = append(targets, config.Seconds(objective.WithinS-spec.ExpectedS-fetchS))
		case config.SLODeadline:
			if spec.DeadlineS != nil {
				targets = append(targets, config.Seconds(*spec.DeadlineS*objective.DeadlineFactor()-spec.ExpectedS-fetchS)-waited)
			}
		}
	}
	if len(targets) == 0 && spec.DeadlineS != nil {
		targets = append(targets, config.Seconds(*spec.DeadlineS-spec.ExpectedS-fetchS)-waited)
	}
	slices.Sort(targets)
	return targets
}

// longestFetchS returns the time to fetch a job's image on the machine type with the lowest
// fetch rate, in seconds, or 0 if no catalog is loaded.
func (l *Leader) longestFetchS(spec *jobs.Spec) float64 {
	longest := 0.0
	if catalog := l.deps.Catalog(); catalog != nil {
		for _, machineType := range catalog.MachineTypes {
			if machineType.FetchGBPerS > 0 {
				longest = max(longest, spec.ImageGB/machineType.FetchGBPerS)
			}
		}
	}
	return longest
}

// latestStart returns the latest time at which a job can start so that it and the jobs that
// depend on it finish by their deadlines. It is zero if none of them has a deadline.
func (l *Leader) latestStart(job *jobState) (at time.Time) {
	if job.spec.DeadlineS != nil {
		at = job.acceptedAt.Add(config.Seconds(*job.spec.DeadlineS) - l.classes.runtimeRatios.expectedRuntime(job.spec))
	}
	return earlier(at, job.downstreamDemand.latestStart)
}

// earlier returns the earlier of two times, ignoring zero times.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// updateTargets recomputes the job's start targets from its objectives and from the latest
// start that its downstream jobs require.
func (l *Leader) updateTargets(job *jobState) {
	job.view.Targets = l.startTargets(job.spec, job.view.Submitted.Sub(job.acceptedAt))
	if latestStart := job.downstreamDemand.latestStart; !latestStart.IsZero() {
		job.view.Targets = append(job.view.Targets, latestStart.Sub(job.view.Submitted))
		slices.Sort(job.view.Targets)
	}
	job.markStale()
	l.passes.request()
}
