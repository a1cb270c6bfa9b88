package placement

import (
	"cmp"
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// Boost is how far a starving gang is moved up in the queue, so that none waits for ever
// behind a steady flow of others. It does not widen what the gang may preempt.
type Boost int

// How far a job is moved up.
const (
	NoBoost             Boost = iota
	BoostWithinPriority       // before others of its priority
	BoostAboveAll             // before all others
)

// StarvingClass names the gangs of a class that are boosted, by their least size.
type StarvingClass struct {
	Size  int // tasks
	Boost Boost
}

// MarkStarving boosts a few gangs: those of the given classes and from their sizes on,
// longest waiting first. Users want most of the largest jobs of a class to begin within
// some minutes whatever else is queued. Boosting is costly for the others, as machines
// stand empty until the last one for a large gang comes free, so it is done only where it
// is needed, and to few.
func MarkStarving(unfinished []*Job, starving map[string]StarvingClass, now time.Time) {
	var overdue []*Job
	for _, job := range unfinished {
		job.Boost = NoBoost
		class := starving[job.Spec.Class]
		if class.Size > 0 && job.Spec.Tasks >= class.Size && job.Spec.Kind == jobs.KindGang &&
			len(job.WaitingTasks) > 0 && now.Sub(job.Submitted) > constants.BoostAfter {
			overdue = append(overdue, job)
		}
	}
	slices.SortFunc(overdue, func(a, b *Job) int { return cmp.Compare(a.Order, b.Order) })
	for _, job := range overdue[:min(len(overdue), constants.MaxBoosted)] {
		job.Boost = starving[job.Spec.Class].Boost
	}
}
