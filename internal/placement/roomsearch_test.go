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
		Schedule(w) // sums and counts, as a pass leaves them
		p := &pass{Snapshot: w, plan: &Plan{}, stopping: map[string]Resources{}, aboveGuaranteeCache: map[string]bool{}}
		for _, j := range w.Jobs {
			if p.Teams[j.Spec.Team] == nil || len(j.WaitingTasks) == 0 {
				continue
			}
			for _, r := range w.Machines {
				search := roomSearch{pass: p, job: j, request: TaskResources(j.Spec), tasks: len(j.WaitingTasks), mayPreempt: true, preemptibleBits: ^uint64(0)}
				free, ok := search.weigh(r, math.Inf(1))
				worst := rapid.SampledFrom([]float64{0, free.costS / 2, free.costS, math.Nextafter(free.costS, math.Inf(1)), 2*free.costS + 1}).Draw(t, "worst")
				bound, within := search.weigh(r, worst)
				if within != (ok && free.costS < worst) {
					t.Fatalf("cost %v (%v) against %v: taken %v", free.costS, ok, worst, within)
				}
				if within && fmt.Sprint(bound.costS, bound.tasks, len(bound.victims)) != fmt.Sprint(free.costS, free.tasks, len(free.victims)) {
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
		decide := func(exhaustive bool) string {
			w := rapid.Custom(drawWorld).Example(seed)
			for _, j := range w.Jobs {
				for i := range w.Machines {
					// Claims of earlier passes fill what may drain at a time.
					if j.Spec.Kind == "gang" && i%2 == 0 {
						j.ClaimedMachines = map[string]bool{w.Machines[i].Name: true}
					}
				}
			}
			w.exhaustive = exhaustive
			plan := Schedule(w)
			out := ""
			for _, s := range plan.Starts {
				out += fmt.Sprintln("start", s.Job.Spec.ID, s.Index, s.Machine.Name)
			}
			for _, e := range plan.Preemptions {
				out += fmt.Sprintln("stop", e.Victim.Index, e.Victim.Attempt, e.Machine.Name, e.For.Spec.ID)
			}
			for _, c := range plan.Claims {
				out += fmt.Sprintln("claim", c.Job.Spec.ID, c.Machine.Name)
			}
			return out
		}
		if all, some := decide(true), decide(false); all != some {
			t.Fatalf("looking at all:\n%s\nat some:\n%s", all, some)
		}
	})
}

// TestLimitIsKeptForLiftedGang guards against a recorded day: a team at its
// limit gave each GPU that came free to its sweeps, and its gangs waited for
// eight minutes. Once a gang is lifted what comes free of the limit is kept for
// it, but from nobody that stands before it, and from no other team.
func TestLimitIsKeptForLiftedGang(t *testing.T) {
	for _, lift := range []Boost{NoBoost, BoostWithinPriority, BoostAboveAll} {
		gang := sweepJob("j-2", "a", 1)
		gang.Spec.Kind, gang.Spec.Tasks, gang.WaitingTasks, gang.Order, gang.Boost = "gang", 2, []int{0, 1}, 2, lift
		before, behind, other := sweepJob("j-1", "a", 2), sweepJob("j-3", "a", 1), sweepJob("j-4", "b", 1)
		before.Order, behind.Order, other.Order = 1, 3, 4
		for _, j := range []*Job{before, behind, other} {
			j.Spec.GPUs = 1
		}
		w := &Snapshot{Jobs: []*Job{gang, before, behind, other}, Teams: map[string]*Team{
			"a": {Limit: Resources{GPUs: 16}, Used: Resources{GPUs: 9}}, "b": {Limit: Resources{GPUs: 16}},
		}}
		for i := range 6 {
			r := oneRig()
			r.Name = fmt.Sprint("m-", i)
			w.Machines = append(w.Machines, r)
		}
		started := map[string]bool{}
		for _, s := range Schedule(w).Starts {
			started[s.Job.Spec.ID] = true
		}
		if started["j-2"] || !started["j-4"] || started["j-3"] != (lift == NoBoost) || started["j-1"] != (lift != BoostAboveAll) {
			t.Errorf("lifted %d: started %v", lift, started)
		}
	}
}
