package placement

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestRoomIsSoughtByTheSameCost: looking for room leaves machines out that can't
// be among the cheapest. What it leaves out would not have been chosen: an
// option weighed against a bound is the one weighed without, or costs at least
// as much as the bound.
func TestRoomIsSoughtByTheSameCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		Decide(w) // sums and counts, as a pass leaves them
		p := &pass{World: w, plan: &Plan{}, ending: map[string]Room{}, outside: map[string]bool{}}
		for _, j := range w.Jobs {
			if p.Teams[j.Spec.Owner] == nil || len(j.Waiting) == 0 {
				continue
			}
			for _, r := range w.Rigs {
				n := len(j.Waiting)
				free, ok := p.option(j, r, Need(j.Spec), n, true, ^uint64(0), math.Inf(1))
				worst := rapid.SampledFrom([]float64{0, free.cost / 2, free.cost, math.Nextafter(free.cost, math.Inf(1)), 2*free.cost + 1}).Draw(t, "worst")
				bound, within := p.option(j, r, Need(j.Spec), n, true, ^uint64(0), worst)
				if within != (ok && free.cost < worst) {
					t.Fatalf("cost %v (%v) against %v: taken %v", free.cost, ok, worst, within)
				}
				if within && fmt.Sprint(bound.cost, bound.coming, len(bound.victim)) != fmt.Sprint(free.cost, free.coming, len(free.victim)) {
					t.Fatalf("weighed without a bound %v, with it %v", free, bound)
				}
			}
		}
	})
}

// TestRoomIsSoughtInTheSamePlaces: a pass that leaves out machines which can't
// matter decides as one that looks at all of them.
func TestRoomIsSoughtInTheSamePlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int().Draw(t, "seed")
		decide := func(thorough bool) string {
			w := rapid.Custom(drawWorld).Example(seed)
			for _, j := range w.Jobs {
				for i := range w.Rigs {
					// Claims of earlier passes fill what may drain at a time.
					if j.Spec.Shape == "gang" && i%2 == 0 {
						j.Claims = map[string]bool{w.Rigs[i].Name: true}
					}
				}
			}
			w.thorough = thorough
			plan := Decide(w)
			out := ""
			for _, s := range plan.Starts {
				out += fmt.Sprintln("start", s.Job.Spec.NameID, s.Index, s.Rig.Name)
			}
			for _, e := range plan.Evicts {
				out += fmt.Sprintln("stop", e.Slot.Index, e.Slot.Try, e.Rig.Name, e.For.Spec.NameID)
			}
			for _, c := range plan.Claims {
				out += fmt.Sprintln("claim", c.Job.Spec.NameID, c.Rig.Name)
			}
			return out
		}
		if all, some := decide(true), decide(false); all != some {
			t.Fatalf("looking at all:\n%s\nat some:\n%s", all, some)
		}
	})
}
