package leader

import (
	"slices"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
)

// startTargets are the latest starts at which a job still meets its users' service-level
// objectives, of whichever kind: by a time, or by its due time and some times that. A
// class without objectives goes by the job's own due time. The image may have to be
// fetched first. They count from when the job could start; its due time counts from its
// submission, and it has waited for so long.
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
			if spec.DueS != nil {
				targets = append(targets, config.Seconds(*spec.DueS*objective.DueFactor()-spec.ExpectedS-fetchS)-waited)
			}
		}
	}
	if len(targets) == 0 && spec.DueS != nil {
		targets = append(targets, config.Seconds(*spec.DueS-spec.ExpectedS-fetchS)-waited)
	}
	slices.Sort(targets)
	return targets
}

// longestFetchS is how long fetching a job's image takes on the slowest type of machine,
// in seconds.
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

// latestStart is when a job must start at the latest for itself and those that need it to
// be in time; zero if nothing is due.
func (l *Leader) latestStart(job *jobState) (at time.Time) {
	if job.spec.DueS != nil {
		at = job.acceptedAt.Add(config.Seconds(*job.spec.DueS) - l.classes.runtimeRatios.expected(job.spec))
	}
	return earlier(at, job.downstreamDemand.latestStart)
}

// earlier is the earlier of two times; zero stands for no time at all.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// updateTargets sets the latest starts that a job has to meet: its users', and that of
// those that need it.
func (l *Leader) updateTargets(job *jobState) {
	job.view.Targets = l.startTargets(job.spec, job.view.Submitted.Sub(job.acceptedAt))
	if latestStart := job.downstreamDemand.latestStart; !latestStart.IsZero() {
		job.view.Targets = append(job.view.Targets, latestStart.Sub(job.view.Submitted))
		slices.Sort(job.view.Targets)
	}
	job.markStale()
	l.passes.request()
}
