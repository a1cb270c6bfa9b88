package reservations

import (
	"cmp"
	"slices"
	"time"
)

// phase tracks the progress of one upstream job (the current phase in the paper). In its
// comments, m is the number of tasks of the upstream job and n that of the downstream jobs.
type phase struct {
	finishedTasks int
	releasedSlots int // number of slots of finished tasks that were released, if m > n
	// shortestRuntime is the run time of the task that finished first: t_m in the paper.
	shortestRuntime time.Duration
	deadline        time.Time // when the phase's reservations expire
	// slotsToPreReserve is the number of further slots, released by other jobs, that are still
	// to be reserved, if m < n. It is set to n-m once, when the threshold is exceeded.
	slotsToPreReserve int
	thresholdExceeded bool
	downstreams       []Downstream
}

// TaskFinished records the end of a task of an upstream job, reserves or releases its slot and
// reports whether the slot is now reserved (paper, III-B, algorithm 1).
func (m *Manager) TaskFinished(finish FinishedTask) (reserved bool) {
	if !m.options.Enabled {
		return false
	}
	upstream := m.phases[finish.Job]
	if upstream == nil {
		upstream = &phase{shortestRuntime: finish.Runtime}
		m.phases[finish.Job] = upstream
	}
	upstream.finishedTasks++
	upstream.deadline = finish.UpstreamStartedAt.Add(m.options.Deadline(upstream.shortestRuntime, finish.Tasks))
	if len(finish.Downstreams) > 0 {
		upstream.downstreams = finish.Downstreams
		reserved = m.reserveOrRelease(upstream, finish)
		m.startPreReserving(upstream, finish)
	}
	if upstream.finishedTasks >= finish.Tasks && upstream.slotsToPreReserve == 0 {
		delete(m.phases, finish.Job)
	}
	return reserved
}

// reserveOrRelease reserves the slot of a finished task and reports whether it did. If the
// downstream jobs have fewer tasks (m > n), the first m-n slots are released instead.
func (m *Manager) reserveOrRelease(upstream *phase, finish FinishedTask) (reserved bool) {
	surplus := finish.Tasks - finish.downstreamTasks()
	switch {
	case upstream.releasedSlots < surplus:
		upstream.releasedSlots++
		return false
	case upstream.deadline.After(finish.Now):
		return m.reserveFor(upstream, finish.Job, finish.Machine, finish.Tasks, finish.Fits)
	}
	return false
}

// startPreReserving starts the reservation of n-m further slots if the downstream jobs have
// more tasks (m < n) and the phase has just exceeded the threshold.
func (m *Manager) startPreReserving(upstream *phase, finish FinishedTask) {
	missing := finish.downstreamTasks() - finish.Tasks
	if missing > 0 && !upstream.thresholdExceeded && float64(upstream.finishedTasks) > m.options.Threshold*float64(finish.Tasks) {
		upstream.thresholdExceeded, upstream.slotsToPreReserve = true, missing
	}
}

// downstreamTasks returns the total number of tasks of all downstream jobs: n in the paper.
func (f FinishedTask) downstreamTasks() int {
	n := 0
	for _, downstream := range f.Downstreams {
		n += downstream.tasksOrDefault(f.Tasks)
	}
	return n
}

// reserveFor reserves a slot for the first downstream job of the phase for which fits returns
// true and that has fewer reservations than tasks. It reports whether there was one. A
// downstream job whose number of tasks is unknown is assumed to have upstreamTasks tasks.
//
// Several upstream jobs may finish while the same downstream job waits. More reservations than
// tasks would leave slots idle and use up the team's limit: a gang of 24 tasks once had
// reservations on 237 machines, which kept it from starting.
func (m *Manager) reserveFor(upstream *phase, upstreamJob, machine string, upstreamTasks int, fits func(Downstream) bool) bool {
	for _, downstream := range upstream.downstreams {
		if m.reservedFor[downstream.Job] < downstream.tasksOrDefault(upstreamTasks) && fits(downstream) {
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

// OfferFreedSlot offers a slot that another job has released to the phases that pre-reserve
// (m < n), highest priority first, and reports whether it is now reserved. fits reports
// whether a task of the downstream job can use the slot.
func (m *Manager) OfferFreedSlot(machine string, fits func(Downstream) bool, now time.Time) bool {
	for _, job := range m.preReservingJobs(now) {
		upstream := m.phases[job]
		// With 0 upstream tasks, no slot is reserved for a downstream job whose number of tasks
		// is unknown: its n is taken as m, and slots are pre-reserved only if m < n.
		if m.reserveFor(upstream, job, machine, 0, fits) {
			upstream.slotsToPreReserve--
			return true
		}
	}
	return false
}

// preReservingJobs returns the upstream jobs whose phases pre-reserve, ordered by the priority
// of their first downstream job, highest first. Phases past their deadline stop pre-reserving.
func (m *Manager) preReservingJobs(now time.Time) []string {
	var jobs []string
	for job, upstream := range m.phases {
		if upstream.slotsToPreReserve == 0 {
			continue
		}
		if !upstream.deadline.After(now) {
			upstream.slotsToPreReserve = 0
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
