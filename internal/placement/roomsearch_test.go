package placement

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestRoomIsSoughtByTheSameCost: the search for room leaves machines out that can't be
// among the cheapest. What it leaves out would not have been chosen: an option weighed
// against a bound is the one weighed without, or costs at least as much as the bound.
func TestRoomIsSoughtByTheSameCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		Schedule(snapshot) // sums and counts, as a pass leaves them
		p := &pass{Snapshot: snapshot, plan: &Plan{}, stopping: map[string]Resources{}, aboveGuaranteeCache: map[string]bool{}}
		for _, job := range snapshot.Jobs {
			if p.Teams[job.Spec.Team] == nil || len(job.WaitingTasks) == 0 {
				continue
			}
			search := roomSearch{
				pass: p, job: job, request: TaskResources(job.Spec), tasks: len(job.WaitingTasks),
				anyPreemptible: true, preemptibleBits: ^uint64(0),
			}
			for _, machine := range snapshot.Machines {
				checkBoundedWeight(t, search, machine)
			}
		}
	})
}

// checkBoundedWeight weighs a machine without a bound and with one about its cost.
func checkBoundedWeight(t *rapid.T, search roomSearch, machine *Machine) {
	t.Helper()
	unbounded, found := search.weigh(machine, math.Inf(1))
	costS := unbounded.costS
	maxCostS := rapid.SampledFrom([]float64{0, costS / 2, costS, math.Nextafter(costS, math.Inf(1)), 2*costS + 1}).Draw(t, "bound")
	bounded, cheaper := search.weigh(machine, maxCostS)
	if cheaper != (found && costS < maxCostS) {
		t.Fatalf("cost %v (%v) against %v: taken %v", costS, found, maxCostS, cheaper)
	}
	same := bounded.costS == costS && bounded.tasks == unbounded.tasks && len(bounded.victims) == len(unbounded.victims)
	if cheaper && !same {
		t.Fatalf("weighed without a bound %v, with it %v", unbounded, bounded)
	}
}

// TestRoomIsSoughtInTheSamePlaces: a pass that leaves out machines which can't matter
// decides as one that examines all of them.
func TestRoomIsSoughtInTheSamePlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int().Draw(t, "seed")
		decide := func(exhaustive bool) string {
			snapshot := rapid.Custom(drawSnapshot).Example(seed)
			for _, job := range snapshot.Jobs {
				for i, machine := range snapshot.Machines {
					// Claims of earlier passes fill what may drain at a time.
					if job.isGang() && i%2 == 0 {
						job.ClaimedMachines = map[string]bool{machine.Name: true}
					}
				}
			}
			snapshot.exhaustive = exhaustive
			return describeDecisions(Schedule(snapshot))
		}
		if all, some := decide(true), decide(false); all != some {
			t.Fatalf("examining all:\n%s\nsome:\n%s", all, some)
		}
	})
}

func describeDecisions(plan *Plan) string {
	var out strings.Builder
	for _, start := range plan.Starts {
		fmt.Fprintln(&out, "start", start.Job.Spec.ID, start.Index, start.Machine.Name)
	}
	for _, preemption := range plan.Preemptions {
		fmt.Fprintln(&out, "preempt", preemption.Victim.Index, preemption.Victim.Attempt, preemption.Machine.Name, preemption.For.Spec.ID)
	}
	for _, claim := range plan.Claims {
		fmt.Fprintln(&out, "claim", claim.Job.Spec.ID, claim.Machine.Name)
	}
	return out.String()
}
