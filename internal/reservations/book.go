// Package reservations is speculative slot reservation: it keeps the room of a
// pipeline's finished tasks for the pipeline's next job.
package reservations

import (
	"math"
	"slices"
	"sort"
	"time"

	"thornnotch/internal/placement"
)

// Options are the operators' settings of the holds.
type Options struct {
	Enabled             bool
	Alpha, P, Threshold float64
}

// Reservation is room on one machine kept for a pipeline.
type Reservation struct {
	Machine    string
	Pipeline   placement.Pipeline
	Upstream   string
	Downstream string
	Priority   int
	Resources  placement.Resources
	ExpiresAt  time.Time
}

// Downstream is a job that holds are for.
type Downstream struct {
	Pipeline      placement.Pipeline
	Job           string
	Tasks         int // 0: not known
	Priority      int
	TaskResources placement.Resources
}

// TaskFinish is the end of one upstream task.
type TaskFinish struct {
	Job               string
	Tasks             int       // m
	UpstreamStartedAt time.Time // when the upstream's first task started
	Runtime           time.Duration
	Machine           string
	// Downstreams are the jobs after this one that still wait to start, the first one to
	// be served first: along edges that users name there may be several.
	Downstreams []Downstream
	// Fits tells whether the freed room can and may take a task of one.
	Fits func(Downstream) bool
	Now  time.Time
}

// stage follows one upstream job.
type stage struct {
	finished int
	released int
	first    time.Duration // t_m: the first finisher's run time
	expires  time.Time
	// extra is the room still to be held from elsewhere, for m < n.
	extra int
	asked bool
	next  []Downstream
}

// Manager keeps the holds in memory.
type Manager struct {
	opt    Options
	holds  map[string][]Reservation // by machine
	stages map[string]*stage        // by upstream job
	counts map[string]int           // holds, by downstream job
}

// NewManager returns a manager without reservations.
func NewManager(opt Options) *Manager {
	return &Manager{opt: opt, holds: make(map[string][]Reservation), stages: make(map[string]*stage), counts: make(map[string]int)}
}

// Deadline is D of the paper's section IV: how long after the upstream's start
// its holds last, for a first finisher after tm and n tasks.
func (o Options) Deadline(tm time.Duration, n int) time.Duration {
	if n < 1 {
		n = 1
	}
	d := float64(tm) * math.Pow(1-math.Pow(o.P, 1/float64(n)), -1/o.Alpha)
	if d > float64(24*time.Hour) {
		return 24 * time.Hour
	}
	return time.Duration(d)
}

// TaskFinished takes in the end of an upstream task and reports whether its room
// is now held.
func (m *Manager) TaskFinished(f TaskFinish) bool {
	if !m.opt.Enabled {
		return false
	}
	s := m.stages[f.Job]
	if s == nil {
		s = &stage{first: f.Runtime}
		m.stages[f.Job] = s
	}
	s.finished++
	s.expires = f.UpstreamStartedAt.Add(m.opt.Deadline(s.first, f.Tasks))
	held := false
	if len(f.Downstreams) > 0 {
		upstreamTasks, downstreamTasks := f.Tasks, 0
		for _, d := range f.Downstreams {
			downstreamTasks += d.tasks(upstreamTasks)
		}
		s.next = f.Downstreams
		switch {
		case upstreamTasks > downstreamTasks && s.released < upstreamTasks-downstreamTasks:
			s.released++
		case s.expires.After(f.Now):
			held = m.holdFor(s, f.Job, f.Machine, upstreamTasks, f.Fits)
		}
		if upstreamTasks < downstreamTasks && !s.asked && float64(s.finished) > m.opt.Threshold*float64(upstreamTasks) {
			s.asked, s.extra = true, downstreamTasks-upstreamTasks
		}
	}
	if s.finished >= f.Tasks && s.extra == 0 {
		delete(m.stages, f.Job)
	}
	return held
}

// tasks is n of a job; unknown, it counts as the upstream's m.
func (d Downstream) tasks(upstreamTasks int) int {
	if d.Tasks == 0 {
		return upstreamTasks
	}
	return d.Tasks
}

// holdFor holds room for the first of a stage's jobs that has not all that it can use
// and that fits there.
//
// Several upstream jobs may end while the same one waits. It can use no more than its
// own tasks take; all else would only stand empty and use up the team's limit, as on
// Peakdale, where one gang of 24 had 237 machines held for it and could not start for
// that.
func (m *Manager) holdFor(s *stage, upstream, machine string, upstreamTasks int, fits func(Downstream) bool) bool {
	for _, d := range s.next {
		if m.counts[d.Job] < d.tasks(upstreamTasks) && fits(d) {
			m.add(Reservation{machine, d.Pipeline, upstream, d.Job, d.Priority, d.TaskResources, s.expires})
			return true
		}
	}
	return false
}

