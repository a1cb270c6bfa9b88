package placement

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestCostBoundKeepsCheapestOptions checks the cost bound with which the search skips machines
// that can't be among the cheapest. An option evaluated with a bound either equals the one
// evaluated without it or costs at least as much as the bound.
func TestCostBoundKeepsCheapestOptions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		Schedule(snapshot) // computes the machines' usage and state
		p := &pass{Snapshot: snapshot, plan: &Plan{}, usedByStopping: map[string]Resources{}, aboveGuaranteeCache: map[string]bool{}}
		for _, job := range snapshot.Jobs {
			if p.Teams[job.Spec.Team] == nil || len(job.WaitingTasks) == 0 {
				continue
			}
			search := capacitySearch{
				pass: p, job: job, request: TaskResources(job.Spec), tasks: len(job.WaitingTasks),
				anyPreemptible: true, preemptibleBits: ^uint64(0),
			}
			for _, machine := range snapshot.Machines {
				checkBoundedEvaluation(t, search, machine)
			}
		}
	})
}

// checkBoundedEvaluation compares the option evaluated without a bound with one evaluated with
// a bound that is near its cost.
func checkBoundedEvaluation(t *rapid.T, search capacitySearch, machine *Machine) {
	t.Helper()
	unbounded, found := search.evaluate(machine, math.Inf(1))
	costS := unbounded.costS
	maxCostS := rapid.SampledFrom([]float64{0, costS / 2, costS, math.Nextafter(costS, math.Inf(1)), 2*costS + 1}).Draw(t, "bound")
	bounded, cheaper := search.evaluate(machine, maxCostS)
	if cheaper != (found && costS < maxCostS) {
		t.Fatalf("cost %v (found: %v), bound %v: got cheaper = %v", costS, found, maxCostS, cheaper)
	}
	same := bounded.costS == costS && bounded.tasks == unbounded.tasks && len(bounded.victims) == len(unbounded.victims)
	if cheaper && !same {
		t.Fatalf("evaluated without bound: %v, with bound: %v", unbounded, bounded)
	}
}

// TestPrunedSearchMatchesExhaustive checks that a pass that skips machines that can't affect
// its result decides like one that examines all machines.
func TestPrunedSearchMatchesExhaustive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int().Draw(t, "seed")
		decide := func(exhaustive bool) string {
			snapshot := rapid.Custom(drawSnapshot).Example(seed)
			for _, job := range snapshot.Jobs {
				for i, machine := range snapshot.Machines {
					// Claims of earlier passes use up the drain limit.
					if job.isGang() && i%2 == 0 {
						job.ClaimedMachines = map[string]bool{machine.Name: true}
					}
				}
			}
			snapshot.exhaustive = exhaustive
			return describeDecisions(Schedule(snapshot))
		}
		if full, pruned := decide(true), decide(false); full != pruned {
			t.Fatalf("exhaustive search:\n%s\npruned search:\n%s", full, pruned)
		}
	})
}

func describeDecisions(plan *Plan) string {
	var out strings.Builder
	for _, start := range plan.Starts {
		fmt.Fprintln(&out, "start", start.Job.Spec.ID, start.Index, start.Machine.Name)
	}
	for _, preemption := range plan.Preemptions {
		fmt.Fprintln(&out, "preempt", preemption.Victim.Index, preemption.Victim.Attempt, preemption.Machine.Name, preemption.Preemptor.Spec.ID)
	}
	for _, claim := range plan.Claims {
		fmt.Fprintln(&out, "claim", claim.Job.Spec.ID, claim.Machine.Name)
	}
	return out.String()
}
