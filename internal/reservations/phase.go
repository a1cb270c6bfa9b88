package reservations

import (
	"cmp"
	"slices"
	"time"
)

// phase follows one upstream job; the paper calls it the current phase.
type phase struct {
	finished int // tasks
	released int // slots of these that were let go, for m > n
	// shortestRuntime is that of the task that finished first: t_m in the paper.
	shortestRuntime time.Duration
	deadline        time.Time
	// preReserve is how many slots, released by other jobs, are still to be reserved, for
	// m < n; it is set once, when the threshold is reached.
	preReserve       int
	thresholdReached bool
	downstreams      []Downstream
}

// TaskFinished takes in the end of a task of an upstream job and reports whether its slot
// is now reserved. It is algorithm 1 of the paper (III-B).
func (m *Manager) TaskFinished(finish TaskFinish) (reserved bool) {
	if !m.options.Enabled {
		return false
	}
	upstream := m.phases[finish.Job]
	if upstream == nil {
		upstream = &phase{shortestRuntime: finish.Runtime}
		m.phases[finish.Job] = upstream
	}
	upstream.finished++
	upstream.deadline = finish.UpstreamStartedAt.Add(m.options.Deadline(upstream.shortestRuntime, finish.Tasks))
	if len(finish.Downstreams) > 0 {
		upstream.downstreams = finish.Downstreams
		reserved = m.reserveOrRelease(upstream, finish)
		m.startPreReserving(upstream, finish)
	}
	if upstream.finished >= finish.Tasks && upstream.preReserve == 0 {
		delete(m.phases, finish.Job)
	}
	return reserved
}

// reserveOrRelease reserves the slot of a finished task, unless fewer tasks follow
// (m > n): then the first m-n slots are let go.
func (m *Manager) reserveOrRelease(upstream *phase, finish TaskFinish) (reserved bool) {
	surplus := finish.Tasks - finish.downstreamTasks()
	switch {
	case upstream.released < surplus:
		upstream.released++
		return false
	case upstream.deadline.After(finish.Now):
		return m.reserveFor(upstream, finish.Job, finish.Machine, finish.Tasks, finish.Fits)
	}
	return false
}

// startPreReserving has n-m further slots reserved once more than the threshold of the
// phase has finished, where more tasks follow (m < n).
func (m *Manager) startPreReserving(upstream *phase, finish TaskFinish) {
	missing := finish.downstreamTasks() - finish.Tasks
	if missing > 0 && !upstream.thresholdReached && float64(upstream.finished) > m.options.Threshold*float64(finish.Tasks) {
		upstream.thresholdReached, upstream.preReserve = true, missing
	}
}

// downstreamTasks is n of the paper: the tasks of all downstream jobs together.
func (f TaskFinish) downstreamTasks() int {
	n := 0
	for _, downstream := range f.Downstreams {
		n += downstream.tasksOr(f.Tasks)
	}
	return n
}

// reserveFor reserves a slot for the first of a phase's downstream jobs that lacks some
// and that fits there.
//
// Several upstream jobs may end while the same one waits. It can use no more than its own
// tasks take; all else would only stand empty and use up the team's limit, as on Peakdale,
// where one gang of 24 had slots on 237 machines and could not start for that.
func (m *Manager) reserveFor(upstream *phase, upstreamJob, machine string, upstreamTasks int, fits func(Downstream) bool) bool {
	for _, downstream := range upstream.downstreams {
		if m.reservedFor[downstream.Job] < downstream.tasksOr(upstreamTasks) && fits(downstream) {
			m.add(Reservation{
				Machine:    machine,
				Pipeline:   downstream.Pipeline,
				Upstream:   upstreamJob,
				Downstream: downstream.Job,
				Priority:   downstream.Priority,
				Resources:  downstream.TaskResources,
				ExpiresAt:  upstream.deadline,
			})
			return true
		}
	}
	return false
}

// OfferFreed offers a slot that another job has released to the phases that pre-reserve
// (m < n), and reports whether it is now reserved; fits tells whether a task of the
// downstream can use it. The highest priority goes first.
func (m *Manager) OfferFreed(machine string, fits func(Downstream) bool, now time.Time) bool {
	for _, job := range m.preReservingJobs(now) {
		upstream := m.phases[job]
		// An unknown n counts as m, and then nothing more is pre-reserved: hence 0.
		if m.reserveFor(upstream, job, machine, 0, fits) {
			upstream.preReserve--
			return true
		}
	}
	return false
}

// preReservingJobs names the upstream jobs that pre-reserve, the one whose first
// downstream has the highest priority first. Those past their deadline stop.
func (m *Manager) preReservingJobs(now time.Time) []string {
	var jobs []string
	for job, upstream := range m.phases {
		if upstream.preReserve == 0 {
			continue
		}
		if !upstream.deadline.After(now) {
			upstream.preReserve = 0
			continue
		}
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(m.phases[b].downstreams[0].Priority, m.phases[a].downstreams[0].Priority),
			cmp.Compare(a, b),
		)
	})
	return jobs
}
