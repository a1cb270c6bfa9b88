package placement

import (
	"cmp"
	"slices"
)

// Reserved slots keep a pipeline's room on a machine, and count toward their team's
// limit. In both they give way to the jobs that may take them: the order of a team's own
// jobs has to hold for its limit as it does for machines.

// reservedOn is a reserved slot with its machine.
type reservedOn struct {
	machine *Machine
	slot    ReservedSlot
}

// overriddenBy tells whether a reservation gives way to the job: to its own pipeline, and
// to jobs of higher priority (paper, III-B, "Support of priority scheduling"). A boosted
// gang goes before others of its priority, or before all. In its team's limit a
// reservation gives way just as it does on its machine.
//
// Without this, slots reserved for jobs that may not start, as the team's limit is kept
// for a boosted gang, stand until they expire, while the gang waits for the limit that
// they take: both wait for the other for a quarter of an hour.
func (s ReservedSlot) overriddenBy(job *Job) bool {
	switch {
	case job.Owns(s.Pipeline), job.Boost == BoostAboveAll:
		return true
	case job.Boost == BoostWithinPriority:
		return s.Priority <= job.Priority
	}
	return s.Priority < job.Priority
}

// overriddenInLimitBy tells whether a reservation gives way to the job in their team's
// limit. A reserved slot counts toward it, yet a job that waits for others takes no part
// of it: what is reserved for one that may not start gives way to any job of the team
// that may.
func (s ReservedSlot) overriddenInLimitBy(job *Job) bool {
	return s.Blocked || s.overriddenBy(job)
}

// closedTo tells whether the reserved room is closed to a job. It never keeps another
// team from its guarantee.
func (s ReservedSlot) closedTo(job *Job) bool {
	if s.overriddenBy(job) {
		return false
	}
	return !job.Guaranteed || job.Spec.Team == s.Pipeline.Team
}

// hasReservedFor tells whether a slot on the machine is reserved for the job's pipeline.
func (m *Machine) hasReservedFor(job *Job) bool {
	for _, slot := range m.Reserved {
		if job.Owns(slot.Pipeline) {
			return true
		}
	}
	return false
}

// overridableLimit is the part of the job's team's limit that is reserved and gives way
// to the job. Its own pipeline's slots are part of it: whatever they amount to, they must
// never keep the job that they are for from starting. The sum is asked for machine after
// machine, so that of the last job is kept until a reservation ends.
func (p *pass) overridableLimit(job *Job) Resources {
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

// unreserve takes a reserved slot off its machine and off its team's use.
func (p *pass) unreserve(reserved reservedOn) {
	p.overridableFor = nil
	machine, teamName := reserved.machine, reserved.slot.Pipeline.Team
	if at := slices.Index(machine.Reserved, reserved.slot); at >= 0 {
		// A new slice: the old one may be iterated over.
		machine.Reserved = slices.Concat(machine.Reserved[:at], machine.Reserved[at+1:])
	}
	if team := p.Teams[teamName]; team != nil {
		team.Used = team.Used.Sub(reserved.slot.Resources)
	}
	if at := slices.Index(p.reserved[teamName], reserved); at >= 0 {
		p.reserved[teamName] = slices.Delete(p.reserved[teamName], at, at+1)
	}
}

// release ends a reservation for good.
func (p *pass) release(reserved reservedOn) {
	p.unreserve(reserved)
	p.plan.Released = append(p.plan.Released, Release{reserved.machine, reserved.slot})
}

// releaseForLimit releases as many of the reservations that give way to the job as its
// team needs to use extra on top: the lowest first, the job's own pipeline's last.
func (p *pass) releaseForLimit(job *Job, extra Resources) {
	team := p.Teams[job.Spec.Team]
	var overridable []reservedOn
	for _, reserved := range p.reserved[job.Spec.Team] {
		if reserved.slot.overriddenInLimitBy(job) {
			overridable = append(overridable, reserved)
		}
	}
	slices.SortStableFunc(overridable, func(a, b reservedOn) int {
		if aOwn, bOwn := job.Owns(a.slot.Pipeline), job.Owns(b.slot.Pipeline); aOwn != bOwn {
			return falseFirst(aOwn)
		}
		return cmp.Compare(a.slot.Priority, b.slot.Priority)
	})
	for _, reserved := range overridable {
		if team.Allows(extra) {
			return
		}
		p.release(reserved)
	}
}

// releaseUseless releases the reservations that no job of their pipeline can use: all
// that wait are gangs for which their team's limit has no room even without any
// reservation. Reserved slot by slot for a gang of 24, the limit stood idle while the
// team's other jobs waited for it.
func (p *pass) releaseUseless() {
	if len(p.reserved) == 0 {
		return
	}
	for pipeline, usable := range p.pipelinesByUse() {
		if usable {
			continue
		}
		for _, reserved := range slices.Clone(p.reserved[pipeline.Team]) {
			if reserved.slot.Pipeline == pipeline {
				p.release(reserved)
			}
		}
	}
}

// pipelinesByUse tells, for each pipeline that has a job waiting in a team with reserved
// slots, whether any of its jobs could start within the team's limit.
func (p *pass) pipelinesByUse() map[Pipeline]bool {
	usable := make(map[Pipeline]bool)
	unreservedUse := make(map[string]Resources)
	for _, job := range p.Jobs {
		name := job.Spec.Team
		team := p.Teams[name]
		if len(job.WaitingTasks) == 0 || len(p.reserved[name]) == 0 || team == nil {
			continue
		}
		use, known := unreservedUse[name]
		if !known {
			use = team.Used
			for _, reserved := range p.reserved[name] {
				use = use.Sub(reserved.slot.Resources)
			}
			unreservedUse[name] = use
		}
		fits := !job.isGang() || team.withinLimit(use.Add(job.waitingResources()))
		for _, pipeline := range [2]Pipeline{job.Pipeline(), job.EdgePipeline()} {
			usable[pipeline] = usable[pipeline] || fits
		}
	}
	return usable
}

// falseFirst is the result of comparing a with its opposite in an order in which false
// comes first.
func falseFirst(a bool) int {
	if a {
		return 1
	}
	return -1
}
