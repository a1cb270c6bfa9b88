package placement

import (
	"slices"

	"thornnotch/internal/constants"
)

// renewClaims renews the claims of gangs that still wait. A machine that drains for a
// gang must not be filled again by the small tasks of whichever job has less time left at
// the moment, or it is never empty.
func (p *pass) renewClaims() {
	p.renewedClaims = make(map[*Job][]*Machine)
	for _, job := range p.Jobs {
		if !job.isGang() || len(job.WaitingTasks) == 0 || job.Blocked {
			continue
		}
		for name := range job.ClaimedMachines {
			machine := p.machineNamed(name)
			if machine != nil && machine.state.claimedBy == nil && machine.Schedulable {
				machine.state.claimedBy = job
				p.renewedClaims[job] = append(p.renewedClaims[job], machine)
			}
		}
	}
}

// endClaims opens the machines that the last pass kept for a job to others; those that it
// still waits for are claimed anew.
func (p *pass) endClaims(job *Job) {
	for _, machine := range p.renewedClaims[job] {
		machine.state.claimedBy = nil
	}
}

// tooManyDraining tells whether so many machines more would be too many to drain at a
// time. The first gang always gets its own.
func (p *pass) tooManyDraining(more int) bool {
	return p.drainingMachines > 0 &&
		float64(p.drainingMachines+more) > constants.MaxDrainingShare*float64(len(p.Machines))
}

// admitDrains counts the options that would have to drain, if so many more may. If not,
// what comes free goes to other jobs meanwhile: where much waits, all machines would
// stand half empty.
func (p *pass) admitDrains(options []roomOption) bool {
	drains := 0
	for _, option := range options {
		if option.tasks == 0 {
			drains++
		}
	}
	if drains > 0 && p.tooManyDraining(drains) {
		return false
	}
	p.drainingMachines += drains
	return true
}

// weighDrain weighs a machine as one to be kept for the gang until what runs on it has
// ended: later than any other option, and the one that is empty soonest first. A gang
// stays with the machines that it has claimed, or it would begin anew with each pass.
func (s *roomSearch) weighDrain(machine *Machine, maxCostS float64) (option roomOption, cheaper bool) {
	option.machine = machine
	emptyAfterS := constants.DrainPenaltyS + machine.usage.remaining.Seconds()
	if emptyAfterS-constants.ClaimedMachineBonusS-constants.BoostedClaimBonusS >= maxCostS {
		return option, false // whatever the rest is
	}
	option.costS = emptyAfterS + machine.imageDelayS(s.job)
	if s.job.ClaimedMachines[machine.Name] {
		option.costS -= constants.ClaimedMachineBonusS
		if s.job.Boost != NoBoost {
			option.costS -= constants.BoostedClaimBonusS
		}
	}
	return option, option.costS < maxCostS
}

// take preempts what must go from a machine for a job and keeps the machine for it.
func (p *pass) take(job *Job, option roomOption) {
	machine := option.machine
	for _, victim := range option.victims {
		p.preempt(job, machine, victim)
	}
	if !job.isGang() && len(option.victims) == 0 {
		return
	}
	machine.state.claimedBy = job
	// What is reserved here for lower jobs can't be used by them any more.
	for _, slot := range slices.Clone(machine.Reserved) {
		if !job.Owns(slot.Pipeline) && !slot.closedTo(job) {
			p.release(reservedOn{machine, slot})
		}
	}
	p.plan.Claims = append(p.plan.Claims, DrainClaim{job, machine})
}
