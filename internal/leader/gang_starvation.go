package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// Users expect most of the largest gangs of each class to start within four minutes. Large
// gangs need many whole machines at once, and when demand exceeds capacity, smaller jobs take
// each machine as soon as it is free. The waits of the largest gangs are therefore tracked by
// class, and where too many of them start late, those still waiting are boosted over other
// jobs.

// gangWaits tracks, by class, how long the largest gangs wait.
type gangWaits map[string]*gangWaitStats

// gangWaitStats holds the statistics of the largest gangs of one class.
type gangWaitStats struct {
	maxTasks int // tasks of the largest gang
	// onTime and late count the observed gangs. Counts decay, so older ones weigh less.
	onTime, late float64
}

// record adds one observed gang.
func (s *gangWaitStats) record(late bool) {
	s.onTime *= constants.LargeGangWaitDecay
	s.late *= constants.LargeGangWaitDecay
	if late {
		s.late++
	} else {
		s.onTime++
	}
}

// boost returns the boost for the waiting gangs. They go before other jobs of their priority if
// too many gangs start late, and before all other jobs if the share of late gangs is near one
// half, the users' limit.
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

// addJob starts new statistics for the job's class if the job is a gang that is larger than all
// earlier gangs of the class.
func (g gangWaits) addJob(spec *jobs.Spec) {
	if spec.Kind != jobs.KindGang {
		return
	}
	if stats := g[spec.Class]; stats != nil && spec.Tasks <= stats.maxTasks {
		return
	}
	// A few gangs are assumed to have started in time, so that a single late one does not
	// trigger a boost.
	g[spec.Class] = &gangWaitStats{maxTasks: spec.Tasks, onTime: constants.LargeGangPriorOnTime}
}

// observe records, once per gang, whether one of the largest gangs started in time. It records
// a gang when the gang has started or has waited too long.
func (g gangWaits) observe(job *jobState, now time.Time) {
	if job.spec.Kind != jobs.KindGang || job.gang.waitCounted || job.upstreams.blocked() {
		return
	}
	startedBeforeTerm := job.fromEarlierTerm && !job.startedAt.IsZero()
	stats := g[job.spec.Class]
	if startedBeforeTerm || stats == nil || job.spec.Tasks < stats.maxTasks {
		return
	}
	late := now.Sub(job.view.Submitted) > constants.LargeGangLateAfter
	if !late && job.startedAt.IsZero() {
		return
	}
	job.gang.waitCounted = true
	stats.record(late)
}

// boostedClasses returns the classes whose largest gangs must be boosted.
func (g gangWaits) boostedClasses() map[string]placement.StarvingClass {
	classes := make(map[string]placement.StarvingClass)
	for class, stats := range g {
		if boost := stats.boost(); boost != placement.NoBoost {
			classes[class] = placement.StarvingClass{MinTasks: stats.maxTasks, Boost: boost}
		}
	}
	return classes
}
