package placement

import (
	"cmp"
	"slices"
)

// orderSmallGangsFirst reorders the gangs of one rank whose team has more waiting than its
// limit allows. Each team's gangs are permuted among their own positions: first those that can
// still meet a target, then those that use the smaller share of the limit. Objectives count
// jobs regardless of their size, and a large gang takes the place of several small ones.
// Boosting ensures that the largest gangs still start in time.
func (p *pass) orderSmallGangsFirst(rank []*Job) {
	positionsByTeam := make(map[string][]int)
	for i, job := range rank {
		if job.isGang() && p.demandExceedsLimit(job.Spec.Team) {
			positionsByTeam[job.Spec.Team] = append(positionsByTeam[job.Spec.Team], i)
		}
	}
	for team, positions := range positionsByTeam {
		limit := p.Teams[team].Limit
		gangs := jobsAt(rank, positions)
		slices.SortStableFunc(gangs, func(a, b *Job) int {
			if a.missedAllTargets() != b.missedAllTargets() {
				return falseFirst(a.missedAllTargets())
			}
			return cmp.Compare(a.waitingResources().DominantShare(limit), b.waitingResources().DominantShare(limit))
		})
		setJobsAt(rank, positions, gangs)
	}
}

// jobsAt returns the jobs at the given positions.
func jobsAt(jobs []*Job, positions []int) []*Job {
	selected := make([]*Job, len(positions))
	for i, position := range positions {
		selected[i] = jobs[position]
	}
	return selected
}

// setJobsAt puts the replacements at the given positions.
func setJobsAt(jobs []*Job, positions []int, replacements []*Job) {
	for i, position := range positions {
		jobs[position] = replacements[i]
	}
}
