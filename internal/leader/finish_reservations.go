package leader

import (
	"time"

	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
	"thornnotch/internal/workers"
)

// reserveFreedResources applies the reservation rule to the resources that a finished task
// frees.
func (l *Leader) reserveFreedResources(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	finish := reservations.FinishedTask{
		Job: job.spec.ID, Tasks: job.spec.Tasks, UpstreamStartedAt: job.startedAt, Machine: machine.worker.Name, Downstreams: l.downstreams(job), Now: now,
		Fits: func(downstream reservations.Downstream) bool {
			return machine.schedulable(now) && l.mayReserve(machine, downstream)
		},
	}
	if finish.UpstreamStartedAt.IsZero() {
		finish.UpstreamStartedAt = attempt.PlacedAt
	}
	if !attempt.RunningSince.IsZero() {
		finish.Runtime = now.Sub(attempt.RunningSince)
	}
	if l.reservations.TaskFinished(finish) {
		l.metadataChanged(machine, now)
		return
	}
	l.offerFreedResources(machine, now)
}

// offerFreedResources offers resources freed on a machine to downstream jobs that have more tasks
// than their upstream job and therefore pre-reserve slots that other jobs release.
func (l *Leader) offerFreedResources(machine *machineState, now time.Time) {
	if !machine.schedulable(now) {
		return
	}
	fits := func(downstream reservations.Downstream) bool { return l.mayReserve(machine, downstream) }
	if l.reservations.OfferFreedSlot(machine.worker.Name, fits, now) {
		l.metadataChanged(machine, now)
	}
}

// mayReserve reports whether a machine may run a task of the downstream job and has enough
// free resources for it.
func (l *Leader) mayReserve(machine *machineState, downstream reservations.Downstream) bool {
	job := l.jobs.get(downstream.Job)
	return job != nil && placement.Allowed(&job.view, l.placementMachine(machine)) && l.freeResources(machine).Covers(downstream.TaskResources)
}

// downstreams returns the jobs that follow a job in its pipeline and have not started: the
// jobs that depend on it, or, where no dependencies are declared, the next job of its team and
// class if the operators enabled reservations in submission order.
func (l *Leader) downstreams(upstream *jobState) []reservations.Downstream {
	if upstream.upstreams.declared || len(l.dependencies.downstreamsOf(upstream.spec.ID)) > 0 {
		return l.dependentDownstreams(upstream)
	}
	if !l.deps.Operator.Reservations.SubmissionOrder {
		return nil
	}
	next := l.jobs.nextInPipeline(upstream)
	if next == nil {
		return nil
	}
	return []reservations.Downstream{newDownstream(next, next.view.Pipeline())}
}

// newDownstream returns a waiting job as the reservation rule sees it; its slots are reserved
// for the given pipeline.
func newDownstream(job *jobState, pipeline placement.Pipeline) reservations.Downstream {
	return reservations.Downstream{
		Pipeline: pipeline, Job: job.spec.ID, Tasks: job.spec.Tasks,
		Priority: job.view.Priority, TaskResources: placement.TaskResources(job.spec),
	}
}

// hasWaitingTasks reports whether a job has tasks that are neither done nor placed. Only these
// can use the job's reservations.
func (l *Leader) hasWaitingTasks(id string) bool {
	job := l.jobs.get(id)
	return job != nil && len(job.attempts) < job.progress.remaining()
}
