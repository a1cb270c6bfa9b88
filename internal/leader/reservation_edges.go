package leader

import (
	"cmp"
	"slices"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
)

// Where users name edges with waitsOn, these are the pipelines of the hold rule:
// upstream is the job that is named, downstream the one that waits for it. Their
// jobs may be of several teams and sizes, and a job may have several of either. A
// hold belongs to the job that it is for, and to its team; the tasks of all jobs
// before that one may use it too, as they are the pipeline's own.

// downstreamEdges are the jobs that name a job and still wait, by priority, then by
// how soon they must start, then in the order that they came.
func (l *Leader) downstreamEdges(up *jobState) (out []reservations.Downstream) {
	var jobs []*jobState
	for _, job := range l.dependencies.downstreams[up.spec.ID] {
		if len(jobs) == constants.MaxDownstreams {
			break
		}
		if !job.removed && !job.placed {
			jobs = append(jobs, job)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *jobState) int {
		if c := cmp.Compare(b.view.Priority, a.view.Priority); c != 0 {
			return c
		}
		x, y := l.latestStart(a), l.latestStart(b)
		if x.IsZero() != y.IsZero() {
			if y.IsZero() {
				return -1
			}
			return 1
		}
		if c := x.Compare(y); c != 0 {
			return c
		}
		return cmp.Compare(a.revision, b.revision)
	})
	for _, job := range jobs {
		out = append(out, newDownstream(job, job.view.EdgePipeline()))
	}
	return out
}

// addReservationEdges shows placement which held rooms are for jobs that may not start yet, and
// which jobs such a job waits for.
func (l *Leader) addReservationEdges(w *placement.Snapshot) {
	for _, job := range l.dependencies.reservedUpstreams {
		job.view.ReservedDownstreams = nil
	}
	l.dependencies.reservedUpstreams = l.dependencies.reservedUpstreams[:0]
	walked := make(map[string]bool)
	for _, r := range w.Machines {
		for i, h := range r.Reserved {
			name := h.Pipeline.Downstream
			if name == "" {
				continue
			}
			down := l.jobs.get(name)
			r.Reserved[i].Blocked = down != nil && down.upstreams.blocked()
			if down != nil && !walked[name] {
				walked[name] = true
				l.markReservedUpstreams(down)
			}
		}
	}
}

// markReservedUpstreams marks all open jobs before one that has room held for it.
func (l *Leader) markReservedUpstreams(down *jobState) {
	name := down.spec.ID
	for queue := []*jobState{down}; len(queue) > 0; queue = queue[1:] {
		for before := range queue[0].upstreams.pending {
			job := l.jobs.get(before)
			if job == nil || job.view.ReservedDownstreams[name] {
				continue
			}
			if job.view.ReservedDownstreams == nil {
				job.view.ReservedDownstreams = make(map[string]bool)
				l.dependencies.reservedUpstreams = append(l.dependencies.reservedUpstreams, job)
			}
			job.view.ReservedDownstreams[name] = true
			queue = append(queue, job)
		}
	}
}
