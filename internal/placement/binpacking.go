package placement

import (
	"time"

	"thornnotch/internal/constants"
)

// imageDelayS estimates, in seconds, how long a task would wait for its image on the
// machine.
func (m *Machine) imageDelayS(job *Job) float64 {
	if wait, known := m.ImageWait[job.Spec.Image]; known {
		return wait.Seconds()
	}
	if m.FetchGBPerS <= 0 {
		return 0
	}
	return job.Spec.ImageGB / m.FetchGBPerS * float64(1+m.ActiveFetches)
}

// score ranks machines for a task; lower is better. Its unit is seconds of delay.
func (p *pass) score(machine *Machine, job *Job) float64 {
	score := machine.imageDelayS(job)
	if machine.hasReservedFor(job) {
		score -= constants.ReservedSlotBonus
	}
	if job.Spec.AllowSpot && !machine.Spot {
		score += constants.OnDemandMachinePenalty
		if !job.isGang() && machine.emptyOnDemand() && p.emptyOnDemand > 0 {
			score += constants.LastWholeMachinePenalty / float64(p.emptyOnDemand)
		}
	}
	if !job.isGang() {
		score += arrayPackingScore(machine, job)
	}
	return score
}

// arrayPackingScore packs the tasks of job arrays onto machines that are partly used, so
// that others stay whole for gangs.
func arrayPackingScore(machine *Machine, job *Job) float64 {
	utilization := machine.usage.used.DominantShare(machine.Total)
	if _, imageKnown := machine.ImageWait[job.Spec.Image]; !imageKnown && machine.Spot {
		// The image must be fetched anyway: as few gangs can use spot machines, it had
		// better come to one more of them than to few.
		return constants.SpotSpreadPenalty * utilization
	}
	return constants.PartlyUsedBonus * (1 - utilization)
}

// place books one task on a machine.
func (p *pass) place(job *Job, index int, machine *Machine) {
	request := TaskResources(job.Spec)
	team := p.Teams[job.Spec.Team]
	if machine.emptyOnDemand() {
		p.emptyOnDemand--
	}
	machine.usage.used = machine.usage.used.Add(request)
	machine.AttemptCapacity--
	team.Used = team.Used.Add(request)
	for _, slot := range machine.Reserved {
		if job.Owns(slot.Pipeline) {
			// The task takes the place of its reservation, which counted already.
			p.unreserve(reservedOn{machine, slot})
			break
		}
	}
	if !team.Allows(Resources{}) {
		p.releaseForLimit(job, Resources{})
	}
	if job.TasksByZone == nil {
		job.TasksByZone = make(map[string]int)
	}
	job.TasksByZone[machine.Zone]++
	machine.fetchImage(job)
	p.plan.Starts = append(p.plan.Starts, Start{job, index, machine})
}

// fetchImage books the fetch that a task of the job causes on the machine, if any.
func (m *Machine) fetchImage(job *Job) {
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
