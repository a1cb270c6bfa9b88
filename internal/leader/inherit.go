package leader

import (
	"slices"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// Users set the due time and the priority that they care about on the last job of a
// chain only. The jobs before it inherit them, through all that need them: the
// highest priority, and the latest start that still lets the rest of the chain end
// in time. What a job inherits changes only with those that wait for it.

// demand is what the jobs that need a job ask of it.
type demand struct {
	priority int
	start    time.Time // the latest; zero if nothing is due
}

// expectedRuntime is how long a job's tasks are expected to run: as its owner says, by how
// the class has kept to that lately.
func (l *Leader) expectedRuntime(j *jobState) time.Duration {
	ratio := 1.0
	if r, ok := l.runtimeRatios[j.spec.Class]; ok {
		ratio = min(max(r, 1/constants.MaxRuntimeRatio), constants.MaxRuntimeRatio)
	}
	return config.Seconds(j.spec.ExpectedS * ratio)
}

// noteRuntime notes how long a task ran against what its owner expected.
func (l *Leader) noteRuntime(j *jobState, ran time.Duration) {
	if j.spec.ExpectedS <= 0 {
		return
	}
	ratio := ran.Seconds() / j.spec.ExpectedS
	was, ok := l.runtimeRatios[j.spec.Class]
	if !ok {
		was = ratio
	}
	l.runtimeRatios[j.spec.Class] = was + (ratio-was)*constants.RuntimeRatioWeight
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

// propagateDemand reckons anew what the jobs of these names are needed for, and those before
// them as far as that changes anything.
func (l *Leader) propagateDemand(names []string) {
	for queue := names; len(queue) > 0; queue = queue[1:] {
		p := l.jobs[queue[0]]
		if p == nil {
			continue
		}
		var d demand
		for _, c := range l.dependencies.after[p.spec.ID] {
			if c.removed {
				continue
			}
			d.priority = max(d.priority, c.view.Priority)
			if at := l.latestStart(c); !at.IsZero() {
				if at = at.Add(-l.expectedRuntime(p) - constants.ChainStep); d.start.IsZero() || at.Before(d.start) {
					d.start = at
				}
			}
		}
		if d.priority == p.downstreamDemand.priority && d.start.Equal(p.downstreamDemand.start) {
			continue
		}
		p.downstreamDemand = d
		p.view.Priority = max(jobs.Priority(p.spec.PriorityClass), d.priority)
		l.updateTargets(p)
		for name := range p.pendingUpstreams {
			queue = append(queue, name)
		}
	}
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
