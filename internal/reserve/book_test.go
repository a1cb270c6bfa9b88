package reserve

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
	pipe = placement.Pipeline{Owner: "a", Workload: "x"}
	unit = placement.Room{VCPUs: 1, GPUs: 1, RAM: 1}
	t0   = time.Unix(1000, 0)
)

func finishAll(b *Book, m int, next *Downstream) (held []bool) {
	for i := range m {
		held = append(held, b.Finished(Finish{Pipeline: pipe, Job: "j-1", Pieces: m, Started: t0, Ran: 10 * time.Second,
			Rig: fmt.Sprint("m-", i), Fits: true, Next: next, Now: t0.Add(10 * time.Second)}))
	}
	return held
}

// TestHoldRule is the paper's m, n rule (section III-B, algorithm 1).
func TestHoldRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, n := rapid.IntRange(1, 40).Draw(t, "m"), rapid.IntRange(0, 40).Draw(t, "n")
		b := New(opt)
		held := finishAll(b, m, &Downstream{Job: "j-2", Pieces: n, Need: unit})
		for i, h := range held {
			// n unknown counts as m; of m > n the first m-n release.
			if want := n == 0 || i >= m-n; h != want {
				t.Fatalf("m %d n %d: finisher %d held %v", m, n, i, h)
			}
		}
		extra := 0
		for b.Freed("m-x", func(string, placement.Room) bool { return true }, t0.Add(11*time.Second)) {
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

// TestThreshold: nothing is held from elsewhere before more than the wished
// part of the stage has finished.
func TestThreshold(t *testing.T) {
	b := New(opt)
	for i := range 10 {
		b.Finished(Finish{Pipeline: pipe, Job: "j-1", Pieces: 10, Started: t0, Ran: 10 * time.Second, Rig: "m", Fits: true,
			Next: &Downstream{Job: "j-2", Pieces: 11, Need: unit}, Now: t0.Add(10 * time.Second)})
		got := b.Freed("m-x", func(string, placement.Room) bool { return true }, t0.Add(10*time.Second))
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
		d := o.Lapse(time.Second, n)
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
	next := &Downstream{Job: "j-2", Pieces: 3, Need: unit}
	always := func(string) bool { return true }
	b := New(opt)
	finishAll(b, 3, next)
	if len(b.All()) != 3 {
		t.Fatalf("%d holds, want 3", len(b.All()))
	}
	if ch := b.Lapse(t0.Add(11*time.Second), always); len(ch) != 0 {
		t.Errorf("lapsed early: %v", ch)
	}
	if !b.Use("m-0", pipe) || b.Use("m-0", pipe) {
		t.Errorf("a hold is used other than once")
	}
	if !b.Override("m-1", placement.Room{}) || len(b.On("m-1")) != 0 {
		t.Errorf("a hold stands in room that is taken")
	}
	if ch := b.Lapse(t0.Add(11*time.Second), func(string) bool { return false }); len(ch) != 1 {
		t.Errorf("holds outlive their job: %v", ch)
	}
	finishAll(b, 3, next)
	if ch := b.Lapse(t0.Add(opt.Lapse(10*time.Second, 3)+time.Second), always); len(ch) != 3 {
		t.Errorf("holds do not lapse: %v", ch)
	}
	if off := New(Options{}); finishAll(off, 1, next)[0] {
		t.Errorf("holds although turned off")
	}
}

// TestNoMoreIsHeldThanIsOfUse guards against drawn days of Peakdale: every job of
// a pipeline that ended held room for the one gang that still waited, 237 machines
// for its 24 tasks. Whatever ends, lapses, is used or lost, no more is held for a
// job than it has tasks, and what it needs can be held again.
func TestNoMoreIsHeldThanIsOfUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(opt)
		now := t0
		downstream := []Downstream{{Job: "j-90", Pieces: 3, Need: unit}, {Job: "j-91", Pieces: 7, Priority: 1, Need: unit}}
		waits := map[string]bool{"j-90": true, "j-91": true}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			rig := fmt.Sprint("m-", rapid.IntRange(0, 9).Draw(t, "rig"))
			next := downstream[rapid.IntRange(0, 1).Draw(t, "for")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				b.Drop(rig)
			case 1:
				b.Use(rig, pipe)
			case 2:
				b.Override(rig, unit)
			case 3:
				waits[next.Job] = rapid.Bool().Draw(t, "waits")
				b.Lapse(now, func(job string) bool { return waits[job] })
			case 4:
				b.Freed(rig, func(string, placement.Room) bool { return true }, now)
			default:
				b.Finished(Finish{Pipeline: pipe, Job: fmt.Sprint("j-", rapid.IntRange(0, 3).Draw(t, "upstream")),
					Pieces: rapid.IntRange(1, 12).Draw(t, "m"), Started: now, Ran: 10 * time.Second, Rig: rig, Fits: true, Next: &next, Now: now})
			}
			count := map[string]int{}
			for _, h := range b.All() {
				count[h.Downstream]++
			}
			for _, d := range downstream {
				if count[d.Job] > d.Pieces || count[d.Job] != b.counts[d.Job] {
					t.Fatalf("%d held for %s of %d tasks, counted as %d", count[d.Job], d.Job, d.Pieces, b.counts[d.Job])
				}
			}
		}
	})
}
