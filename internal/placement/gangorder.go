package placement

import (
	"cmp"
	"slices"
)

// orderSmallGangsFirst reorders the gangs of one rank where their team's limit can't hold
// all that waits, each team's within the places that its gangs have: those that can meet
// a target first, and of these the ones that take least of the limit. Users count jobs,
// whatever their size, and a large gang takes the place of several small ones. That the
// largest still begin in time is what boosting is for.
func (p *pass) orderSmallGangsFirst(rank []*Job) {
	places := make(map[string][]int)
	for i, job := range rank {
		if job.isGang() && p.limitIsShort(job.Spec.Team) {
			places[job.Spec.Team] = append(places[job.Spec.Team], i)
		}
	}
	for team, at := range places {
		limit := p.Teams[team].Limit
		gangs := pick(rank, at)
		slices.SortStableFunc(gangs, func(a, b *Job) int {
			if a.missedTargets() != b.missedTargets() {
				return falseFirst(a.missedTargets())
			}
			return cmp.Compare(a.waitingResources().DominantShare(limit), b.waitingResources().DominantShare(limit))
		})
		putBack(rank, at, gangs)
	}
}

// pick lists the jobs at the given places.
func pick(jobs []*Job, places []int) []*Job {
	picked := make([]*Job, len(places))
	for i, place := range places {
		picked[i] = jobs[place]
	}
	return picked
}

// putBack puts jobs into the given places.
func putBack(jobs []*Job, places []int, picked []*Job) {
	for i, place := range places {
		jobs[place] = picked[i]
	}
}
