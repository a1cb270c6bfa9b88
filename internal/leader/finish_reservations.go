package leader

import (
	"time"

	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
	"thornnotch/internal/workers"
)

// reserve applies the hold rule to the room that a finished task leaves.
func (l *Leader) reserve(machine *machineState, j *jobState, a *workers.Attempt, now time.Time) {
	f := reservations.TaskFinish{
		Job: j.spec.ID, Tasks: j.spec.Tasks, UpstreamStartedAt: j.started, Machine: machine.agent.Name, Downstreams: l.downstreams(j), Now: now,
		Fits: func(d reservations.Downstream) bool { return machine.schedulable(now) && l.canHold(machine, d) },
	}
	if f.UpstreamStartedAt.IsZero() {
		f.UpstreamStartedAt = a.PlacedAt
	}
	if !a.RunningSince.IsZero() {
		f.Runtime = now.Sub(a.RunningSince)
	}
	if l.reservations.TaskFinished(f) {
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
	if l.reservations.OfferFreed(machine.agent.Name, func(d reservations.Downstream) bool { return l.canHold(machine, d) }, now) {
		l.metadataChanged(machine, now)
	}
}

// canHold tells whether a machine can and may take a task of a job.
func (l *Leader) canHold(machine *machineState, d reservations.Downstream) bool {
	j := l.jobs[d.Job]
	return j != nil && placement.Allowed(&j.view, l.placementMachine(machine)) && l.freeResources(machine).Fits(d.TaskResources)
}

// downstreams are the jobs that come after one in its pipeline and wait to start:
// those that name it, or else the next one of its owner and workload, if the operators
// want holds for these.
func (l *Leader) downstreams(up *jobState) []reservations.Downstream {
	if up.hasDependencies || len(l.dependencies.after[up.spec.ID]) > 0 {
		return l.downstreamEdges(up)
	}
	if !l.deps.Operator.Holds.SubmissionOrder {
		return nil
	}
	next := l.downstream(up)
	if next == nil {
		return nil
	}
	return []reservations.Downstream{heldFor(next, next.view.Pipeline())}
}

func heldFor(j *jobState, p placement.Pipeline) reservations.Downstream {
	return reservations.Downstream{Pipeline: p, Job: j.spec.ID, Tasks: j.spec.Tasks, Priority: j.view.Priority, TaskResources: placement.TaskResources(j.spec)}
}

// downstream is the pipeline's earliest job still waiting to start. A job that waits
// for others has a pipeline of its own.
func (l *Leader) downstream(up *jobState) *jobState {
	p := up.view.Pipeline()
	// Jobs come in the order of their records, but for those that were read
	// at the takeover.
	var best *jobState
	kept := l.pipelines[p][:0]
	for _, j := range l.pipelines[p] {
		if j.removed {
			continue
		}
		kept = append(kept, j)
		if j != up && !j.placed && !j.hasDependencies && (best == nil || j.revision < best.revision) {
			best = j
		}
	}
	l.pipelines[p] = kept
	return best
}

func (l *Leader) stillWaits(name string) bool {
	j := l.jobs[name]
	return j != nil && len(j.attempts) < j.spec.Tasks-j.doneCount
}
