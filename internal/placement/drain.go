package placement

import (
	"slices"

	"thornnotch/internal/constants"
)

// renewClaims renews the machine claims of gangs that still wait. Without a claim, small tasks
// of jobs with less time left would refill a draining machine, and it would never become
// empty.
func (p *pass) renewClaims() {
	p.renewedClaims = make(map[*Job][]*Machine)
	for _, job := range p.Jobs {
		if !job.isGang() || len(job.WaitingTasks) == 0 || job.BackingOff {
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

// releaseClaims releases the claims that the job kept from the previous pass. The caller then
// makes new claims for the machines that the job still needs.
func (p *pass) releaseClaims(job *Job) {
	for _, machine := range p.renewedClaims[job] {
		machine.state.claimedBy = nil
	}
}

// exceedsDrainLimit reports whether draining this many more machines would exceed
// MaxDrainingShare. The first gang may always drain the machines that it needs.
func (p *pass) exceedsDrainLimit(additional int) bool {
	return p.drainingMachines > 0 &&
		float64(p.drainingMachines+additional) > constants.MaxDrainingShare*float64(len(p.Machines))
}

// admitDrains reports whether the drain limit allows draining the machines that must drain for
// the options, and if so counts them as draining. If not, resources that become free on these
// machines go to other jobs. Without the limit, all machines would be half empty while many
// gangs wait.
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

// drainOption returns the option of keeping the machine for the gang until all tasks on it have
// ended, and reports whether it costs less than maxCostS. It costs more than any option
// without a drain, and its cost increases with the expected time until the machine is empty.
// Machines that the gang has already claimed cost less; otherwise, the gang would choose other
// machines in each pass.
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
	// The claim keeps other pipelines from the slots that the job may use, so their
	// reservations are released.
	for _, slot := range slices.Clone(machine.Reserved) {
		if !job.BelongsTo(slot.Pipeline) && !slot.unavailableTo(job) {
			p.releaseReservation(machineReservation{machine, slot})
		}
	}
	p.plan.Claims = append(p.plan.Claims, MachineClaim{job, machine})
}
