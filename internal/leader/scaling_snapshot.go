package leader

import (
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// scalingSnapshot returns the current state as input to the autoscaling decisions.
func (l *Leader) scalingSnapshot(now time.Time) autoscaling.Snapshot {
	catalog := l.deps.Catalog()
	snapshot := autoscaling.Snapshot{
		Catalog:       catalog,
		Machines:      l.machinesByPool(now),
		Unavailable:   l.unavailablePools(catalog, now),
		ArrivalWindow: constants.ArrivalRateWindow,
	}
	for job := range l.jobs.all() {
		if remainingTasks := job.progress.remaining(); remainingTasks > 0 && !job.upstreams.blocked() {
			snapshot.Demand = append(snapshot.Demand, resourceDemand(job, remainingTasks))
		}
	}
	for _, arrival := range l.scaling.recentArrivals {
		snapshot.RecentArrivals = append(snapshot.RecentArrivals, arrival.demand)
	}
	for _, team := range l.teams {
		limit := placement.Resources{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs}
		snapshot.Limits = append(snapshot.Limits, autoscaling.TeamLimit{Team: team.Name, Limit: limit})
	}
	return snapshot
}

// machinesByPool counts the usable and the booting machines of each pool. A machine that has
// been silent for longer than its lease is not counted: its replacement is rented before the
// machine itself is returned.
func (l *Leader) machinesByPool(now time.Time) map[autoscaling.InstancePool]int {
	count := make(map[autoscaling.InstancePool]int)
	for machine := range l.fleet.all() {
		if !machine.lifecycle.isLeaving() && !machine.health.Faulty() && machine.worker.ReclaimAt.IsZero() && !l.isSilentBeyondLease(machine, now) {
			count[machine.pool()]++
		}
	}
	for _, booting := range l.scaling.booting {
		count[booting.pool]++
	}
	return count
}

// unavailablePools returns the pools that recently had no capacity and all pools of
// unreachable zones, where a rented machine could not be reached.
func (l *Leader) unavailablePools(catalog *autoscaling.Catalog, now time.Time) map[autoscaling.InstancePool]bool {
	unavailable := make(map[autoscaling.InstancePool]bool)
	for zone, unreachable := range l.updateUnreachableZones(now) {
		if !unreachable {
			continue
		}
		for _, machineType := range catalog.MachineTypes {
			unavailable[autoscaling.InstancePool{Type: machineType.Name, Zone: zone}] = true
			unavailable[autoscaling.InstancePool{Type: machineType.Name, Zone: zone, Spot: true}] = true
		}
	}
	for pool, until := range l.scaling.unavailable {
		if now.Before(until) {
			unavailable[pool] = true
		}
	}
	return unavailable
}

// resourceDemand returns the resource demand of the given number of a job's tasks.
func resourceDemand(job *jobState, tasks int) autoscaling.Demand {
	return autoscaling.Demand{
		Team: job.spec.Team, Tasks: tasks, TaskResources: placement.TaskResources(job.spec),
		AllowSpot: job.spec.AllowSpot, MachineTypes: job.spec.MachineTypes, Zone: job.spec.Zone,
		SameZone: job.spec.Kind == jobs.KindGang && job.spec.SameZone,
	}
}
