package placement

import (
	"sort"

	"thornnotch/internal/constants"
)

// Allows reports whether the team may use extra in addition to its present usage.
func (t *Team) Allows(extra Resources) bool { return t.withinLimit(t.Used.Add(extra)) }

func (t *Team) withinLimit(usage Resources) bool {
	return (t.Limit.CPUs <= 0 || usage.CPUs <= t.Limit.CPUs+constants.ResourceTolerance) &&
		(t.Limit.GPUs <= 0 || usage.GPUs <= t.Limit.GPUs+constants.ResourceTolerance)
}

// WithinGuarantee reports whether the usage is within the team's guarantee. Only the resources
// for which a guarantee is set are compared. If none is set, no usage is within the guarantee.
func (t *Team) WithinGuarantee(usage Resources) bool {
	if t.Guarantee.CPUs <= 0 && t.Guarantee.GPUs <= 0 {
		return false
	}
	return (t.Guarantee.CPUs <= 0 || usage.CPUs <= t.Guarantee.CPUs+constants.ResourceTolerance) &&
		(t.Guarantee.GPUs <= 0 || usage.GPUs <= t.Guarantee.GPUs+constants.ResourceTolerance)
}

// MarkGuaranteed updates Guaranteed of all unfinished jobs, which it sorts by submission. A job
// is within its team's guarantee if it fits into it together with the team's earlier jobs.
func MarkGuaranteed(unfinished []*Job, teams map[string]*Team) {
	sort.Slice(unfinished, func(i, j int) bool { return unfinished[i].SubmissionRevision < unfinished[j].SubmissionRevision })
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

// aboveGuarantee reports whether the team uses more than its guarantee, not counting its
// stopping tasks.
func (p *pass) aboveGuarantee(name string) bool {
	above, known := p.aboveGuaranteeCache[name]
	if !known {
		team := p.Teams[name]
		above = team != nil && !team.WithinGuarantee(team.Used.Sub(p.usedByStopping[name]))
		if p.aboveGuaranteeCache != nil {
			p.aboveGuaranteeCache[name] = above
		}
	}
	return above
}

// limitAllows reports whether the job's team may use extra after the reservations that the job
// overrides have been released. Unless it is boosted, the job can't use the parts of the limit
// that are earmarked for a boosted gang (see Team.EarmarkMinPriority) or for gangs of equal or
// higher priority that wait for stopping tasks, nor the part that lowerPriorityOnTimeDemand
// returns.
func (p *pass) limitAllows(job *Job, extra Resources) bool {
	team := p.Teams[job.Spec.Team]
	if job.Boost == NoBoost {
		if job.Priority >= team.EarmarkMinPriority {
			extra = extra.Add(team.Earmarked)
		}
		extra = extra.Add(p.lowerPriorityOnTimeDemand(job))
		for _, earmark := range p.earmarks[job.Spec.Team] {
			if earmark.job != job && earmark.job.Priority >= job.Priority {
				extra = extra.Add(earmark.resources)
			}
		}
	}
	if team.Allows(extra) {
		return true
	}
	return len(p.reserved[job.Spec.Team]) > 0 && team.Allows(extra.Sub(p.overridableResources(job)))
}

// demandExceedsLimit reports whether the team's limit is too small for all its waiting tasks.
func (p *pass) demandExceedsLimit(name string) bool {
	exceeds, known := p.demandExceedsLimitCache[name]
	if !known {
		if team := p.Teams[name]; team != nil {
			waiting := Resources{}
			for _, job := range p.Jobs {
				if job.Spec.Team == name && !job.BackingOff {
					waiting = waiting.Add(job.waitingResources())
				}
			}
			exceeds = !team.Allows(waiting)
		}
		p.demandExceedsLimitCache[name] = exceeds
	}
	return exceeds
}

// teamBelowPriority identifies a team's jobs below a priority.
type teamBelowPriority struct {
	team     string
	priority int
}

// lowerPriorityOnTimeDemand returns the part of the team's limit that the job must leave to
// lower-priority jobs of the team. Only a job that has missed all its targets leaves any: the
// resources requested by the lower-priority jobs that can still meet one. If the late job used
// this part itself, it would still meet no target.
//
// The job's position in the queue does not change: a job that may preempt another's tasks must
// precede that job. Otherwise, the preempted job would take the resources back in the next
// pass, and again in each pass after it.
func (p *pass) lowerPriorityOnTimeDemand(job *Job) Resources {
	if !job.missedAllTargets() || job.AwaitingStops || !p.demandExceedsLimit(job.Spec.Team) {
		// A gang that waits for stopping tasks keeps its earmark. Otherwise, it would leave the
		// limit to a lower-priority job, preempt that job's tasks and start over, pass after
		// pass.
		return Resources{}
	}
	key := teamBelowPriority{job.Spec.Team, job.Priority}
	sum, known := p.onTimeDemandCache[key]
	if !known {
		for _, lower := range p.Jobs {
			if lower.Spec.Team == key.team && lower.Priority < key.priority && !lower.BackingOff && !lower.Late {
				sum = sum.Add(lower.waitingResources())
			}
		}
		p.onTimeDemandCache[key] = sum
	}
	return sum
}
