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

// Hold is room on one machine kept for a pipeline.
type Hold struct {
	Machine    string
	Pipeline   placement.Pipeline
	Upstream   string
	Downstream string
	Priority   int
	Room       placement.Room
	Expires    time.Time
}

// Downstream is a job that holds are for.
type Downstream struct {
	Pipeline placement.Pipeline
	Job      string
	Pieces   int // 0: not known
	Priority int
	Need     placement.Room
}

// Finish is the end of one upstream task.
type Finish struct {
	Job     string
	Pieces  int       // m
	Started time.Time // when the upstream's first task started
	Ran     time.Duration
	Machine string
	// Next are the jobs after this one that still wait to start, the first one to
	// be served first: along edges that users name there may be several.
	Next []Downstream
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

// Book keeps the holds in memory.
type Book struct {
	opt    Options
	holds  map[string][]Hold // by machine
	stages map[string]*stage // by upstream job
	counts map[string]int    // holds, by downstream job
}

// New makes an empty book.
func New(opt Options) *Book {
	return &Book{opt: opt, holds: make(map[string][]Hold), stages: make(map[string]*stage), counts: make(map[string]int)}
}

// Lapse is D of the paper's section IV: how long after the upstream's start
// its holds last, for a first finisher after tm and n tasks.
func (o Options) Lapse(tm time.Duration, n int) time.Duration {
	if n < 1 {
		n = 1
	}
	d := float64(tm) * math.Pow(1-math.Pow(o.P, 1/float64(n)), -1/o.Alpha)
	if d > float64(24*time.Hour) {
		return 24 * time.Hour
	}
	return time.Duration(d)
}

// Finished takes in the end of an upstream task and reports whether its room
// is now held.
func (b *Book) Finished(f Finish) bool {
	if !b.opt.Enabled {
		return false
	}
	s := b.stages[f.Job]
	if s == nil {
		s = &stage{first: f.Ran}
		b.stages[f.Job] = s
	}
	s.finished++
	s.expires = f.Started.Add(b.opt.Lapse(s.first, f.Pieces))
	held := false
	if len(f.Next) > 0 {
		m, n := f.Pieces, 0
		for _, d := range f.Next {
			n += d.tasks(m)
		}
		s.next = f.Next
		switch {
		case m > n && s.released < m-n:
			s.released++
		case s.expires.After(f.Now):
			held = b.holdFor(s, f.Job, f.Machine, m, f.Fits)
		}
		if m < n && !s.asked && float64(s.finished) > b.opt.Threshold*float64(m) {
			s.asked, s.extra = true, n-m
		}
	}
	if s.finished >= f.Pieces && s.extra == 0 {
		delete(b.stages, f.Job)
	}
	return held
}

// tasks is n of a job; unknown, it counts as the upstream's m.
func (d Downstream) tasks(m int) int {
	if d.Pieces == 0 {
		return m
	}
	return d.Pieces
}

// holdFor holds room for the first of a stage's jobs that has not all that it can use
// and that fits there.
//
// Several upstream jobs may end while the same one waits. It can use no more than its
// own tasks take; all else would only stand empty and use up the team's limit, as on
// Peakdale, where one gang of 24 had 237 machines held for it and could not start for
// that.
func (b *Book) holdFor(s *stage, upstream, machine string, m int, fits func(Downstream) bool) bool {
	for _, d := range s.next {
		if b.counts[d.Job] < d.tasks(m) && fits(d) {
			b.add(Hold{machine, d.Pipeline, upstream, d.Job, d.Priority, d.Need, s.expires})
			return true
		}
	}
	return false
}

// Freed offers room that came free elsewhere to the stages that hold more
// than their own; fits tells whether a task of the job can use it. The highest
// priority goes first.
func (b *Book) Freed(machine string, fits func(Downstream) bool, now time.Time) bool {
	var names []string
	for name, s := range b.stages {
		if s.extra > 0 {
			if !s.expires.After(now) {
				s.extra = 0
				continue
			}
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, c := b.stages[names[i]], b.stages[names[j]]
		if a.next[0].Priority != c.next[0].Priority {
			return a.next[0].Priority > c.next[0].Priority
		}
		return names[i] < names[j]
	})
	for _, name := range names {
		// An unknown n counts as m, and then nothing more is held from elsewhere.
		if s := b.stages[name]; b.holdFor(s, name, machine, 0, fits) {
			s.extra--
			return true
		}
	}
	return false
}

func (b *Book) add(h Hold) {
	b.holds[h.Machine] = append(b.holds[h.Machine], h)
	b.counts[h.Downstream]++
}

// uncount takes a hold that ends out of the counts.
func (b *Book) uncount(h Hold) {
	if b.counts[h.Downstream]--; b.counts[h.Downstream] <= 0 {
		delete(b.counts, h.Downstream)
	}
}

// Restore puts back a hold read from a machine's record.
func (b *Book) Restore(h Hold) {
	if b.opt.Enabled {
		b.add(h)
	}
}

// On lists the holds on a machine.
func (b *Book) On(machine string) []Hold { return b.holds[machine] }

// All lists every hold, by machine.
func (b *Book) All() []Hold {
	var out []Hold
	for _, hs := range b.holds {
		out = append(out, hs...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Machine < out[j].Machine })
	return out
}

// Use takes up one hold on the machine for a task that is its pipeline's own.
func (b *Book) Use(machine string, owns func(placement.Pipeline) bool) bool {
	for i, h := range b.holds[machine] {
		if owns(h.Pipeline) {
			b.remove(machine, i)
			return true
		}
	}
	return false
}

// Override removes holds on a machine, lowest priority first, until the room
// kept there is no more than fits.
func (b *Book) Override(machine string, fits placement.Room) (changed bool) {
	for len(b.holds[machine]) > 0 {
		var sum placement.Room
		low := 0
		for i, h := range b.holds[machine] {
			sum = sum.Add(h.Room)
			if h.Priority <= b.holds[machine][low].Priority {
				low = i
			}
		}
		if fits.Fits(sum) {
			break
		}
		b.remove(machine, low)
		changed = true
	}
	return changed
}

func (b *Book) remove(machine string, i int) {
	hs := b.holds[machine]
	b.uncount(hs[i])
	hs = append(append([]Hold(nil), hs[:i]...), hs[i+1:]...)
	if len(hs) == 0 {
		delete(b.holds, machine)
		return
	}
	b.holds[machine] = hs
}

// Lapse removes what has expired or whose downstream job no longer waits, and
// names the machines that changed.
func (b *Book) Lapse(now time.Time, waits func(job string) bool) (changed []string) {
	for machine, hs := range b.holds {
		kept := hs[:0:0]
		for _, h := range hs {
			if h.Expires.After(now) && waits(h.Downstream) {
				kept = append(kept, h)
			} else {
				b.uncount(h)
			}
		}
		if len(kept) == len(hs) {
			continue
		}
		changed = append(changed, machine)
		if len(kept) == 0 {
			delete(b.holds, machine)
		} else {
			b.holds[machine] = kept
		}
	}
	for name, s := range b.stages {
		if s.expires.Before(now.Add(-time.Hour)) || s.extra > 0 && !slices.ContainsFunc(s.next, func(d Downstream) bool { return waits(d.Job) }) {
			delete(b.stages, name)
		}
	}
	sort.Strings(changed)
	return changed
}

// Drop forgets the holds of a machine that is leaving.
func (b *Book) Drop(machine string) {
	for _, h := range b.holds[machine] {
		b.uncount(h)
	}
	delete(b.holds, machine)
}
