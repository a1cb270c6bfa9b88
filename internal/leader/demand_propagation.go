package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// Users set a deadline and a priority only on the last job of a chain. Each job upstream of it
// inherits from all jobs that depend on it, directly or indirectly: the highest priority, and
// the latest start that still lets all of them finish by their deadlines. A job's inherited
// values change only when its downstream jobs change.

// demand is what the downstream jobs of a job require of it.
type demand struct {
	priority    int
	latestStart time.Time // zero if no downstream job has a deadline
}

func (d demand) equal(other demand) bool {
	return d.priority == other.priority && d.latestStart.Equal(other.latestStart)
}

// propagateDemand recomputes the downstream demand of the named jobs and, where it changes, of
// the jobs upstream of them.
func (l *Leader) propagateDemand(names []string) {
	for queue := names; len(queue) > 0; queue = queue[1:] {
		upstream := l.jobs.get(queue[0])
		if upstream == nil {
			continue
		}
		combined := l.computeDemand(upstream)
		if combined.equal(upstream.downstreamDemand) {
			continue
		}
		upstream.downstreamDemand = combined
		upstream.view.Priority = max(jobs.Priority(upstream.spec.PriorityClass), combined.priority)
		l.updateTargets(upstream)
		for name := range upstream.upstreams.pending {
			queue = append(queue, name)
		}
	}
}

// computeDemand returns the combined demand of the jobs that depend on the given one.
func (l *Leader) computeDemand(upstream *jobState) (combined demand) {
	for _, downstream := range l.dependencies.downstreamsOf(upstream.spec.ID) {
		if downstream.removed {
			continue
		}
		combined.priority = max(combined.priority, downstream.view.Priority)
		if latest := l.latestStart(downstream); !latest.IsZero() {
			latest = latest.Add(-l.classes.runtimeRatios.expectedRuntime(upstream.spec) - constants.DownstreamStartDelay)
			combined.latestStart = earlier(combined.latestStart, latest)
		}
	}
	return combined
}
