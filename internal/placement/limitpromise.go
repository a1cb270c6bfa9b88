package placement

import (
	"cmp"
	"slices"
)

// limitPromise is a part of a team's limit that a gang will need in a moment.
type limitPromise struct {
	job       *Job
	resources Resources
}

// promiseLimit adds a gang's promise, or renews it.
func (p *pass) promiseLimit(gang *Job) {
	p.endLimitPromise(gang)
	p.limitPromises[gang.Spec.Team] = append(p.limitPromises[gang.Spec.Team], limitPromise{gang, gang.waitingResources()})
}

func (p *pass) endLimitPromise(gang *Job) {
	team := gang.Spec.Team
	p.limitPromises[team] = slices.DeleteFunc(p.limitPromises[team], func(promise limitPromise) bool { return promise.job == gang })
}

// renewLimitPromises renews those of the gangs that machines are being emptied for. Else
// a smaller job of the team takes some of the limit meanwhile, the gang can't start, what
// was preempted for it begins anew on the same machines, and is preempted again a moment
// later: six thousand tasks in half a minute on Peakdale's day with a partition.
func (p *pass) renewLimitPromises() {
	for _, job := range p.Jobs {
		if job.Draining && len(job.WaitingTasks) > 0 && !job.Blocked && p.Teams[job.Spec.Team] != nil {
			p.promiseLimit(job)
		}
	}
}

// keepLimitForBoosted is called for a boosted gang whose team is at its limit.
// Reservations for jobs that it goes before give way at once: those jobs could not use
// them. What comes free of the limit is kept for the gang, else jobs behind it go on
// taking each bit. Lower jobs of its team may use it until the gang could start by
// preempting them: gangs run for minutes, and a tenth of the limit would stand idle while
// enough of it comes together. Then lower tasks are preempted, as far as the gang needs,
// and nobody takes their place.
//
// A gang that is not boosted waits, and smaller jobs go on meanwhile.
func (p *pass) keepLimitForBoosted(gang *Job) {
	team := p.Teams[gang.Spec.Team]
	needed := gang.waitingResources()
	keptForAnother := team.Promised != (Resources{})
	everFits := (&Team{Limit: team.Limit}).Allows(needed)
	if keptForAnother || !everFits {
		return
	}
	missing := needed.Sub(p.stopping[gang.Spec.Team])
	p.releaseForLimit(gang, missing)
	team.Promised, team.PromisedBelow = needed, 0
	if !team.Allows(missing) && !p.preemptOwnTeam(gang, missing) {
		team.PromisedBelow = gang.Priority
	}
}

// preemptOwnTeam preempts tasks of the job's own team that are lower in priority, until
// its team could use extra more once they are gone: those of the lowest priority first,
// and of these those that lose least. It preempts none if all of them are not enough.
func (p *pass) preemptOwnTeam(job *Job, extra Resources) (enough bool) {
	type candidate struct {
		machine *Machine
		task    RunningTask
		cost    float64 // seconds of lost work
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
		return cmp.Or(cmp.Compare(a.task.Job.Priority, b.task.Job.Priority), cmp.Compare(a.cost, b.cost))
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
