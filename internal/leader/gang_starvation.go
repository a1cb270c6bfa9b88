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
func (g *gangWaitStats) note(late bool) {
	g.good *= constants.LargeGangWaitDecay
	g.late *= constants.LargeGangWaitDecay
	if late {
		g.late++
	} else {
		g.good++
	}
}

// lift tells how far they must be lifted: over others of their priority when
// too many begin late, over all others when the users' bound is near.
func (g *gangWaitStats) lift() placement.Boost {
	part := 0.0
	if g.late > 0 {
		part = g.late / (g.good + g.late)
	}
	switch {
	case part > constants.LargeGangCriticalShare:
		return placement.BoostAboveAll
	case part > constants.LargeGangLateShare:
		return placement.BoostWithinPriority
	}
	return placement.NoBoost
}

// updateLargestGang keeps the largest size of each class up to date.
func (l *Leader) updateLargestGang(spec *jobs.Spec) {
	if spec.Kind != jobs.KindGang {
		return
	}
	g := l.gangWaits[spec.Class]
	if g == nil {
		g = &gangWaitStats{}
		l.gangWaits[spec.Class] = g
	}
	if spec.Tasks > g.size {
		// A few are taken to have begun in time, so that one late one does not
		// decide.
		*g = gangWaitStats{size: spec.Tasks, good: constants.LargeGangPriorOnTime}
	}
}

// countGangWait notes once how a job fared, if it is one of the largest: when it begins,
// or when it has waited too long.
func (l *Leader) countGangWait(j *jobState, now time.Time) {
	g := l.gangWaits[j.spec.Class]
	if j.waitCounted || j.blockedByUpstream() || j.fromEarlierTerm && !j.started.IsZero() || g == nil || j.spec.Kind != jobs.KindGang || j.spec.Tasks < g.size {
		return
	}
	late := now.Sub(j.view.Submitted) > constants.LargeGangLateAfter
	if !late && j.started.IsZero() {
		return
	}
	j.waitCounted = true
	g.note(late)
}

// boostedClasses names the classes whose largest jobs are to be lifted.
func (l *Leader) boostedClasses() map[string]placement.StarvingClass {
	out := make(map[string]placement.StarvingClass)
	for class, g := range l.gangWaits {
		if lift := g.lift(); lift != placement.NoBoost {
			out[class] = placement.StarvingClass{Size: g.size, Boost: lift}
		}
	}
	return out
}
