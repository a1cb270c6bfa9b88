package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// snapshotForPlacement shows the present state to placement. Machines and jobs that have not
// changed are shown as before.
func (l *Leader) snapshotForPlacement(now time.Time) *placement.Snapshot {
	w := &placement.Snapshot{Now: now, Teams: make(map[string]*placement.Team), StartRate: l.placementRates}
	all := make([]*placement.Job, 0, l.jobs.len())
	for job := range l.jobs.all() {
		if job.complete || job.upstreams.blocked() {
			continue
		}
		job.refreshView(l.arrivals.share(job.spec.Class), now)
		all = append(all, &job.view)
	}
	machines := l.fleet.sortedByName()
	w.Machines = make([]*placement.Machine, 0, len(machines))
	ordinary := 0
	oldest := now.Add(-viewAge(len(machines)))
	for _, machine := range machines {
		if machine.view == nil || machine.stale || machine.viewAt.Before(oldest) {
			l.refreshMachineView(machine, now)
		}
		// Placement may put work only on machines that have shown our token:
		// a report may be a late copy of one from a machine that is no more.
		// One that has not been heard for a few reports may well be dead or cut
		// off: what is put there would wait until its lease is over.
		machine.view.Schedulable = machine.view.Total != (placement.Resources{}) && machine.schedulable(now) && machine.agent.Token == l.term.number() &&
			l.silentFor(machine, now) <= l.silenceTolerance()+constants.IdleReplyHold
		if machine.view.Schedulable && !machine.view.Spot {
			ordinary++
		}
		w.Machines = append(w.Machines, machine.view)
	}
	l.addReservationEdges(w)
	w.ReservedMachines = min(l.reservedMachines(now), int(float64(ordinary)*constants.GangReserveMaxShare))
	for _, t := range l.teams {
		w.Teams[t.Name] = &placement.Team{
			Name: t.Name, Used: l.teamUsage[t.Name],
			Guarantee: placement.Resources{CPUs: t.GuaranteedCPUs, GPUs: t.GuaranteedGPUs}, Limit: placement.Resources{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs},
		}
	}
	placement.MarkGuaranteed(all, w.Teams)
	placement.MarkStarving(all, l.gangWaits.boostedClasses(), now)
	for _, v := range all {
		if len(v.WaitingTasks) > 0 {
			w.Jobs = append(w.Jobs, v)
		}
	}
	return w
}

// viewAge is how old the view of a machine that has not changed may be: making all of a
// large fleet's anew every time would take longer than the pass itself.
func viewAge(machines int) time.Duration {
	return time.Duration(float64(constants.MaxViewAge) * max(1, float64(machines)/constants.ViewAgeBaseMachines))
}
