package leader

import (
	"slices"
	"sort"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
)

// startTargets are the latest starts at which a job still meets its users' aims, of
// whichever kind: by a time, or by its due time and some times that. A class
// without aims goes by the job's own due time. The image may have to be fetched
// first. They count from when the job could start; its due time counts from its
// submission, and it has waited for so long.
func (l *Leader) startTargets(spec *jobs.Spec, waited time.Duration) (out []time.Duration) {
	fetch := 0.0
	if catalog := l.deps.Catalog(); catalog != nil {
		for _, machineType := range catalog.MachineTypes {
			if machineType.FetchGBPerS > 0 {
				fetch = max(fetch, spec.ImageGB/machineType.FetchGBPerS)
			}
		}
	}
	for _, objective := range l.deps.Settings.Params.SLOs {
		if objective.Class != spec.Class {
			continue
		}
		switch objective.Kind {
		case config.SLOWait:
			out = append(out, config.Seconds(objective.WithinS-fetch))
		case config.SLOCompletion:
			out = append(out, config.Seconds(objective.WithinS-spec.ExpectedS-fetch))
		case config.SLODeadline:
			if spec.DueS != nil {
				out = append(out, config.Seconds(*spec.DueS*objective.DueFactor()-spec.ExpectedS-fetch)-waited)
			}
		}
	}
	if len(out) == 0 && spec.DueS != nil {
		out = append(out, config.Seconds(*spec.DueS-spec.ExpectedS-fetch)-waited)
	}
	sort.Slice(out, func(i, k int) bool { return out[i] < out[k] })
	return out
}

// latestStart is when a job must start at the latest for itself and those that need it to
// be in time; zero if nothing is due.
func (l *Leader) latestStart(job *jobState) (at time.Time) {
	if job.spec.DueS != nil {
		at = job.acceptedAt.Add(config.Seconds(*job.spec.DueS) - l.expectedRuntime(job))
	}
	if s := job.downstreamDemand.latestStart; !s.IsZero() && (at.IsZero() || s.Before(at)) {
		at = s
	}
	return at
}

// updateTargets sets the latest starts that a job has to meet: its users', and that of those
// that need it.
func (l *Leader) updateTargets(job *jobState) {
	job.view.Targets = l.startTargets(job.spec, job.view.Submitted.Sub(job.acceptedAt))
	if latestStart := job.downstreamDemand.latestStart; !latestStart.IsZero() {
		job.view.Targets = append(job.view.Targets, latestStart.Sub(job.view.Submitted))
		slices.Sort(job.view.Targets)
	}
	job.stale = true
	l.passDueNow = true
}
