package leader

import (
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// scalingSnapshot shows the present state to the decisions of renting and returning.
func (l *Leader) scalingSnapshot(now time.Time) autoscaling.Snapshot {
	catalog := l.deps.Catalog()
	snapshot := autoscaling.Snapshot{
		Catalog:  catalog,
		Machines: l.machinesByPool(now),
		Refused:  l.refusedPools(catalog, now),
		Window:   constants.ArrivalRateWindow,
	}
	for job := range l.jobs.all() {
		if left := job.progress.remaining(); left > 0 && !job.upstreams.blocked() {
			snapshot.Demand = append(snapshot.Demand, demandOf(job, left))
		}
	}
	for _, arrival := range l.scaling.recentArrivals {
		snapshot.Recent = append(snapshot.Recent, arrival.demand)
	}
	for _, team := range l.teams {
		limit := placement.Resources{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs}
		snapshot.Limits = append(snapshot.Limits, autoscaling.TeamLimit{Team: team.Name, Limit: limit})
	}
	return snapshot
}

// machinesByPool counts the machines that can be counted on, and those that boot. A
// silent machine is not counted on: it is replaced before it is given up.
func (l *Leader) machinesByPool(now time.Time) map[autoscaling.InstancePool]int {
	count := make(map[autoscaling.InstancePool]int)
	for machine := range l.fleet.all() {
		if !machine.lifecycle.isLeaving() && !machine.health.Faulty() && machine.agent.ReclaimAt.IsZero() && !l.isSilentBeyondLease(machine, now) {
			count[machine.pool()]++
		}
	}
	for _, booting := range l.scaling.booting {
		count[booting.pool]++
	}
	return count
}

// refusedPools are the pools that nothing can be had of, or where it could not be
// reached.
func (l *Leader) refusedPools(catalog *autoscaling.Catalog, now time.Time) map[autoscaling.InstancePool]bool {
	refused := make(map[autoscaling.InstancePool]bool)
	for zone, unreachable := range l.unreachableZones(now) {
		if !unreachable {
			continue
		}
		for _, machineType := range catalog.MachineTypes {
			refused[autoscaling.InstancePool{Type: machineType.Name, Zone: zone}] = true
			refused[autoscaling.InstancePool{Type: machineType.Name, Zone: zone, Spot: true}] = true
		}
	}
	for pool, until := range l.scaling.refused {
		if now.Before(until) {
			refused[pool] = true
		}
	}
	return refused
}

// demandOf is what so many tasks of a job ask of the market.
func demandOf(job *jobState, tasks int) autoscaling.Demand {
	return autoscaling.Demand{
		Team: job.spec.Team, Tasks: tasks, TaskResources: placement.TaskResources(job.spec),
		AllowSpot: job.spec.AllowSpot, MachineTypes: job.spec.MachineTypes, Zone: job.spec.Zone,
		SameZone: job.spec.Kind == jobs.KindGang && job.spec.SameZone,
	}
}
