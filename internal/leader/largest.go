package leader

import (
	"time"

	"thornnotch/internal/intake"
	"thornnotch/internal/tuning"
)

// The users want most of the largest jobs of each class to begin within four
// minutes. Large gangs need many whole machines at once, and where there is more
// work than room, smaller work takes each machine as it comes free. How the
// largest jobs fare is therefore followed, class by class; where too many of
// them begin late, those that wait are lifted over all others.

// largest follows the largest gangs of one class.
type largest struct {
	size int
	// good and late count how they fared, older ones for less.
	good, late float64
}

// note takes in how one of them fared.
func (g *largest) note(late bool) {
	g.good *= tuning.LargestMemory
	g.late *= tuning.LargestMemory
	if late {
		g.late++
	} else {
		g.good++
	}
}

// needsLift tells whether too many begin late.
func (g *largest) needsLift() bool {
	return g.late > 0 && g.late > tuning.LargestLate*(g.good+g.late)
}

// sized keeps the largest size of each class up to date.
func (l *Leader) sized(spec *intake.Job) {
	if spec.Shape != intake.Gang || spec.Pieces < 2 {
		return
	}
	g := l.largest[spec.Workload]
	if g == nil {
		g = &largest{}
		l.largest[spec.Workload] = g
	}
	if spec.Pieces > g.size {
		*g = largest{size: spec.Pieces}
	}
}

// fared notes once how a job fared, if it is one of the largest: when it begins,
// or when it has waited too long.
func (l *Leader) fared(j *job, now time.Time) {
	g := l.largest[j.spec.Workload]
	if j.noted || j.inherited && !j.started.IsZero() || g == nil || j.spec.Shape != intake.Gang || j.spec.Pieces < g.size {
		return
	}
	late := now.Sub(j.view.Submitted) > tuning.LargestWithin
	if !late && j.started.IsZero() {
		return
	}
	j.noted = true
	g.note(late)
}

// lift names the classes whose largest jobs are to be lifted, with their size.
func (l *Leader) lift() map[string]int {
	out := make(map[string]int)
	for class, g := range l.largest {
		if g.needsLift() {
			out[class] = g.size
		}
	}
	return out
}
