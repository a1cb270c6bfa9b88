package reservations

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/placement"
)

var (
	opt  = Options{Enabled: true, Alpha: 1.6, P: 0.4, Threshold: 0.8}
	pipe = placement.Pipeline{Team: "a", Class: "x"}
	unit = placement.Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}
	t0   = time.Unix(1000, 0)
)

func fits(Downstream) bool { return true }

func owned(p placement.Pipeline) bool { return p == pipe }

func finishAll(b *Manager, m int, next ...Downstream) (held []bool) {
	for i := range m {
		held = append(held, b.TaskFinished(TaskFinish{
			Job: "j-1", Tasks: m, UpstreamStartedAt: t0, Runtime: 10 * time.Second,
			Machine: fmt.Sprint("m-", i), Fits: fits, Downstreams: next, Now: t0.Add(10 * time.Second),
		}))
	}
	return held
}

// TestHoldRule is the paper's m, n rule (section III-B, algorithm 1).
func TestHoldRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, n := rapid.IntRange(1, 40).Draw(t, "m"), rapid.IntRange(0, 40).Draw(t, "n")
		b := NewManager(opt)
		held := finishAll(b, m, Downstream{Pipeline: pipe, Job: "j-2", Tasks: n, TaskResources: unit})
		for i, h := range held {
			// n unknown counts as m; of m > n the first m-n release.
			if want := n == 0 || i >= m-n; h != want {
				t.Fatalf("m %d n %d: finisher %d held %v", m, n, i, h)
			}
		}
		extra := 0
		for b.OfferFreed("m-x", fits, t0.Add(11*time.Second)) {
			extra++
		}
		want := 0
		if n > m {
			want = n - m
		}
		if extra != want {
			t.Fatalf("m %d n %d: %d held from elsewhere, want %d", m, n, extra, want)
		}
	})
}

// TestHoldRuleOfSeveral: where several jobs wait for one, n is what all of them have
// of tasks; room goes to the first that has not all that it can use and that fits
// there, and none gets more than its own.
func TestHoldRuleOfSeveral(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.IntRange(1, 30).Draw(t, "m")
		var list []Downstream
		n, useful := 0, 0
		no := map[string]bool{}
		for i := range rapid.IntRange(1, 4).Draw(t, "jobs") {
			name := fmt.Sprint("j-1", i)
			d := Downstream{Pipeline: placement.Pipeline{Team: "a", Class: "x", Downstream: name}, Job: name, Tasks: rapid.IntRange(1, 9).Draw(t, "n"), TaskResources: unit}
			if no[name] = rapid.IntRange(0, 3).Draw(t, "fits") == 0; !no[name] {
				useful += d.Tasks
			}
			n += d.Tasks
			list = append(list, d)
		}
		may := func(d Downstream) bool { return !no[d.Job] }
		b := NewManager(opt)
		for i := range m {
			b.TaskFinished(TaskFinish{Job: "j-1", Tasks: m, UpstreamStartedAt: t0, Runtime: 10 * time.Second, Machine: fmt.Sprint("m-", i), Fits: may, Downstreams: list, Now: t0.Add(10 * time.Second)})
			if i < m-n && len(b.All()) > 0 {
				t.Fatalf("finisher %d of %d holds for %d tasks", i, m, n)
			}
		}
		for range n {
			b.OfferFreed("m-x", may, t0.Add(11*time.Second))
		}
		// Of m < n, n-m more are held from elsewhere; of m > n, m-n finishers do not.
		if want := min(useful, n); len(b.All()) != want {
			t.Fatalf("m %d n %d useful %d: %d held, want %d", m, n, useful, len(b.All()), want)
		}
		short := false
		for _, d := range list {
			count := 0
			for _, h := range b.All() {
				if h.Downstream == d.Job {
					count++
					if h.Pipeline != d.Pipeline {
						t.Fatalf("%+v held for %s", h, d.Job)
					}
				}
			}
			if no[d.Job] && count > 0 || count > d.Tasks || short && count > 0 {
				t.Fatalf("%d held for %s of %d; an earlier one lacks some: %v", count, d.Job, d.Tasks, short)
			}
			short = short || !no[d.Job] && count < d.Tasks
		}
	})
}

// TestThreshold: nothing is held from elsewhere before more than the wished
// part of the stage has finished.
func TestThreshold(t *testing.T) {
	b := NewManager(opt)
	for i := range 10 {
		b.TaskFinished(TaskFinish{
			Job: "j-1", Tasks: 10, UpstreamStartedAt: t0, Runtime: 10 * time.Second, Machine: "m", Fits: fits,
			Downstreams: []Downstream{{Job: "j-2", Tasks: 11, TaskResources: unit}}, Now: t0.Add(10 * time.Second),
		})
		got := b.OfferFreed("m-x", fits, t0.Add(10*time.Second))
		if got != (i == 8) {
			t.Errorf("after %d of 10: extra held %v", i+1, got)
		}
	}
}

