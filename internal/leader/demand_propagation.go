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
	priority    int
	latestStart time.Time // the latest; zero if nothing is due
}

// propagateDemand reckons anew what the jobs of these names are needed for, and those before
// them as far as that changes anything.
func (l *Leader) propagateDemand(names []string) {
	for queue := names; len(queue) > 0; queue = queue[1:] {
		upstream := l.jobs.get(queue[0])
		if upstream == nil {
			continue
		}
		var asked demand
		for _, downstream := range l.dependencies.downstreams[upstream.spec.ID] {
			if downstream.removed {
				continue
			}
			asked.priority = max(asked.priority, downstream.view.Priority)
			if latest := l.latestStart(downstream); !latest.IsZero() {
				if latest = latest.Add(-l.expectedRuntime(upstream) - constants.ChainStep); asked.latestStart.IsZero() || latest.Before(asked.latestStart) {
					asked.latestStart = latest
				}
			}
		}
		if asked.priority == upstream.downstreamDemand.priority && asked.latestStart.Equal(upstream.downstreamDemand.latestStart) {
			continue
		}
		upstream.downstreamDemand = asked
		upstream.view.Priority = max(jobs.Priority(upstream.spec.PriorityClass), asked.priority)
		l.updateTargets(upstream)
		for name := range upstream.pendingUpstreams {
			queue = append(queue, name)
		}
	}
}
