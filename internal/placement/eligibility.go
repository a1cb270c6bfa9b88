package placement

import (
	"slices"

	"thornnotch/internal/jobs"
)

// Allowed tells whether the job's specification lets it use the machine at all.
func Allowed(job *Job, machine *Machine) bool {
	spec := job.Spec
	if machine.Spot && !spec.AllowSpot || spec.Zone != "" && spec.Zone != machine.Zone {
		return false
	}
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, machine.Type)
}

// eligible tells whether a task of the job may be placed on the machine now, as far as
// room and zones let it. A machine that is kept for another job is open to those before it.
func eligible(job *Job, machine *Machine) bool {
	if !machine.Schedulable || machine.AttemptCapacity <= 0 || !Allowed(job, machine) || job.AvoidMachines[machine.Name] {
		return false
	}
	claimedBy := machine.state.claimedBy
	return claimedBy == nil || claimedBy == job || precedesByRank(job, claimedBy)
}

// ZoneCap is the most tasks that the job may have in one zone: half of them, rounded up, if
// they are to be spread over zones.
func ZoneCap(spec *jobs.Spec) int {
	if spec.SpreadZones {
		return (spec.Tasks + 1) / 2
	}
	return spec.Tasks
}

// zoneAllows tells whether one more task of the job may be in the zone, beside those that
// may be on machines already.
func zoneAllows(job *Job, zone string) bool {
	if job.Spec.SameZone {
		for other, tasks := range job.TasksByZone {
			if tasks > 0 && other != zone {
				return false
			}
		}
	}
	return !job.Spec.SpreadZones || job.TasksByZone[zone] < ZoneCap(job.Spec)
}
