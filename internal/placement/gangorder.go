package placement

import (
	"cmp"
	"slices"
)

// orderSmallGangsFirst reorders the gangs of one rank whose team's limit is too small for all
// its waiting tasks. Each team's gangs are permuted among their own positions: gangs that have
// missed all their targets go last and, within both groups, gangs that need a smaller share of
// the limit go first.
//
// Objectives count jobs regardless of their size, and a large gang takes the place of several
// small ones. Boosting ensures that the largest gangs still start in time.
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
				return compareFalseFirst(a.missedAllTargets())
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
