package placement

import (
	"sort"

	"thornnotch/internal/constants"
)

// Allows tells whether the team may use extra on top of what it uses.
func (t *Team) Allows(extra Resources) bool { return t.withinLimit(t.Used.Add(extra)) }

func (t *Team) withinLimit(use Resources) bool {
	return (t.Limit.CPUs <= 0 || use.CPUs <= t.Limit.CPUs+constants.ResourceTolerance) &&
		(t.Limit.GPUs <= 0 || use.GPUs <= t.Limit.GPUs+constants.ResourceTolerance)
}

// WithinGuarantee tells whether use as large as this lies within the guarantee. Only
// the kinds that are set count, and a team with none set has no guarantee.
func (t *Team) WithinGuarantee(use Resources) bool {
	if t.Guarantee.CPUs <= 0 && t.Guarantee.GPUs <= 0 {
		return false
	}
	return (t.Guarantee.CPUs <= 0 || use.CPUs <= t.Guarantee.CPUs+constants.ResourceTolerance) &&
		(t.Guarantee.GPUs <= 0 || use.GPUs <= t.Guarantee.GPUs+constants.ResourceTolerance)
}

// MarkGuaranteed sets Guaranteed on all unfinished jobs: a job lies within its team's
// guarantee when it fits there together with the team's earlier ones.
func MarkGuaranteed(unfinished []*Job, teams map[string]*Team) {
	sort.Slice(unfinished, func(i, j int) bool { return unfinished[i].Order < unfinished[j].Order })
	requested := make(map[string]Resources)
	for _, job := range unfinished {
		team := teams[job.Spec.Team]
		if team == nil {
			continue
		}
		total := requested[job.Spec.Team].Add(TaskResources(job.Spec).Times(job.Spec.Tasks))
		requested[job.Spec.Team] = total
		job.Guaranteed = team.WithinGuarantee(total)
	}
}

// aboveGuarantee tells whether a team uses more than its guarantee, without what its
// stopping tasks take.
func (p *pass) aboveGuarantee(name string) bool {
	above, known := p.aboveGuaranteeCache[name]
	if !known {
		team := p.Teams[name]
		above = team != nil && !team.WithinGuarantee(team.Used.Sub(p.stopping[name]))
		if p.aboveGuaranteeCache != nil {
			p.aboveGuaranteeCache[name] = above
		}
	}
	return above
}

// limitAllows tells whether the job's team may use extra on top, once what is reserved
// for lower jobs has given way. What is promised to a boosted gang, or to one that room
// is being made for, is left to it, except by jobs of higher priority.
func (p *pass) limitAllows(job *Job, extra Resources) bool {
	team := p.Teams[job.Spec.Team]
	if job.Boost == NoBoost {
		if job.Priority >= team.PromisedBelow {
			extra = extra.Add(team.Promised)
		}
		extra = extra.Add(p.leftToLowerJobs(job))
		for _, promise := range p.limitPromises[job.Spec.Team] {
			if promise.job != job && promise.job.Priority >= job.Priority {
				extra = extra.Add(promise.resources)
			}
		}
	}
	if team.Allows(extra) {
		return true
	}
	return len(p.reserved[job.Spec.Team]) > 0 && team.Allows(extra.Sub(p.overridableLimit(job)))
}

// limitIsShort tells whether the team's limit is too small for all that it has waiting.
func (p *pass) limitIsShort(name string) bool {
	short, known := p.limitShortCache[name]
	if !known {
		if team := p.Teams[name]; team != nil {
			waiting := Resources{}
			for _, job := range p.Jobs {
				if job.Spec.Team == name && !job.Blocked {
					waiting = waiting.Add(job.waitingResources())
				}
			}
			short = !team.Allows(waiting)
		}
		p.limitShortCache[name] = short
	}
	return short
}

// teamBelow names a team's jobs below a priority.
type teamBelow struct {
	team     string
	priority int
}

// leftToLowerJobs is the part of its team's limit that a job which has missed all its
// targets leaves to the team's jobs of lower priority that can still meet one. Taking it
// from them would help nobody's targets.
//
// The job's place in the queue stays as it is: whoever may preempt another's tasks must
// stand before it, or the room goes back to what was preempted, pass after pass.
func (p *pass) leftToLowerJobs(job *Job) Resources {
	if !job.missedTargets() || job.Draining || !p.limitIsShort(job.Spec.Team) {
		// A draining gang keeps its promise: to give it up for a lower job, preempt that
		// one's tasks and begin anew would go on pass after pass.
		return Resources{}
	}
	key := teamBelow{job.Spec.Team, job.Priority}
	sum, known := p.onTimeCache[key]
	if !known {
		for _, lower := range p.Jobs {
			if lower.Spec.Team == key.team && lower.Priority < key.priority && !lower.Blocked && !lower.Late {
				sum = sum.Add(lower.waitingResources())
			}
		}
		p.onTimeCache[key] = sum
	}
	return sum
}
