package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPreemptedTaskCountsTowardLimit guards against an incident: a pass that preempted a
// team's task let the same team start another one at once, above its limit.
func TestPreemptedTaskCountsTowardLimit(t *testing.T) {
	victim := arrayJob("j-1", "a", 0)
	busy, spot := testMachine("m-1"), testMachine("m-2")
	busy.RunningTasks = []RunningTask{{Job: victim, Resources: Resources{1, 4, 1}, StopCost: time.Second}}
	spot.Spot = true
	urgent, next := arrayJob("j-2", "b", 2), arrayJob("j-3", "a", 1)
	next.Spec.AllowSpot = true
	plan := Schedule(&Snapshot{
		Machines: []*Machine{busy, spot}, Jobs: []*Job{urgent, next},
		Teams: map[string]*Team{
			"a": {Limit: Resources{GPUs: 4}, Used: Resources{GPUs: 4}},
			"b": {Limit: Resources{GPUs: 4}},
		},
	})
	if len(plan.Preemptions) != 1 || len(plan.Starts) != 0 {
		t.Fatalf("%d preempted, %d started; want 1 and 0", len(plan.Preemptions), len(plan.Starts))
	}
}

// TestNoPreemptionCycles guards against an incident: an urgent job above its team's guarantee
// and a standard job within its team's guarantee preempted each other's tasks in turn, many
// times a second.
func TestNoPreemptionCycles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := map[string]*Team{}
		for _, name := range []string{"a", "b"} {
			guarantee := float64(rapid.IntRange(0, 2).Draw(t, "guarantee") * 4)
			used := float64(rapid.IntRange(0, 12).Draw(t, "used"))
			teams[name] = &Team{Name: name, Guarantee: Resources{GPUs: guarantee}, Limit: Resources{GPUs: 99}, Used: Resources{GPUs: used}}
		}
		var queue []*Job
		for i := range 4 {
			team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			job := arrayJob(fmt.Sprint("j-", i), team, rapid.IntRange(0, 3).Draw(t, "priority"))
			job.Guaranteed = rapid.Bool().Draw(t, "guaranteed")
			queue = append(queue, job)
		}
		p := &pass{Snapshot: &Snapshot{Teams: teams}, usedByStopping: map[string]Resources{}}
		for _, job := range queue {
			if mayPreemptTransitively(p, queue, job, job, len(queue)) {
				t.Fatalf("%s can preempt itself through a cycle", job.Spec.ID)
			}
		}
	})
}

// mayPreemptTransitively reports whether the preemptor may preempt the victim, directly or
// through a chain of at most the given number of intermediates, each of which may preempt the
// next.
func mayPreemptTransitively(p *pass, queue []*Job, preemptor, victim *Job, intermediates int) bool {
	if p.mayPreempt(preemptor, &RunningTask{Job: victim}) {
		return true
	}
	if intermediates == 0 {
		return false
	}
	for _, next := range queue {
		if p.mayPreempt(preemptor, &RunningTask{Job: next}) && mayPreemptTransitively(p, queue, next, victim, intermediates-1) {
			return true
		}
	}
	return false
}

// TestFreedCapacityGoesToPreemptor guards against a change that reordered a team's jobs
// without regard to guarantees. A job within its team's guarantee preempted tasks of another
// team whose jobs preceded it in the queue. The preempted jobs took the resources back at
// once, 200,000 times in one run. Resources freed by preemption must go to the job that they
// were freed for.
func TestFreedCapacityGoesToPreemptor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		for _, job := range snapshot.Jobs {
			if rapid.Bool().Draw(t, "targets") {
				job.Targets = []time.Duration{time.Minute}
				job.Late = rapid.Bool().Draw(t, "late")
			}
		}
		plan := Schedule(snapshot)
		for _, preemption := range plan.Preemptions {
			for _, start := range plan.Starts {
				takesFreedCapacity := start.Machine == preemption.Machine && preemptionClassOf(start.Job) == preemptionClassOf(preemption.Victim.Job)
				if takesFreedCapacity && !Before(start.Job, preemption.Preemptor) {
					t.Fatalf("%s starts on a machine where a task of its preemption class is preempted for %s", start.Job.Spec.ID, preemption.Preemptor.Spec.ID)
				}
			}
		}
	})
}
