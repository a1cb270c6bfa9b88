package leader

import (
	"time"

	"thornnotch/internal/placement"
)

// runSchedulingPass runs placement on the current state and executes its plan.
func (l *Leader) runSchedulingPass(now time.Time) {
	l.passes.begin(now)
	if !l.canRunPass() {
		return
	}
	snapshot := l.placementSnapshot(now)
	plan := placement.Schedule(snapshot)
	l.markPlannedStale(plan)
	l.releaseReservations(plan.Released, now)
	for _, preemption := range plan.Preemptions {
		l.preempt(preemption, now)
	}
	l.startPlannedTasks(plan.Starts, now)
	setMachineClaims(snapshot.Jobs, plan)
	l.logSummary(snapshot, now)
	took := time.Since(now)
	l.passes.finish(took)
	l.counts.Passes++
	l.counts.PassSeconds += took.Seconds()
}

// canRunPass reports whether a pass may run. It may not while decisions can't be committed,
// while the records or the machine catalog are not loaded, or between a stall and the
// verification of the term, when the state may be half a minute out of date.
func (l *Leader) canRunPass() bool {
	return l.failover.recordsLoaded() && l.deps.Catalog() != nil && l.commits.healthy() && l.term.verified()
}

// markPlannedStale invalidates the views of all machines and jobs in the plan. Placement has
// modified these views, even if the plan can't be executed.
func (l *Leader) markPlannedStale(plan *placement.Plan) {
	for _, start := range plan.Starts {
		l.fleet.get(start.Machine.Name).markStale()
		l.jobs.get(start.Job.Spec.ID).markStale()
	}
	for _, preemption := range plan.Preemptions {
		l.fleet.get(preemption.Machine.Name).markStale()
	}
}

// setMachineClaims stores the plan's machine claims in the job views for the next pass: the
// machines that are claimed for each job, and the gangs that will fit once the stopping tasks
// on these machines have ended.
func setMachineClaims(waiting []*placement.Job, plan *placement.Plan) {
	for _, job := range waiting {
		job.ClaimedMachines, job.AwaitingStops = nil, false
	}
	for _, job := range plan.AwaitingStops {
		job.AwaitingStops = true
	}
	for _, claim := range plan.Claims {
		if claim.Job.ClaimedMachines == nil {
			claim.Job.ClaimedMachines = make(map[string]bool)
		}
		claim.Job.ClaimedMachines[claim.Machine.Name] = true
	}
}
