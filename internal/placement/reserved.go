package placement

import (
	"cmp"
	"slices"
)

// A reserved slot keeps resources of a machine for a pipeline and counts toward its team's
// limit. A job that may override it can use both the resources and the part of the limit,
// because a team's jobs must have the same order of precedence for its limit as for machines.

// machineReservation is a reserved slot and its machine.
type machineReservation struct {
	machine *Machine
	slot    ReservedSlot
}

// overriddenBy reports whether the job may use the reserved slot. Jobs of the slot's own
// pipeline and jobs of higher priority may (III-B, "Support of priority scheduling", in the
// paper that package reservations implements). A gang boosted within its priority also
// overrides reservations of equal priority, and one boosted above all overrides every
// reservation. For the team's limit, overriddenInLimitBy extends this rule.
//
// Without this rule, slots reserved for jobs that may not start, because the team's limit is
// kept for a boosted gang, would remain until they expire, while the gang waits for the part
// of the limit that they use. This deadlock would last for a quarter of an hour.
func (s ReservedSlot) overriddenBy(job *Job) bool {
	switch {
	case job.BelongsTo(s.Pipeline), job.Boost == BoostAboveAll:
		return true
	case job.Boost == BoostWithinPriority:
		return s.Priority <= job.Priority
	}
	return s.Priority < job.Priority
}

// overriddenInLimitBy reports whether the job may use the part of their team's limit that the
// reserved slot counts for. A job that waits for other jobs must not use up any of the limit,
// so a slot that is reserved for a job that may not start yet is overridden by any job of the
// team that may.
func (s ReservedSlot) overriddenInLimitBy(job *Job) bool {
	return s.Blocked || s.overriddenBy(job)
}

// unavailableTo reports whether the job must not use the reserved slot. A reservation never
// keeps another team from its guarantee.
func (s ReservedSlot) unavailableTo(job *Job) bool {
	if s.overriddenBy(job) {
		return false
	}
	return !job.Guaranteed || job.Spec.Team == s.Pipeline.Team
}

// hasReservedSlotFor reports whether a slot on the machine is reserved for the job's pipeline.
func (m *Machine) hasReservedSlotFor(job *Job) bool {
	for _, slot := range m.Reserved {
		if job.BelongsTo(slot.Pipeline) {
			return true
		}
	}
	return false
}

// overridableResources returns the resources reserved within the limit of the job's team that
// the job may override. They include the slots of the job's own pipeline: however large these
// are, they must never keep that job from starting. The sum is needed for one machine after
// another, so it is cached for the last job until a reservation is removed.
func (p *pass) overridableResources(job *Job) Resources {
	if p.overridableFor == job {
		return p.overridable
	}
	p.overridableFor, p.overridable = job, Resources{}
	for _, reserved := range p.reserved[job.Spec.Team] {
		if reserved.slot.overriddenInLimitBy(job) {
			p.overridable = p.overridable.Add(reserved.slot.Resources)
		}
	}
	return p.overridable
}

// removeReservation removes a reserved slot from its machine and from its team's usage.
func (p *pass) removeReservation(reserved machineReservation) {
	p.overridableFor = nil
	machine, teamName := reserved.machine, reserved.slot.Pipeline.Team
	if at := slices.Index(machine.Reserved, reserved.slot); at >= 0 {
		// Creates a new slice, because the old one may be in use by a loop.
		machine.Reserved = slices.Concat(machine.Reserved[:at], machine.Reserved[at+1:])
	}
	if team := p.Teams[teamName]; team != nil {
		team.Used = team.Used.Sub(reserved.slot.Resources)
	}
	if at := slices.Index(p.reserved[teamName], reserved); at >= 0 {
		p.reserved[teamName] = slices.Delete(p.reserved[teamName], at, at+1)
	}
}

// releaseReservation removes a reservation and adds its release to the plan.
func (p *pass) releaseReservation(reserved machineReservation) {
	p.removeReservation(reserved)
	p.plan.Released = append(p.plan.Released, Release{reserved.machine, reserved.slot})
}

// releaseReservationsForLimit releases reservations that the job overrides until its team's
// limit allows extra: lowest priority first, those of the job's own pipeline last.
func (p *pass) releaseReservationsForLimit(job *Job, extra Resources) {
	team := p.Teams[job.Spec.Team]
	var overridable []machineReservation
	for _, reserved := range p.reserved[job.Spec.Team] {
		if reserved.slot.overriddenInLimitBy(job) {
			overridable = append(overridable, reserved)
		}
	}
	slices.SortStableFunc(overridable, func(a, b machineReservation) int {
		if aOwn, bOwn := job.BelongsTo(a.slot.Pipeline), job.BelongsTo(b.slot.Pipeline); aOwn != bOwn {
			return compareFalseFirst(aOwn)
		}
		return cmp.Compare(a.slot.Priority, b.slot.Priority)
	})
	for _, reserved := range overridable {
		if team.Allows(extra) {
			return
		}
		p.releaseReservation(reserved)
	}
}

// releaseUnusableReservations releases the reservations that no job of their pipeline can use,
// because all its waiting jobs are gangs that would not fit into their team's limit even
// without any reservations. Reserving slot by slot for a gang of 24 once left the limit unused
// while the team's other jobs waited for it.
func (p *pass) releaseUnusableReservations() {
	if len(p.reserved) == 0 {
		return
	}
	for pipeline, usable := range p.usablePipelines() {
		if usable {
			continue
		}
		for _, reserved := range slices.Clone(p.reserved[pipeline.Team]) {
			if reserved.slot.Pipeline == pipeline {
				p.releaseReservation(reserved)
			}
		}
	}
}

// usablePipelines reports, for each pipeline with a waiting job in a team with reserved slots,
// whether any of its jobs could start within the team's limit if no slots were reserved.
func (p *pass) usablePipelines() map[Pipeline]bool {
	usable := make(map[Pipeline]bool)
	usageWithoutReservations := make(map[string]Resources)
	for _, job := range p.Jobs {
		name := job.Spec.Team
		team := p.Teams[name]
		if len(job.WaitingTasks) == 0 || len(p.reserved[name]) == 0 || team == nil {
			continue
		}
		usage, known := usageWithoutReservations[name]
		if !known {
			usage = team.Used
			for _, reserved := range p.reserved[name] {
				usage = usage.Sub(reserved.slot.Resources)
			}
			usageWithoutReservations[name] = usage
		}
		fits := !job.isGang() || team.withinLimit(usage.Add(job.waitingResources()))
		for _, pipeline := range [2]Pipeline{job.Pipeline(), job.DependencyPipeline()} {
			usable[pipeline] = usable[pipeline] || fits
		}
	}
	return usable
}

// compareFalseFirst compares a with a different value, in an order where false comes first: it
// returns -1 if a is false and 1 if a is true.
func compareFalseFirst(a bool) int {
	if a {
		return 1
	}
	return -1
}
