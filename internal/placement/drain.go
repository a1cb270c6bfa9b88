package placement

import (
	"slices"

	"thornnotch/internal/constants"
)

// renewClaims renews the machine claims of gangs that still wait. Without a claim, small tasks
// of whichever job currently has less time left would refill a draining machine, and it would
// never become empty.
func (p *pass) renewClaims() {
	p.renewedClaims = make(map[*Job][]*Machine)
	for _, job := range p.Jobs {
		if !job.isGang() || len(job.WaitingTasks) == 0 || job.Blocked {
			continue
		}
		for name := range job.ClaimedMachines {
			machine := p.findMachine(name)
			if machine != nil && machine.state.claimedBy == nil && machine.Schedulable {
				machine.state.claimedBy = job
				p.renewedClaims[job] = append(p.renewedClaims[job], machine)
			}
		}
	}
}

// releaseClaims drops the claims that the job kept from the previous pass. The caller claims
// the machines that the job still needs again.
func (p *pass) releaseClaims(job *Job) {
	for _, machine := range p.renewedClaims[job] {
		machine.state.claimedBy = nil
	}
}

// exceedsDrainLimit reports whether draining that many additional machines would exceed
// MaxDrainingShare. The first gang may always drain the machines that it needs.
func (p *pass) exceedsDrainLimit(additional int) bool {
	return p.drainingMachines > 0 &&
		float64(p.drainingMachines+additional) > constants.MaxDrainingShare*float64(len(p.Machines))
}

// admitDrains reports whether the options that must drain are within the drain limit, and
// counts them if so. Otherwise, resources that become free go to other jobs: with many gangs
// waiting, all machines would stand half empty.
func (p *pass) admitDrains(options []capacityOption) bool {
	drains := 0
	for _, option := range options {
		if option.tasks == 0 {
			drains++
		}
	}
	if drains > 0 && p.exceedsDrainLimit(drains) {
		return false
	}
	p.drainingMachines += drains
	return true
}

// drainOption returns the option of keeping the machine for the gang until all its tasks have
// ended, and reports whether it costs less than maxCostS. It costs more than any option
// without a drain, and the less the sooner the machine will be empty. A gang prefers the
// machines that it has already claimed; otherwise it would start over in each pass.
func (s *capacitySearch) drainOption(machine *Machine, maxCostS float64) (option capacityOption, cheaper bool) {
	option.machine = machine
	emptyAfterS := constants.DrainPenaltyS + machine.usage.maxRemaining.Seconds()
	if emptyAfterS-constants.ClaimedMachineBonusS-constants.BoostedClaimBonusS >= maxCostS {
		return option, false // the image delay only adds to the cost
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

// applyOption preempts the option's victims and claims the machine for the job.
func (p *pass) applyOption(job *Job, option capacityOption) {
	machine := option.machine
	for _, victim := range option.victims {
		p.preempt(job, machine, victim)
	}
	if !job.isGang() && len(option.victims) == 0 {
		return
	}
	machine.state.claimedBy = job
	// Lower jobs can no longer use the slots that are reserved for them here.
	for _, slot := range slices.Clone(machine.Reserved) {
		if !job.Owns(slot.Pipeline) && !slot.unavailableTo(job) {
			p.releaseReservation(machineReservation{machine, slot})
		}
	}
	p.plan.Claims = append(p.plan.Claims, DrainClaim{job, machine})
}
