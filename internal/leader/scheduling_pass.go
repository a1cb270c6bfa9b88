package leader

import (
	"time"

	"thornnotch/internal/placement"
)

// runSchedulingPass runs placement over the present state and carries out its plan.
func (l *Leader) runSchedulingPass(now time.Time) {
	l.passes.begin(now)
	if !l.mayDecide() {
		return
	}
	snapshot := l.snapshotForPlacement(now)
	plan := placement.Schedule(snapshot)
	l.markPlannedStale(plan)
	l.releaseReservations(plan.Released, now)
	for _, preemption := range plan.Preemptions {
		l.preempt(preemption, now)
	}
	l.startPlanned(plan.Starts, now)
	showDrainClaims(snapshot.Jobs, plan)
	l.logSummary(snapshot, now)
	took := time.Since(now)
	l.passes.finish(took)
	l.counts.Passes++
	l.counts.PassSeconds += took.Seconds()
}

// mayDecide tells whether a pass may run: without records no decision that needs one is
// made, and none on a world that may be half a minute old.
func (l *Leader) mayDecide() bool {
	return l.failover.recordsLoaded() && l.deps.Catalog() != nil && l.commits.healthy() && l.term.verified()
}

// markPlannedStale has the views made anew of all machines and jobs in the plan, whether or
// not it can be carried out: placement has changed these views.
func (l *Leader) markPlannedStale(plan *placement.Plan) {
	for _, start := range plan.Starts {
		l.fleet.get(start.Machine.Name).markStale()
		l.jobs.get(start.Job.Spec.ID).markStale()
	}
	for _, preemption := range plan.Preemptions {
		l.fleet.get(preemption.Machine.Name).markStale()
	}
}

// showDrainClaims shows the next pass which machines are kept for gangs until they are
// empty, and which gangs will have room once what ends has ended.
func showDrainClaims(waiting []*placement.Job, plan *placement.Plan) {
	for _, job := range waiting {
		job.ClaimedMachines, job.Draining = nil, false
	}
	for _, job := range plan.Draining {
		job.Draining = true
	}
	for _, claim := range plan.Claims {
		if claim.Job.ClaimedMachines == nil {
			claim.Job.ClaimedMachines = make(map[string]bool)
		}
		claim.Job.ClaimedMachines[claim.Machine.Name] = true
	}
}
