package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// placementSnapshot returns the current state as the input of a scheduling pass. It reuses
// the views of machines and jobs that have not changed.
func (l *Leader) placementSnapshot(now time.Time) *placement.Snapshot {
	snapshot := &placement.Snapshot{Now: now, StartRate: l.classes.placementRates}
	startable := l.startableJobViews(now)
	// Refreshing the machine views updates the teams' usage, which teamViews reads.
	snapshot.Machines = l.machineViews(now)
	snapshot.Teams = l.teamViews()
	l.markDependencyReservations(snapshot)
	snapshot.GangReserve = l.gangReserve(snapshot.Machines, now)
	placement.MarkGuaranteed(startable, snapshot.Teams)
	placement.BoostStarvingGangs(startable, l.classes.gangWaits.boostedClasses(), now)
	for _, view := range startable {
		if len(view.WaitingTasks) > 0 {
			snapshot.Jobs = append(snapshot.Jobs, view)
		}
	}
	return snapshot
}

// startableJobViews returns the views of all jobs that are incomplete and not blocked by an
// upstream job.
func (l *Leader) startableJobViews(now time.Time) []*placement.Job {
	views := make([]*placement.Job, 0, l.jobs.len())
	for job := range l.jobs.all() {
		if job.complete || job.upstreams.blocked() {
			continue
		}
		job.refreshView(l.classes.arrivals.relativeCount(job.spec.Class), now)
		views = append(views, &job.view)
	}
	return views
}

// machineViews returns the views of all machines, sorted by name, and refreshes those that
// are stale or too old.
func (l *Leader) machineViews(now time.Time) []*placement.Machine {
	machines := l.fleet.sortedByName()
	views := make([]*placement.Machine, 0, len(machines))
	oldest := now.Add(-maxViewAge(len(machines)))
	for _, machine := range machines {
		if machine.view == nil || machine.stale || machine.viewAt.Before(oldest) {
			l.refreshMachineView(machine, now)
		}
		machine.view.Schedulable = l.acceptsPlacements(machine, now)
		views = append(views, machine.view)
	}
	return views
}

// acceptsPlacements reports whether new tasks may be placed on a machine: it is schedulable, its
// type is known, and it has sent this term's token and a recent message. The machine's view
// must be up to date.
func (l *Leader) acceptsPlacements(machine *machineState, now time.Time) bool {
	if machine.view.Total == (placement.Resources{}) || !machine.schedulable(now) {
		return false
	}
	// The machine must have sent this term's token: a heartbeat without it may be a delayed
	// copy from a machine that no longer exists.
	if machine.worker.Token != l.term.number() {
		return false
	}
	// A machine that has been silent for a few heartbeat intervals may be dead or partitioned.
	// Tasks placed there would be stuck until its lease expires. Replies to idle machines are
	// held, which delays their heartbeats.
	return l.silenceDuration(machine, now) <= l.silenceTolerance()+constants.IdleReplyHold
}

// teamViews returns each team's usage and quota, by name.
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

// maxViewAge returns the maximum age of an unchanged machine's view. It grows with the fleet,
// as refreshing every view of a large fleet would take longer than the pass itself.
func maxViewAge(machines int) time.Duration {
	return time.Duration(float64(constants.MaxMachineViewAge) * max(1, float64(machines)/constants.MachineViewAgeBaseFleet))
}
