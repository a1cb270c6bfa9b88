package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEvictedStillCounts guards against an incident: a pass that preempted a team's task
// let the same team start another at once, over its limit.
func TestEvictedStillCounts(t *testing.T) {
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

// TestNoCircleOfEvictions guards against an incident: an urgent job beyond its team's
// guarantee and a standard one within it preempted each other's tasks in turn, many times
// a second.
func TestNoCircleOfEvictions(t *testing.T) {
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
		p := &pass{Snapshot: &Snapshot{Teams: teams}, stopping: map[string]Resources{}}
		for _, job := range queue {
			if mayPreemptInTurn(p, queue, job, job, len(queue)) {
				t.Fatalf("%s can come to preempt itself", job.Spec.ID)
			}
		}
	})
}

// mayPreemptInTurn tells whether a job may preempt another, or one that may preempt it,
// and so on, with at most so many between them.
func mayPreemptInTurn(p *pass, queue []*Job, preemptor, victim *Job, between int) bool {
	if p.mayPreempt(preemptor, &RunningTask{Job: victim}) {
		return true
	}
	if between == 0 {
		return false
	}
	for _, next := range queue {
		if p.mayPreempt(preemptor, &RunningTask{Job: next}) && mayPreemptInTurn(p, queue, next, victim, between-1) {
			return true
		}
	}
	return false
}

// TestWhoStopsStandsBefore guards against a drawn day of Peakdale: the order of a team's
// jobs was changed without regard to guarantee. A job within its team's guarantee then
// preempted tasks of another team whose jobs stood before it and took the room back at
// once, two hundred thousand times. Whoever is given room that a pass frees is the one it
// was freed for.
func TestWhoStopsStandsBefore(t *testing.T) {
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
				takesItsPlace := start.Machine == preemption.Machine && preemptionClassOf(start.Job) == preemptionClassOf(preemption.Victim.Job)
				if takesItsPlace && !Before(start.Job, preemption.For) {
					t.Fatalf("%s starts on the machine where its like is preempted for %s", start.Job.Spec.ID, preemption.For.Spec.ID)
				}
			}
		}
	})
}
