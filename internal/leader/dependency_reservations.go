package leader

import (
	"cmp"
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
)

// For jobs with declared dependencies, the dependencies define the pipelines of the
// reservation rule: a job is downstream of the jobs that it depends on, and these are upstream
// of it. The jobs of a pipeline may differ in team and size, and a job may have several
// upstreams and downstreams. A reservation is made for one downstream job and charged to its
// team; all direct and indirect upstreams of that job may use it too.

// dependentDownstreams returns the jobs that depend on upstream and have not started, ordered by
// priority, then latest start, then submission. If there are more than MaxDownstreams, it returns
// only those that were linked to upstream first.
func (l *Leader) dependentDownstreams(upstream *jobState) (downstreams []reservations.Downstream) {
	var waiting []*jobState
	for _, job := range l.dependencies.downstreamsOf(upstream.spec.ID) {
		if len(waiting) == constants.MaxDownstreams {
			break
		}
		if !job.removed && !job.placed {
			waiting = append(waiting, job)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *jobState) int {
		return cmp.Or(
			cmp.Compare(b.view.Priority, a.view.Priority),
			compareLatestStarts(l.latestStart(a), l.latestStart(b)),
			cmp.Compare(a.revision, b.revision),
		)
	})
	for _, job := range waiting {
		downstreams = append(downstreams, newDownstream(job, job.view.DependencyPipeline()))
	}
	return downstreams
}

// compareLatestStarts compares two latest starts. A zero time, which means no latest start,
// sorts last.
func compareLatestStarts(a, b time.Time) int {
	switch {
	case a.IsZero() == b.IsZero():
		return a.Compare(b)
	case b.IsZero():
		return -1
	}
	return 1
}

// markDependencyReservations marks in the snapshot the reservations whose downstream job is
// still blocked, and marks the jobs upstream of each job that has reservations.
func (l *Leader) markDependencyReservations(snapshot *placement.Snapshot) {
	l.dependencies.clearReservedUpstreams()
	marked := make(map[string]bool)
	for _, machine := range snapshot.Machines {
		for i, slot := range machine.Reserved {
			id := slot.Pipeline.Downstream
			if id == "" {
				continue
			}
			downstream := l.jobs.get(id)
			machine.Reserved[i].Blocked = downstream != nil && downstream.upstreams.blocked()
			if downstream != nil && !marked[id] {
				marked[id] = true
				l.markReservedUpstreams(downstream)
			}
		}
	}
}

// markReservedUpstreams marks all open jobs that downstream depends on, directly or
// indirectly, as upstreams of a job with reservations.
func (l *Leader) markReservedUpstreams(downstream *jobState) {
	for queue := []*jobState{downstream}; len(queue) > 0; queue = queue[1:] {
		for id := range queue[0].upstreams.pending {
			upstream := l.jobs.get(id)
			if upstream != nil && l.dependencies.markReservedUpstream(upstream, downstream.spec.ID) {
				queue = append(queue, upstream)
			}
		}
	}
}
