package leader

import (
	"time"

	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
	"thornnotch/internal/workers"
)

// reserveFreed applies the reservation rule to the room that a finished task leaves.
func (l *Leader) reserveFreed(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	finish := reservations.TaskFinish{
		Job: job.spec.ID, Tasks: job.spec.Tasks, UpstreamStartedAt: job.started, Machine: machine.agent.Name, Downstreams: l.downstreams(job), Now: now,
		Fits: func(downstream reservations.Downstream) bool {
			return machine.schedulable(now) && l.canHold(machine, downstream)
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

// offerFreedResources gives freed room to stages that hold room from elsewhere.
func (l *Leader) offerFreedResources(machine *machineState, now time.Time) {
	if !machine.schedulable(now) {
		return
	}
	if l.reservations.OfferFreed(machine.agent.Name, func(downstream reservations.Downstream) bool { return l.canHold(machine, downstream) }, now) {
		l.metadataChanged(machine, now)
	}
}

// canHold tells whether a machine can and may take a task of a job.
func (l *Leader) canHold(machine *machineState, downstream reservations.Downstream) bool {
	job := l.jobs.get(downstream.Job)
	return job != nil && placement.Allowed(&job.view, l.placementMachine(machine)) && l.freeResources(machine).Fits(downstream.TaskResources)
}

// downstreams are the jobs that come after one in its pipeline and wait to start:
// those that name it, or else the next one of its owner and workload, if the operators
// want holds for these.
func (l *Leader) downstreams(up *jobState) []reservations.Downstream {
	if up.upstreams.declared || len(l.dependencies.downstreams[up.spec.ID]) > 0 {
		return l.downstreamEdges(up)
	}
	if !l.deps.Operator.Holds.SubmissionOrder {
		return nil
	}
	next := l.jobs.nextInPipeline(up)
	if next == nil {
		return nil
	}
	return []reservations.Downstream{newDownstream(next, next.view.Pipeline())}
}

func newDownstream(job *jobState, pipeline placement.Pipeline) reservations.Downstream {
	return reservations.Downstream{Pipeline: pipeline, Job: job.spec.ID, Tasks: job.spec.Tasks, Priority: job.view.Priority, TaskResources: placement.TaskResources(job.spec)}
}

func (l *Leader) stillWaits(name string) bool {
	job := l.jobs.get(name)
	return job != nil && len(job.attempts) < job.progress.remaining()
}