// OfferFreed offers room that came free elsewhere to the stages that hold more
// than their own; fits tells whether a task of the job can use it. The highest
// priority goes first.
func (m *Manager) OfferFreed(machine string, fits func(Downstream) bool, now time.Time) bool {
	var names []string
	for name, s := range m.stages {
		if s.extra > 0 {
			if !s.expires.After(now) {
				s.extra = 0
				continue
			}
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, c := m.stages[names[i]], m.stages[names[j]]
		if a.next[0].Priority != c.next[0].Priority {
			return a.next[0].Priority > c.next[0].Priority
		}
		return names[i] < names[j]
	})
	for _, name := range names {
		// An unknown n counts as m, and then nothing more is held from elsewhere.
		if s := m.stages[name]; m.holdFor(s, name, machine, 0, fits) {
			s.extra--
			return true
		}
	}
	return false
}

func (m *Manager) add(h Reservation) {
	m.holds[h.Machine] = append(m.holds[h.Machine], h)
	m.counts[h.Downstream]++
}

// uncount takes a hold that ends out of the counts.
func (m *Manager) uncount(h Reservation) {
	if m.counts[h.Downstream]--; m.counts[h.Downstream] <= 0 {
		delete(m.counts, h.Downstream)
	}
}

// Restore puts back a hold read from a machine's record.
func (m *Manager) Restore(h Reservation) {
	if m.opt.Enabled {
		m.add(h)
	}
}

// OnMachine lists the holds on a machine.
func (m *Manager) OnMachine(machine string) []Reservation { return m.holds[machine] }

// All lists every hold, by machine.
func (m *Manager) All() []Reservation {
	var out []Reservation
	for _, hs := range m.holds {
		out = append(out, hs...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Machine < out[j].Machine })
	return out
}

// Consume takes up one hold on the machine for a task that is its pipeline's own.
func (m *Manager) Consume(machine string, owns func(placement.Pipeline) bool) bool {
	for i, h := range m.holds[machine] {
		if owns(h.Pipeline) {
			m.remove(machine, i)
			return true
		}
	}
	return false
}

// ReleaseExcess removes holds on a machine, lowest priority first, until the room
// kept there is no more than fits.
func (m *Manager) ReleaseExcess(machine string, fits placement.Resources) (changed bool) {
	for len(m.holds[machine]) > 0 {
		var sum placement.Resources
		low := 0
		for i, h := range m.holds[machine] {
			sum = sum.Add(h.Resources)
			if h.Priority <= m.holds[machine][low].Priority {
				low = i
			}
		}
		if fits.Fits(sum) {
			break
		}
		m.remove(machine, low)
		changed = true
	}
	return changed
}

func (m *Manager) remove(machine string, i int) {
	hs := m.holds[machine]
	m.uncount(hs[i])
	hs = append(append([]Reservation(nil), hs[:i]...), hs[i+1:]...)
	if len(hs) == 0 {
		delete(m.holds, machine)
		return
	}
	m.holds[machine] = hs
}

// Expire removes what has expired or whose downstream job no longer waits, and
// names the machines that changed.
func (m *Manager) Expire(now time.Time, waits func(job string) bool) (changed []string) {
	for machine, hs := range m.holds {
		kept := hs[:0:0]
		for _, h := range hs {
			if h.ExpiresAt.After(now) && waits(h.Downstream) {
				kept = append(kept, h)
			} else {
				m.uncount(h)
			}
		}
		if len(kept) == len(hs) {
			continue
		}
		changed = append(changed, machine)
		if len(kept) == 0 {
			delete(m.holds, machine)
		} else {
			m.holds[machine] = kept
		}
	}
	for name, s := range m.stages {
		if s.expires.Before(now.Add(-time.Hour)) || s.extra > 0 && !slices.ContainsFunc(s.next, func(d Downstream) bool { return waits(d.Job) }) {
			delete(m.stages, name)
		}
	}
	sort.Strings(changed)
	return changed
}

// RemoveMachine forgets the holds of a machine that is leaving.
func (m *Manager) RemoveMachine(machine string) {
	for _, h := range m.holds[machine] {
		m.uncount(h)
	}
	delete(m.holds, machine)
}
