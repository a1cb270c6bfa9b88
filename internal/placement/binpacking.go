package placement

import (
	"time"

	"thornnotch/internal/constants"
)

// imageDelayS estimates how long, in seconds, a task of the job would wait for its image on
// the machine.
func (m *Machine) imageDelayS(job *Job) float64 {
	if wait, known := m.ImageWait[job.Spec.Image]; known {
		return wait.Seconds()
	}
	if m.FetchGBPerS <= 0 {
		return 0
	}
	return job.Spec.ImageGB / m.FetchGBPerS * float64(1+m.ActiveFetches)
}

// score returns the cost of placing a task of the job on the machine, as seconds of delay.
// Lower is better.
func (p *pass) score(machine *Machine, job *Job) float64 {
	score := machine.imageDelayS(job)
	if machine.hasReservedSlotFor(job) {
		score -= constants.ReservedSlotBonusS
	}
	if job.Spec.AllowSpot && !machine.Spot {
		score += constants.OnDemandMachinePenaltyS
		if !job.isGang() && machine.emptyOnDemand() && p.emptyOnDemand > 0 {
			score += constants.LastWholeMachinePenaltyS / float64(p.emptyOnDemand)
		}
	}
	if !job.isGang() {
		score += arrayPackingScore(machine, job)
	}
	return score
}

// arrayPackingScore returns the part of the score that makes tasks of job arrays prefer machines
// that are partly used, so that other machines stay empty for gangs.
func arrayPackingScore(machine *Machine, job *Job) float64 {
	utilization := machine.usage.used.DominantShare(machine.Total)
	if _, imageKnown := machine.ImageWait[job.Spec.Image]; !imageKnown && machine.Spot {
		// The image must be fetched in any case. Few gangs can use spot machines, so it is
		// better to spread the tasks, and with them the image, over more of these machines.
		return constants.SpotSpreadPenaltyS * utilization
	}
	return constants.UnusedCapacityPenaltyS * (1 - utilization)
}

// placeTask assigns one waiting task to a machine and updates the usage of the machine and the
// team. If the team then exceeds its limit, reservations that the job overrides are released.
func (p *pass) placeTask(job *Job, taskIndex int, machine *Machine) {
	request := TaskResources(job.Spec)
	team := p.Teams[job.Spec.Team]
	if machine.emptyOnDemand() {
		p.emptyOnDemand--
	}
	machine.usage.used = machine.usage.used.Add(request)
	machine.AttemptCapacity--
	team.Used = team.Used.Add(request)
	for _, slot := range machine.Reserved {
		if job.BelongsTo(slot.Pipeline) {
			// The task replaces its reservation, which already counted as used.
			p.removeReservation(machineReservation{machine, slot})
			break
		}
	}
	if !team.Allows(Resources{}) {
		p.releaseReservationsForLimit(job, Resources{})
	}
	if job.TasksByZone == nil {
		job.TasksByZone = make(map[string]int)
	}
	job.TasksByZone[machine.Zone]++
	machine.recordImageFetch(job)
	p.plan.Starts = append(p.plan.Starts, Start{job, taskIndex, machine})
}

// recordImageFetch records the image fetch that a task of the job starts on the machine,
// unless the image is already present or being fetched.
func (m *Machine) recordImageFetch(job *Job) {
	if _, known := m.ImageWait[job.Spec.Image]; known {
		return
	}
	wait := time.Duration(m.imageDelayS(job) * float64(time.Second))
	if m.ImageWait == nil {
		m.ImageWait = make(map[string]time.Duration)
	}
	m.ImageWait[job.Spec.Image] = wait
	m.ActiveFetches++
}
