package placement

import (
	"cmp"
	"slices"
)

// limitEarmark is the part of its team's limit that is kept for a gang that can start as soon
// as the stopping tasks on its machines have ended (Plan.AwaitingStops). The part that is kept
// for a boosted gang that does not fit into the limit yet is in Team.Earmarked.
type limitEarmark struct {
	job       *Job
	resources Resources
}

// earmarkLimit adds or renews the earmark for the gang's waiting tasks.
func (p *pass) earmarkLimit(gang *Job) {
	p.removeEarmark(gang)
	p.earmarks[gang.Spec.Team] = append(p.earmarks[gang.Spec.Team], limitEarmark{gang, gang.waitingResources()})
}

func (p *pass) removeEarmark(gang *Job) {
	team := gang.Spec.Team
	p.earmarks[team] = slices.DeleteFunc(p.earmarks[team], func(earmark limitEarmark) bool { return earmark.job == gang })
}

// renewEarmarks renews the earmarks of gangs that can start as soon as the stopping tasks on
// their machines have ended (Job.AwaitingStops). Otherwise, a smaller job of the team takes
// part of the limit in the meantime, the gang can't start, and the tasks that were preempted
// for it restart on the same machines and are preempted again a moment later. In one run with
// a network partition, this preempted 6,000 tasks in half a minute.
func (p *pass) renewEarmarks() {
	for _, job := range p.Jobs {
		if job.AwaitingStops && len(job.WaitingTasks) > 0 && !job.BackingOff && p.Teams[job.Spec.Team] != nil {
			p.earmarkLimit(job)
		}
	}
}

// earmarkForBoosted earmarks a part of the team's limit for a boosted gang that does not fit
// into the limit yet, unless the gang exceeds the whole limit or the pass has already
// earmarked a part of it for another boosted gang. Reservations that the gang overrides are
// released as far as the gang needs their part of the limit, because the jobs that they are
// for could not use them. The part of the limit that becomes free is kept for the gang;
// otherwise, jobs behind it would use it up piece by piece. Lower-priority jobs of the team may
// use this part until preempting their tasks is enough to start the gang: gangs run for
// minutes, and a tenth of the limit would be unused until enough of it is free. Then as many of
// the lower-priority tasks as necessary are preempted, and no job that is not boosted may take
// their place.
//
// A gang that is not boosted waits, and smaller jobs start in the meantime.
func (p *pass) earmarkForBoosted(gang *Job) {
	team := p.Teams[gang.Spec.Team]
	needed := gang.waitingResources()
	earmarkedForAnother := team.Earmarked != (Resources{})
	fitsAlone := (&Team{Limit: team.Limit}).Allows(needed)
	if earmarkedForAnother || !fitsAlone {
		return
	}
	stillNeeded := needed.Sub(p.usedByStopping[gang.Spec.Team])
	p.releaseReservationsForLimit(gang, stillNeeded)
	team.Earmarked, team.EarmarkMinPriority = needed, 0
	if !team.Allows(stillNeeded) && !p.preemptWithinTeam(gang, stillNeeded) {
		team.EarmarkMinPriority = gang.Priority
	}
}

// preemptWithinTeam preempts lower-priority tasks of the job's own team until the team's limit
// allows extra once they have ended: lowest priority first, then the least lost work. If
// preempting all of them would not be enough, it preempts nothing and returns false.
func (p *pass) preemptWithinTeam(job *Job, extra Resources) (enough bool) {
	type candidate struct {
		machine *Machine
		task    RunningTask
		costS   float64 // seconds of lost work
	}
	team := p.Teams[job.Spec.Team]
	var candidates []candidate
	preemptible := Resources{}
	for _, machine := range p.Machines {
		if !machine.usage.preemptible || machine.usage.lowestPriority >= job.Priority {
			continue
		}
		for _, task := range machine.RunningTasks {
			if task.Job != nil && !task.Stopping && task.Job.Spec.Team == job.Spec.Team && task.Job.Priority < job.Priority {
				candidates = append(candidates, candidate{machine, task, task.StopCost.Seconds()})
				preemptible = preemptible.Add(task.Resources)
			}
		}
	}
	if !team.Allows(extra.Sub(preemptible)) {
		return false
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.task.Job.Priority, b.task.Job.Priority), cmp.Compare(a.costS, b.costS))
	})
	for _, victim := range candidates {
		if team.Allows(extra) {
			break
		}
		p.preempt(job, victim.machine, victim.task)
		extra = extra.Sub(victim.task.Resources)
	}
	return true
}
