package leader

import (
	"slices"
	"sort"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
)

// targets are the latest starts at which a job still meets its users' aims, of
// whichever kind: by a time, or by its due time and some times that. A class
// without aims goes by the job's own due time. The image may have to be fetched
// first. They count from when the job could start; its due time counts from its
// submission, and it has waited for so long.
func (l *Leader) targets(spec *jobs.Spec, waited time.Duration) (out []time.Duration) {
	fetch := 0.0
	if cat := l.deps.Catalog(); cat != nil {
		for _, t := range cat.MachineTypes {
			if t.FetchGBPerS > 0 {
				fetch = max(fetch, spec.ImageGB/t.FetchGBPerS)
			}
		}
	}
	for _, o := range l.deps.Settings.Params.SLOs {
		if o.Class != spec.Class {
			continue
		}
		switch o.Kind {
		case config.SLOWait:
			out = append(out, config.Seconds(o.WithinS-fetch))
		case config.SLOCompletion:
			out = append(out, config.Seconds(o.WithinS-spec.ExpectedS-fetch))
		case config.SLODeadline:
			if spec.DueS != nil {
				out = append(out, config.Seconds(*spec.DueS*o.DueFactor()-spec.ExpectedS-fetch)-waited)
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
func (l *Leader) latestStart(j *jobState) (at time.Time) {
	if j.spec.DueS != nil {
		at = j.acceptedAt.Add(config.Seconds(*j.spec.DueS) - l.expectedRuntime(j))
	}
	if s := j.downstreamDemand.start; !s.IsZero() && (at.IsZero() || s.Before(at)) {
		at = s
	}
	return at
}

// updateTargets sets the latest starts that a job has to meet: its users', and that of those
// that need it.
func (l *Leader) updateTargets(j *jobState) {
	j.view.Targets = l.targets(j.spec, j.view.Submitted.Sub(j.acceptedAt))
	if s := j.downstreamDemand.start; !s.IsZero() {
		j.view.Targets = append(j.view.Targets, s.Sub(j.view.Submitted))
		slices.Sort(j.view.Targets)
	}
	j.stale = true
	l.passDueNow = true
}
