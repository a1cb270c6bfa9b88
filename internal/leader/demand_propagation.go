package leader

import (
	"time"

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
