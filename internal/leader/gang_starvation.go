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
// largest gangs fare is therefore followed, class by class; where too many of
// them begin late, those that wait are boosted over others.

// gangWaits follows, by class, how long the largest gangs wait.
type gangWaits map[string]*gangWaitStats

// gangWaitStats follows the largest gangs of one class.
type gangWaitStats struct {
	size int // tasks of the largest
	// onTime and late count how they fared, older ones for less.
	onTime, late float64
}

// record takes in how one of them fared.
func (s *gangWaitStats) record(late bool) {
	s.onTime *= constants.LargeGangWaitDecay
	s.late *= constants.LargeGangWaitDecay
	if late {
		s.late++
	} else {
		s.onTime++
	}
}

// boost tells how far they must be boosted: over others of their priority when
// too many begin late, over all others when the users' bound is near.
func (s *gangWaitStats) boost() placement.Boost {
	lateShare := 0.0
	if s.late > 0 {
		lateShare = s.late / (s.onTime + s.late)
	}
	switch {
	case lateShare > constants.LargeGangCriticalShare:
		return placement.BoostAboveAll
	case lateShare > constants.LargeGangLateShare:
		return placement.BoostWithinPriority
	}
	return placement.NoBoost
}

// addJob keeps the largest size of each class up to date.
func (g gangWaits) addJob(spec *jobs.Spec) {
	if spec.Kind != jobs.KindGang {
		return
	}
	if stats := g[spec.Class]; stats != nil && spec.Tasks <= stats.size {
		return
	}
	// A few are taken to have begun in time, so that one late one does not
	// decide.
	g[spec.Class] = &gangWaitStats{size: spec.Tasks, onTime: constants.LargeGangPriorOnTime}
}

// observe notes once how a job fared, if it is one of the largest gangs: when it begins,
// or when it has waited too long.
func (g gangWaits) observe(job *jobState, now time.Time) {
	if job.spec.Kind != jobs.KindGang || job.gang.waitCounted || job.upstreams.blocked() {
		return
	}
	startedBeforeTerm := job.fromEarlierTerm && !job.started.IsZero()
	stats := g[job.spec.Class]
	if startedBeforeTerm || stats == nil || job.spec.Tasks < stats.size {
		return
	}
	late := now.Sub(job.view.Submitted) > constants.LargeGangLateAfter
	if !late && job.started.IsZero() {
		return
	}
	job.gang.waitCounted = true
	stats.record(late)
}

// boostedClasses names the classes whose largest gangs are to be boosted.
func (g gangWaits) boostedClasses() map[string]placement.StarvingClass {
	classes := make(map[string]placement.StarvingClass)
	for class, stats := range g {
		if boost := stats.boost(); boost != placement.NoBoost {
			classes[class] = placement.StarvingClass{Size: stats.size, Boost: boost}
		}
	}
	return classes
}
