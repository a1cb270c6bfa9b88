package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// The users want most of the largest jobs of each class to begin within four
// minutes. Large gangs need many whole machines at once, and where there is more
// work than room, smaller work takes each machine as it comes free. How the
// largest jobs fare is therefore followed, class by class; where too many of
// them begin late, those that wait are lifted over others.

// gangWaitStats follows the largest gangs of one class.
type gangWaitStats struct {
	size int
	// good and late count how they fared, older ones for less.
	good, late float64
}

// note takes in how one of them fared.
func (s *gangWaitStats) note(late bool) {
	s.good *= constants.LargeGangWaitDecay
	s.late *= constants.LargeGangWaitDecay
	if late {
		s.late++
	} else {
		s.good++
	}
}

// boost tells how far they must be lifted: over others of their priority when
// too many begin late, over all others when the users' bound is near.
func (s *gangWaitStats) boost() placement.Boost {
	lateShare := 0.0
	if s.late > 0 {
		lateShare = s.late / (s.good + s.late)
	}
	switch {
	case lateShare > constants.LargeGangCriticalShare:
		return placement.BoostAboveAll
	case lateShare > constants.LargeGangLateShare:
		return placement.BoostWithinPriority
	}
	return placement.NoBoost
}

// updateLargestGang keeps the largest size of each class up to date.
func (l *Leader) updateLargestGang(spec *jobs.Spec) {
	if spec.Kind != jobs.KindGang {
		return
	}
	stats := l.gangWaits[spec.Class]
	if stats == nil {
		stats = &gangWaitStats{}
		l.gangWaits[spec.Class] = stats
	}
	if spec.Tasks > stats.size {
		// A few are taken to have begun in time, so that one late one does not
		// decide.
		*stats = gangWaitStats{size: spec.Tasks, good: constants.LargeGangPriorOnTime}
	}
}

// countGangWait notes once how a job fared, if it is one of the largest: when it begins,
// or when it has waited too long.
func (l *Leader) countGangWait(job *jobState, now time.Time) {
	stats := l.gangWaits[job.spec.Class]
	if job.waitCounted || job.blockedByUpstream() || job.fromEarlierTerm && !job.started.IsZero() || stats == nil || job.spec.Kind != jobs.KindGang || job.spec.Tasks < stats.size {
		return
	}
	late := now.Sub(job.view.Submitted) > constants.LargeGangLateAfter
	if !late && job.started.IsZero() {
		return
	}
	job.waitCounted = true
	stats.note(late)
}

// boostedClasses names the classes whose largest jobs are to be lifted.
func (l *Leader) boostedClasses() map[string]placement.StarvingClass {
	out := make(map[string]placement.StarvingClass)
	for class, stats := range l.gangWaits {
		if boost := stats.boost(); boost != placement.NoBoost {
			out[class] = placement.StarvingClass{Size: stats.size, Boost: boost}
		}
	}
	return out
}
