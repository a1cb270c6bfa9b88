package placement

import (
	"testing"
	"time"
)

// TestBoostedGangPreemptsWithinTeam checks that a boosted gang preempts as many lower-priority
// tasks of its team as the team's limit requires, but no tasks of equal priority or of another
// team. A gang that is not boosted waits while smaller jobs start.
func TestBoostedGangPreemptsWithinTeam(t *testing.T) {
	for _, c := range []struct {
		name            string
		runningPriority int
		boost           Boost
		preempted       int
		lowerStarts     bool // the lower-priority job behind the gang
	}{
		{"lower priority running", 0, BoostWithinPriority, 4, false},
		{"equal priority running", 1, BoostWithinPriority, 0, true}, // others may use the rest of the limit until the gang can start
		{"not boosted", 0, NoBoost, 0, true},
	} {
		gang := gangJob("j-1", 1, 2)
		gang.SubmissionRevision, gang.Boost = 1, c.boost
		running, lower, otherTeam := arrayJob("j-2", "a", c.runningPriority), arrayJob("j-3", "a", 0), arrayJob("j-4", "b", 0)
		for i, job := range []*Job{running, lower, otherTeam} {
			job.Spec.GPUs, job.SubmissionRevision = 1, uint64(2+i)
		}
		running.WaitingTasks = nil
		snapshot := &Snapshot{
			Machines: testMachines(8), Jobs: []*Job{gang, lower, otherTeam},
			Teams: map[string]*Team{
				"a": {Limit: Resources{GPUs: 16}, Used: Resources{GPUs: 12}},
				"b": {Limit: Resources{GPUs: 16}},
			},
		}
		for i, machine := range snapshot.Machines[:3] {
			for k := range 4 {
				machine.RunningTasks = append(machine.RunningTasks, RunningTask{
					Job: running, Index: 4*i + k, Attempt: 1, Resources: Resources{1, 1, 1}, StopCost: time.Duration(1+k) * time.Second,
				})
			}
		}
		plan := Schedule(snapshot)
		if len(plan.Preemptions) != c.preempted {
			t.Errorf("%s: %d preempted, want %d", c.name, len(plan.Preemptions), c.preempted)
		}
		for _, preemption := range plan.Preemptions {
			if preemption.Victim.Job != running || preemption.Victim.StopCost > 2*time.Second {
				t.Errorf("%s: preempted %v, want the tasks with the lowest stop cost", c.name, preemption.Victim)
			}
		}
		started := countStartedTasks(plan)
		if started["j-1"] > 0 || (started["j-3"] > 0) != c.lowerStarts || started["j-4"] == 0 {
			t.Errorf("%s: started %v", c.name, started)
		}
	}
}

// TestLimitEarmarkedForGangAwaitingStops guards against a preemption loop: tasks were preempted for
// a gang, a small job of its team took part of the limit before they had ended, and the gang
// could not start. The preempted tasks restarted on the same machines and were preempted
// again, 6,000 tasks in half a minute after a network partition.
func TestLimitEarmarkedForGangAwaitingStops(t *testing.T) {
	for _, c := range []struct {
		name             string
		smallPriority    int
		gangKeepsEarmark bool
	}{{"lower", 0, true}, {"equal", 1, true}, {"higher", 2, false}} {
		gang := gangJob("j-1", 1, 2)
		gang.SubmissionRevision = 1
		lower := arrayJob("j-2", "b", 0)
		lower.WaitingTasks = nil
		machines := testMachines(3)
		for i, machine := range machines[:2] {
			machine.RunningTasks = []RunningTask{{Job: lower, Index: i, Attempt: 1, Resources: TaskResources(lower.Spec), StopCost: time.Second}}
		}
		machines[2].Spot = true
		teams := func() map[string]*Team {
			return map[string]*Team{
				"a": {Limit: Resources{GPUs: 8}},
				"b": {Limit: Resources{GPUs: 16}, Used: Resources{GPUs: 8}},
			}
		}
		plan := Schedule(&Snapshot{Machines: machines, Jobs: []*Job{gang}, Teams: teams()})
		if len(plan.Preemptions) != 2 || len(plan.AwaitingStops) != 1 || plan.AwaitingStops[0] != gang {
			t.Fatalf("%s: %d preempted, %d gangs awaiting stops, want 2 and 1", c.name, len(plan.Preemptions), len(plan.AwaitingStops))
		}

		gang.AwaitingStops, gang.ClaimedMachines = true, map[string]bool{"m-0": true, "m-1": true}
		// The gang must not give up its place because it has missed its targets by now.
		gang.Late, gang.Targets = true, []time.Duration{time.Second}
		// A small job of the team arrives. It fits on a machine that the gang does not need.
		small := arrayJob("j-3", "a", c.smallPriority)
		small.Spec.GPUs, small.Spec.AllowSpot, small.SubmissionRevision = 1, true, 3
		plan = Schedule(&Snapshot{Machines: machines, Jobs: []*Job{gang, small}, Teams: teams()})
		if (len(plan.Starts) == 0) != c.gangKeepsEarmark {
			t.Errorf("%s: small job started: %v", c.name, len(plan.Starts) > 0)
		}
		if (len(plan.AwaitingStops) == 1) != c.gangKeepsEarmark {
			t.Errorf("%s: %d gangs awaiting stops", c.name, len(plan.AwaitingStops))
		}
	}
}

// TestLimitEarmarkedForBoostedGang guards against starving gangs: a team at its limit gave
// each GPU that became free to its job arrays, and its gangs waited for eight minutes. Once a
// gang is boosted, the part of the limit that becomes free is kept for it. Jobs that precede
// it and other teams are not affected.
func TestLimitEarmarkedForBoostedGang(t *testing.T) {
	for _, boost := range []Boost{NoBoost, BoostWithinPriority, BoostAboveAll} {
		before, gang, behind, otherTeam := arrayJob("j-1", "a", 2), gangJob("j-2", 1, 2), arrayJob("j-3", "a", 1), arrayJob("j-4", "b", 1)
		gang.Boost = boost
		for i, job := range []*Job{before, gang, behind, otherTeam} {
			job.SubmissionRevision = uint64(1 + i)
		}
		for _, job := range []*Job{before, behind, otherTeam} {
			job.Spec.GPUs = 1
		}
		started := countStartedTasks(Schedule(&Snapshot{
			Machines: testMachines(6), Jobs: []*Job{gang, before, behind, otherTeam},
			Teams: map[string]*Team{
				"a": {Limit: Resources{GPUs: 16}, Used: Resources{GPUs: 9}},
				"b": {Limit: Resources{GPUs: 16}},
			},
		}))
		want := map[string]bool{"j-1": boost != BoostAboveAll, "j-2": false, "j-3": boost == NoBoost, "j-4": true}
		for job, starts := range want {
			if (started[job] > 0) != starts {
				t.Errorf("boost %d: started %v, want %v", boost, started, want)
			}
		}
	}
}
