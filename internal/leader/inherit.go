package leader

import (
	"slices"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/userapi"
)

// Users set the due time and the priority that they care about on the last job of a
// chain only. The jobs before it inherit them, through all that need them: the
// highest priority, and the latest start that still lets the rest of the chain end
// in time. What a job inherits changes only with those that wait for it.

// demand is what the jobs that need a job ask of it.
type demand struct {
	priority int
	start    time.Time // the latest; zero if nothing is due
}

// expects is how long a job's tasks are expected to run: as its owner says, by how
// the class has kept to that lately.
func (l *Leader) expects(j *job) time.Duration {
	ratio := 1.0
	if r, ok := l.kept[j.spec.Class]; ok {
		ratio = min(max(r, 1/constants.ExpectMost), constants.ExpectMost)
	}
	return config.Seconds(j.spec.ExpectedS * ratio)
}

// keeps notes how long a task ran against what its owner expected.
func (l *Leader) keeps(j *job, ran time.Duration) {
	if j.spec.ExpectedS <= 0 {
		return
	}
	ratio := ran.Seconds() / j.spec.ExpectedS
	was, ok := l.kept[j.spec.Class]
	if !ok {
		was = ratio
	}
	l.kept[j.spec.Class] = was + (ratio-was)*constants.ExpectWeight
}

// latest is when a job must start at the latest for itself and those that need it to
// be in time; zero if nothing is due.
func (l *Leader) latest(j *job) (at time.Time) {
	if j.spec.DueS != nil {
		at = j.accepted.Add(config.Seconds(*j.spec.DueS) - l.expects(j))
	}
	if s := j.needed.start; !s.IsZero() && (at.IsZero() || s.Before(at)) {
		at = s
	}
	return at
}

// inherit reckons anew what the jobs of these names are needed for, and those before
// them as far as that changes anything.
func (l *Leader) inherit(names []string) {
	for queue := names; len(queue) > 0; queue = queue[1:] {
		p := l.jobs[queue[0]]
		if p == nil {
			continue
		}
		var d demand
		for _, c := range l.waits.after[p.spec.ID] {
			if c.gone {
				continue
			}
			d.priority = max(d.priority, c.view.Priority)
			if at := l.latest(c); !at.IsZero() {
				if at = at.Add(-l.expects(p) - constants.ChainStep); d.start.IsZero() || at.Before(d.start) {
					d.start = at
				}
			}
		}
		if d.priority == p.needed.priority && d.start.Equal(p.needed.start) {
			continue
		}
		p.needed = d
		p.view.Priority = max(userapi.Priority(p.spec.PriorityClass), d.priority)
		l.aim(p)
		for name := range p.before {
			queue = append(queue, name)
		}
	}
}

// aim sets the latest starts that a job has to meet: its users', and that of those
// that need it.
func (l *Leader) aim(j *job) {
	j.view.Targets = l.targets(j.spec, j.view.Submitted.Sub(j.accepted))
	if s := j.needed.start; !s.IsZero() {
		j.view.Targets = append(j.view.Targets, s.Sub(j.view.Submitted))
		slices.Sort(j.view.Targets)
	}
	j.stale = true
	l.dirty = true
}
