package leader

import (
	"cmp"
	"slices"
	"time"

	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// status returns the operators' view of the current state.
func (l *Leader) status(now time.Time) Status {
	machines, leaving := l.machineStatus()
	return Status{
		Term:         l.term.number(),
		Machines:     machines,
		Queue:        l.queueStatus(),
		Teams:        l.teamStatus(),
		Reservations: l.reservationStatus(now),
		Booting:      len(l.scaling.booting),
		Leaving:      leaving,
		Recording:    l.recordingStatus(now),
		Work:         l.workCounts(),
		QueuedEvents: len(l.events),
	}
}

// recordingStatus returns the state of the commits and the staleness of the leader's knowledge
// of cancellations.
func (l *Leader) recordingStatus(now time.Time) RecordingStatus {
	return RecordingStatus{
		Healthy:    l.commits.healthy(),
		StalenessS: l.staleness.Staleness(now).Seconds(),
		Backlog:    l.wal.Backlog(),
		InFlightS:  l.commits.inFlightFor(now).Seconds(),
	}
}

// machineStatus counts the machines of each pool. It also returns the number of machines that
// are being returned, over all pools.
func (l *Leader) machineStatus() (pools []PoolStatus, leaving int) {
	type key struct {
		machineType, zone string
		spot              bool
	}
	byPool := make(map[key]*PoolStatus)
	for machine := range l.fleet.all() {
		k := key{machine.worker.MachineType, machine.worker.Zone, machine.worker.Spot}
		pool := byPool[k]
		if pool == nil {
			pool = &PoolStatus{Type: k.machineType, Zone: k.zone, Spot: k.spot}
			byPool[k] = pool
		}
		if machine.lifecycle.isLeaving() {
			leaving++
		}
		l.countMachine(pool, machine)
	}
	for _, pool := range byPool {
		pools = append(pools, *pool)
	}
	slices.SortFunc(pools, func(a, b PoolStatus) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), compareBool(a.Spot, b.Spot))
	})
	return pools, leaving
}

// countMachine adds a machine to the counts of its pool.
func (l *Leader) countMachine(pool *PoolStatus, machine *machineState) {
	if !machine.lifecycle.isLeaving() && machine.worker.Registered {
		pool.Up++
	}
	if machine.inUse() {
		pool.Busy++
	}
	if machine.health.Faulty() {
		pool.Faulty++
	}
	machineType, _ := l.deps.Catalog().Type(machine.worker.MachineType)
	total := placement.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
	used := l.usedResources(machine)
	pool.GPUs += used.GPUs
	pool.UsedMachines += used.DominantShare(total)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// queueStatus counts the jobs and tasks of each class and team.
func (l *Leader) queueStatus() (queues []QueueStatus) {
	byPipeline := make(map[placement.Pipeline]*QueueStatus)
	for job := range l.jobs.all() {
		pipeline := job.view.Pipeline()
		queue := byPipeline[pipeline]
		if queue == nil {
			queue = &QueueStatus{Class: pipeline.Class, Team: pipeline.Team}
			byPipeline[pipeline] = queue
		}
		queue.Jobs++
		if job.upstreams.blocked() {
			queue.BlockedJobs++
			continue // its tasks do not wait for a machine
		}
		running := attemptsPastFetching(job)
		queue.DoneTasks += job.progress.completed()
		queue.RunningTasks += running
		queue.WaitingTasks += max(0, job.progress.remaining()-running)
	}
	for _, queue := range byPipeline {
		queues = append(queues, *queue)
	}
	slices.SortFunc(queues, func(a, b QueueStatus) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team))
	})
	return queues
}

// attemptsPastFetching returns the number of a job's attempts whose status is past fetching.
func attemptsPastFetching(job *jobState) (n int) {
	for _, placed := range job.attempts {
		for _, p := range placed {
			if p.attempt.Status != "" && p.attempt.Status != workers.StatusFetching {
				n++
			}
		}
	}
	return n
}

// teamStatus returns each team's resource usage, including its reservations, and its quotas.
func (l *Leader) teamStatus() (teams []TeamStatus) {
	used, reserved := make(map[string]placement.Resources), make(map[string]placement.Resources)
	for machine := range l.fleet.all() {
		for _, attempt := range machine.worker.Attempts {
			if attempt.Live() {
				team := l.jobs.teamOf(attempt)
				used[team] = used[team].Add(l.jobs.resourcesOf(attempt))
			}
		}
	}
	for _, reservation := range l.reservations.All() {
		team := reservation.Pipeline.Team
		reserved[team] = reserved[team].Add(reservation.Resources)
	}
	for _, team := range l.teams {
		u, r := used[team.Name], reserved[team.Name]
		teams = append(teams, TeamStatus{
			Team: team.Name,
			CPUs: u.CPUs + r.CPUs, GPUs: u.GPUs + r.GPUs,
			ReservedCPUs: r.CPUs, ReservedGPUs: r.GPUs,
			GuaranteedCPUs: team.GuaranteedCPUs, GuaranteedGPUs: team.GuaranteedGPUs,
			MaxCPUs: team.MaxCPUs, MaxGPUs: team.MaxGPUs,
		})
	}
	return teams
}

// reservationStatus returns all reservations, with the time until each expires.
func (l *Leader) reservationStatus(now time.Time) (list []ReservationStatus) {
	for _, reservation := range l.reservations.All() {
		list = append(list, ReservationStatus{
			Machine: reservation.Machine, Team: reservation.Pipeline.Team, Class: reservation.Pipeline.Class, Job: reservation.Downstream,
			CPUs: reservation.Resources.CPUs, GPUs: reservation.Resources.GPUs,
			ExpiresInS: reservation.ExpiresAt.Sub(now).Seconds(),
		})
	}
	return list
}
