package leader

import (
	"cmp"
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
)

// Where users name dependencies, these edges are the pipelines of the reservation rule:
// upstream is the job that is named, downstream the one that waits for it. Their jobs
// may be of several teams and sizes, and a job may have several of either. A
// reservation belongs to the job that it is for, and to its team; the tasks of all
// jobs before that one may use it too, as they are the pipeline's own.

// downstreamEdges are the jobs that name a job and still wait, by priority, then by
// how soon they must start, then in the order that they came.
func (l *Leader) downstreamEdges(upstream *jobState) (edges []reservations.Downstream) {
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
		edges = append(edges, newDownstream(job, job.view.EdgePipeline()))
	}
	return edges
}

// compareLatestStarts orders latest starts; what need not start by any time, a zero one,
// comes last.
func compareLatestStarts(a, b time.Time) int {
	switch {
	case a.IsZero() == b.IsZero():
		return a.Compare(b)
	case b.IsZero():
		return -1
	}
	return 1
}

// addReservationEdges shows placement which reservations are for jobs that may not start
// yet, and which jobs such a job waits for.
func (l *Leader) addReservationEdges(snapshot *placement.Snapshot) {
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

// markReservedUpstreams marks all open jobs before one that has a reservation.
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
