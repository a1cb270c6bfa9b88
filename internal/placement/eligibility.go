package placement

import (
	"slices"

	"thornnotch/internal/jobs"
)

// Allowed reports whether the job's specification permits the machine, by its type, its zone
// and whether it is a spot machine.
func Allowed(job *Job, machine *Machine) bool {
	spec := job.Spec
	if machine.Spot && !spec.AllowSpot || spec.Zone != "" && spec.Zone != machine.Zone {
		return false
	}
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, machine.Type)
}

// eligible reports whether a task of the job may be placed on the machine now. It checks
// neither free resources nor how the job's tasks are distributed over zones. A machine that is
// claimed for another job is open only to jobs of higher rank.
func eligible(job *Job, machine *Machine) bool {
	if !machine.Schedulable || machine.AttemptCapacity <= 0 || !Allowed(job, machine) || job.AvoidMachines[machine.Name] {
		return false
	}
	claimedBy := machine.state.claimedBy
	return claimedBy == nil || claimedBy == job || precedesByRank(job, claimedBy)
}

// maxTasksPerZone returns how many of the job's tasks may run in one zone: half of them,
// rounded up, if they must be spread over zones, otherwise all.
func maxTasksPerZone(spec *jobs.Spec) int {
	if spec.SpreadZones {
		return (spec.Tasks + 1) / 2
	}
	return spec.Tasks
}

// zoneAllowed reports whether one more task of the job may run in the zone, given the zones of
// the job's tasks that may already be on machines.
func zoneAllowed(job *Job, zone string) bool {
	if job.Spec.SameZone {
		for other, tasks := range job.TasksByZone {
			if tasks > 0 && other != zone {
				return false
			}
		}
	}
	return !job.Spec.SpreadZones || job.TasksByZone[zone] < maxTasksPerZone(job.Spec)
}
