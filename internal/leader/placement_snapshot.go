package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// snapshotForPlacement shows the present state to placement. Machines and jobs that have
// not changed are shown as before.
func (l *Leader) snapshotForPlacement(now time.Time) *placement.Snapshot {
	snapshot := &placement.Snapshot{Now: now, StartRate: l.classes.placementRates}
	startable := l.startableJobViews(now)
	// The teams' usage is brought up to date with the machines' views.
	snapshot.Machines = l.machineViews(now)
	snapshot.Teams = l.teamViews()
	l.addReservationEdges(snapshot)
	snapshot.ReservedMachines = l.reservedMachines(snapshot.Machines, now)
	placement.MarkGuaranteed(startable, snapshot.Teams)
	placement.MarkStarving(startable, l.classes.gangWaits.boostedClasses(), now)
	for _, view := range startable {
		if len(view.WaitingTasks) > 0 {
			snapshot.Jobs = append(snapshot.Jobs, view)
		}
	}
	return snapshot
}

// startableJobViews shows the jobs that are not done and wait for no other job.
func (l *Leader) startableJobViews(now time.Time) []*placement.Job {
	views := make([]*placement.Job, 0, l.jobs.len())
	for job := range l.jobs.all() {
		if job.complete || job.upstreams.blocked() {
			continue
		}
		job.refreshView(l.classes.arrivals.share(job.spec.Class), now)
		views = append(views, &job.view)
	}
	return views
}

// machineViews shows all machines by name.
func (l *Leader) machineViews(now time.Time) []*placement.Machine {
	machines := l.fleet.sortedByName()
	views := make([]*placement.Machine, 0, len(machines))
	oldest := now.Add(-maxViewAge(len(machines)))
	for _, machine := range machines {
		if machine.view == nil || machine.stale || machine.viewAt.Before(oldest) {
			l.refreshMachineView(machine, now)
		}
		machine.view.Schedulable = l.mayPlaceOn(machine, now)
		views = append(views, machine.view)
	}
	return views
}

// mayPlaceOn tells whether placement may put work on a machine, given its view.
func (l *Leader) mayPlaceOn(machine *machineState, now time.Time) bool {
	if machine.view.Total == (placement.Resources{}) || !machine.schedulable(now) {
		return false
	}
	// Only on machines that have shown our token: a heartbeat may be a late copy of one
	// from a machine that is no more.
	if machine.agent.Token != l.term.number() {
		return false
	}
	// One that has not been heard for a few heartbeats may well be dead or cut off: what
	// is put there would wait until its lease is over.
	return l.silentFor(machine, now) <= l.silenceTolerance()+constants.IdleReplyHold
}

// teamViews shows what the teams use and may use.
func (l *Leader) teamViews() map[string]*placement.Team {
	views := make(map[string]*placement.Team, len(l.teams))
	for _, team := range l.teams {
		views[team.Name] = &placement.Team{
			Name: team.Name, Used: l.teamUsage[team.Name],
			Guarantee: placement.Resources{CPUs: team.GuaranteedCPUs, GPUs: team.GuaranteedGPUs},
			Limit:     placement.Resources{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs},
		}
	}
	return views
}

// maxViewAge is how old the view of a machine that has not changed may be: making all of a
// large fleet's anew every time would take longer than the pass itself.
func maxViewAge(machines int) time.Duration {
	return time.Duration(float64(constants.MaxViewAge) * max(1, float64(machines)/constants.ViewAgeBaseMachines))
}
