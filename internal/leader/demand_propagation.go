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
	latestStart time.Time // zero if nothing is due
}

func (d demand) equal(other demand) bool {
	return d.priority == other.priority && d.latestStart.Equal(other.latestStart)
}

// propagateDemand computes anew what the jobs of these names are needed for, and those
// before them as far as that changes anything.
func (l *Leader) propagateDemand(names []string) {
	for queue := names; len(queue) > 0; queue = queue[1:] {
		upstream := l.jobs.get(queue[0])
		if upstream == nil {
			continue
		}
		asked := l.demandOn(upstream)
		if asked.equal(upstream.downstreamDemand) {
			continue
		}
		upstream.downstreamDemand = asked
		upstream.view.Priority = max(jobs.Priority(upstream.spec.PriorityClass), asked.priority)
		l.updateTargets(upstream)
		for name := range upstream.upstreams.pending {
			queue = append(queue, name)
		}
	}
}

// demandOn is what the jobs that wait for one ask of it now.
func (l *Leader) demandOn(upstream *jobState) (asked demand) {
	for _, downstream := range l.dependencies.downstreamsOf(upstream.spec.ID) {
		if downstream.removed {
			continue
		}
		asked.priority = max(asked.priority, downstream.view.Priority)
		if latest := l.latestStart(downstream); !latest.IsZero() {
			latest = latest.Add(-l.classes.runtimeRatios.expected(upstream.spec) - constants.ChainStep)
			asked.latestStart = earlier(asked.latestStart, latest)
		}
	}
	return asked
}
