package placement

import (
	"cmp"
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// Boost is how far a starving gang moves up in the queue, so that a steady flow of other jobs
// can't delay it forever. It does not extend what the gang may preempt.
type Boost int

// Levels of boost.
const (
	NoBoost             Boost = iota
	BoostWithinPriority       // before other jobs of the same priority
	BoostAboveAll             // before all other jobs
)

// StarvingClass specifies which gangs of a class are boosted and how far.
type StarvingClass struct {
	MinTasks int // smaller gangs are not boosted
	Boost    Boost
}

// BoostStarvingGangs boosts a few gangs of the given classes that have at least MinTasks
// tasks, the longest waiting first, and clears the boost of all other jobs. Users expect most
// of the largest jobs of a class to start within a few minutes, regardless of the rest of the
// queue. Boosting is costly for other jobs, because the machines for a large gang stand empty
// until the last of them becomes free. Therefore, only a few gangs are boosted, and only in
// classes that need it.
func BoostStarvingGangs(unfinished []*Job, starving map[string]StarvingClass, now time.Time) {
	var overdue []*Job
	for _, job := range unfinished {
		job.Boost = NoBoost
		class := starving[job.Spec.Class]
		if class.MinTasks > 0 && job.Spec.Tasks >= class.MinTasks && job.Spec.Kind == jobs.KindGang &&
			len(job.WaitingTasks) > 0 && now.Sub(job.Submitted) > constants.GangBoostAfter {
			overdue = append(overdue, job)
		}
	}
	slices.SortFunc(overdue, func(a, b *Job) int { return cmp.Compare(a.SubmissionRevision, b.SubmissionRevision) })
	for _, job := range overdue[:min(len(overdue), constants.MaxBoostedGangs)] {
		job.Boost = starving[job.Spec.Class].Boost
	}
}