// TestLapse checks D against the paper's equation (2): all N tasks end before
// D with chance P.
func TestLapse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Alpha: rapid.Float64Range(1.05, 4).Draw(t, "alpha"), P: rapid.Float64Range(0.05, 0.95).Draw(t, "p")}
		n := rapid.IntRange(1, 500).Draw(t, "n")
		d := o.Deadline(time.Second, n)
		if d >= 24*time.Hour {
			return
		}
		p := math.Pow(1-math.Pow(1/d.Seconds(), o.Alpha), float64(n))
		if math.Abs(p-o.P) > 1e-3 {
			t.Fatalf("n %d: chance %v, want %v", n, p, o.P)
		}
	})
}

// TestHoldsEnd: holds lapse, end with their downstream job's wait, and give
// way where room was taken.
func TestHoldsEnd(t *testing.T) {
	next := Downstream{Pipeline: pipe, Job: "j-2", Tasks: 3, TaskResources: unit}
	always := func(string) bool { return true }
	b := NewManager(opt)
	finishAll(b, 3, next)
	if len(b.All()) != 3 {
		t.Fatalf("%d holds, want 3", len(b.All()))
	}
	if ch := b.Expire(t0.Add(11*time.Second), always); len(ch) != 0 {
		t.Errorf("lapsed early: %v", ch)
	}
	if !b.Consume("m-0", owned) || b.Consume("m-0", owned) {
		t.Errorf("a hold is used other than once")
	}
	if !b.ReleaseExcess("m-1", placement.Resources{}) || len(b.OnMachine("m-1")) != 0 {
		t.Errorf("a hold stands in room that is taken")
	}
	if ch := b.Expire(t0.Add(11*time.Second), func(string) bool { return false }); len(ch) != 1 {
		t.Errorf("holds outlive their job: %v", ch)
	}
	finishAll(b, 3, next)
	if ch := b.Expire(t0.Add(opt.Deadline(10*time.Second, 3)+time.Second), always); len(ch) != 3 {
		t.Errorf("holds do not lapse: %v", ch)
	}
	if off := NewManager(Options{}); finishAll(off, 1, next)[0] {
		t.Errorf("holds although turned off")
	}
}

// TestNoMoreIsHeldThanIsOfUse guards against drawn days of Peakdale: every job of
// a pipeline that ended held room for the one gang that still waited, 237 machines
// for its 24 tasks. Whatever ends, lapses, is used or lost, no more is held for a
// job than it has tasks, and what it needs can be held again.
func TestNoMoreIsHeldThanIsOfUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewManager(opt)
		now := t0
		downstream := []Downstream{{Pipeline: pipe, Job: "j-90", Tasks: 3, TaskResources: unit}, {Pipeline: pipe, Job: "j-91", Tasks: 7, Priority: 1, TaskResources: unit}}
		waits := map[string]bool{"j-90": true, "j-91": true}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			machine := fmt.Sprint("m-", rapid.IntRange(0, 9).Draw(t, "rig"))
			next := downstream[rapid.IntRange(0, 1).Draw(t, "for")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				b.RemoveMachine(machine)
			case 1:
				b.Consume(machine, owned)
			case 2:
				b.ReleaseExcess(machine, unit)
			case 3:
				waits[next.Job] = rapid.Bool().Draw(t, "waits")
				b.Expire(now, func(job string) bool { return waits[job] })
			case 4:
				b.OfferFreed(machine, fits, now)
			default:
				list := []Downstream{next}
				if rapid.Bool().Draw(t, "both") {
					list = downstream
				}
				b.TaskFinished(TaskFinish{
					Job:   fmt.Sprint("j-", rapid.IntRange(0, 3).Draw(t, "upstream")),
					Tasks: rapid.IntRange(1, 12).Draw(t, "m"), UpstreamStartedAt: now, Runtime: 10 * time.Second, Machine: machine, Fits: fits, Downstreams: list, Now: now,
				})
			}
			count := map[string]int{}
			for _, h := range b.All() {
				count[h.Downstream]++
			}
			for _, d := range downstream {
				if count[d.Job] > d.Tasks || count[d.Job] != b.counts[d.Job] {
					t.Fatalf("%d held for %s of %d tasks, counted as %d", count[d.Job], d.Job, d.Tasks, b.counts[d.Job])
				}
			}
		}
	})
}
