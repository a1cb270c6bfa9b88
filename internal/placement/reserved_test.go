package placement

import (
	"testing"

	"thornnotch/internal/jobs"
)

// reservedSlotCase is a job, and the number of tasks that it starts on the only machine, all of
// whose GPUs are in a reserved slot of priority 1.
type reservedSlotCase struct {
	name      string
	job       *Job
	guarantee float64 // of team b
	starts    int
}

func checkReservedSlotCases(t *testing.T, pipeline Pipeline, cases []reservedSlotCase) {
	t.Helper()
	for _, c := range cases {
		slot := ReservedSlot{Pipeline: pipeline, Priority: 1, Resources: Resources{1, 4, 1}}
		snapshot := &Snapshot{
			Machines: []*Machine{testMachine("m-0", slot)}, Jobs: []*Job{c.job},
			Teams: map[string]*Team{
				"a": {Limit: Resources{GPUs: 8}, Used: Resources{GPUs: 4}},
				"b": {Guarantee: Resources{GPUs: c.guarantee}, Limit: Resources{GPUs: 8}},
			},
		}
		MarkGuaranteed(snapshot.Jobs, snapshot.Teams)
		if got := len(Schedule(snapshot).Starts); got != c.starts {
			t.Errorf("%s: %d starts, want %d", c.name, got, c.starts)
		}
	}
}

// TestReservedSlotAccess checks that tasks of the pipeline use its reserved slot, that jobs of
// lower or equal priority don't, that jobs of higher priority do, and that a slot never keeps
// another team from its guarantee.
func TestReservedSlotAccess(t *testing.T) {
	checkReservedSlotCases(t, Pipeline{Team: "a", Class: "x"}, []reservedSlotCase{
		{"own", arrayJob("j-1", "a", 1), 0, 1},
		{"equal", arrayJob("j-1", "b", 1), 0, 0},
		{"lower", arrayJob("j-1", "b", 0), 0, 0},
		{"higher", arrayJob("j-1", "b", 2), 0, 1},
		{"guaranteed", arrayJob("j-1", "b", 0), 4, 1},
	})
}

// TestDependencyReservedSlotAccess checks a slot that is reserved for a declared dependency.
// The downstream job and the jobs that it depends on, of any team, may use it, but not other
// jobs of the same team and class. It can be overridden like any other reservation.
func TestDependencyReservedSlotAccess(t *testing.T) {
	upstream := arrayJob("j-7", "b", 0)
	upstream.ReservedDownstreams = map[string]bool{"j-1": true}
	checkReservedSlotCases(t, Pipeline{"a", "x", "j-1"}, []reservedSlotCase{
		{"downstream job", arrayJob("j-1", "a", 1), 0, 1},
		{"upstream job", upstream, 0, 1},
		{"same team and class", arrayJob("j-2", "a", 1), 0, 0},
		{"equal", arrayJob("j-2", "b", 1), 0, 0},
		{"lower", arrayJob("j-2", "b", 0), 0, 0},
		{"higher", arrayJob("j-2", "b", 2), 0, 1},
		{"guaranteed", arrayJob("j-2", "b", 0), 4, 1},
	})
}

// TestBlockedReservationsYieldLimit checks that a job that waits for other jobs does not use
// up its team's limit, although reserved slots count toward it. At the limit, and only there,
// its reservations are overridden by any job of the team. Once the job may start, they count
// like others.
func TestBlockedReservationsYieldLimit(t *testing.T) {
	for _, c := range []struct {
		limit            float64
		blocked          bool
		starts, released int
	}{{8, true, 1, 1}, {8, false, 0, 0}, {12, true, 1, 0}, {4, true, 0, 0}} {
		reserved := testMachine("m-0", ReservedSlot{Pipeline: Pipeline{"a", "y", "j-1"}, Priority: 1, Resources: Resources{1, 4, 1}, Blocked: c.blocked})
		free, busy := testMachine("m-1"), testMachine("m-2")
		busy.RunningTasks = []RunningTask{{Job: arrayJob("j-9", "a", 1), Resources: Resources{1, 4, 1}}}
		team := &Team{Limit: Resources{GPUs: c.limit}, Used: Resources{GPUs: 8}}
		plan := Schedule(&Snapshot{
			Machines: []*Machine{reserved, free, busy}, Jobs: []*Job{arrayJob("j-2", "a", 0)}, Teams: map[string]*Team{"a": team},
		})
		if len(plan.Starts) != c.starts || len(plan.Released) != c.released {
			t.Errorf("limit %v, blocked %v: %d started, %d reservations released", c.limit, c.blocked, len(plan.Starts), len(plan.Released))
		}
		if used := team.Used.GPUs; used > max(8, c.limit) || c.starts == 0 && used != 8 {
			t.Errorf("limit %v, blocked %v: the team uses %v", c.limit, c.blocked, used)
		}
	}
}

// TestReservationsYieldToBoostedGang guards against a deadlock: reservations for a team's job
// arrays filled its limit. Once its gang was boosted, the unused part of the limit was kept for
// the gang, so the arrays could not use even their own slots, which stayed reserved as long as
// the arrays waited. None of the team's tasks ran for the rest of the day.
func TestReservationsYieldToBoostedGang(t *testing.T) {
	for _, c := range []struct {
		name                        string
		gangPriority, arrayPriority int
		boost                       Boost
		gangStarts, arrayStarts     bool
	}{
		{"higher", 1, 0, NoBoost, true, false},
		{"equal", 1, 1, NoBoost, false, true},
		{"boosted within priority", 1, 1, BoostWithinPriority, true, false},
		{"boosted above all", 0, 1, BoostAboveAll, true, false},
		{"lower", 0, 1, NoBoost, false, true},
	} {
		gang := gangJob("j-1", c.gangPriority, 2)
		gang.Spec.Class, gang.SubmissionRevision, gang.Boost = "big", 1, c.boost
		array := arrayJob("j-2", "a", c.arrayPriority)
		array.SubmissionRevision, array.Spec.GPUs = 2, 1
		setWaitingTasks(array, 8)
		team := &Team{Limit: Resources{GPUs: 8}, Used: Resources{GPUs: 8}}
		snapshot := &Snapshot{Machines: testMachines(4), Jobs: []*Job{gang, array}, Teams: map[string]*Team{"a": team}}
		for _, machine := range snapshot.Machines {
			slot := ReservedSlot{Pipeline: array.Pipeline(), Priority: c.arrayPriority, Resources: Resources{1, 1, 1}}
			machine.Reserved = []ReservedSlot{slot, slot}
		}
		plan := Schedule(snapshot)
		started := countStartedTasks(plan)
		if (started["j-1"] == 2) != c.gangStarts || (started["j-2"] == 8) != c.arrayStarts {
			t.Errorf("%s: started %v", c.name, started)
		}
		if c.gangStarts != (len(plan.Released) == 8) {
			t.Errorf("%s: %d reservations released", c.name, len(plan.Released))
		}
		if !team.withinLimit(team.Used) || team.Used.GPUs != 8 {
			t.Errorf("%s: the team uses %v", c.name, team.Used)
		}
	}
}

// TestOwnReservationsNeverBlockJob guards against a gang's own reservations using up its
// team's limit, which kept the gang itself from starting for the rest of the day.
func TestOwnReservationsNeverBlockJob(t *testing.T) {
	for _, kind := range []string{jobs.KindGang, jobs.KindArray} {
		job := gangJob("j-1", 1, 2)
		job.Spec.Kind = kind
		team := &Team{Limit: Resources{GPUs: 8}, Used: Resources{GPUs: 20}}
		snapshot := &Snapshot{Machines: testMachines(7), Jobs: []*Job{job}, Teams: map[string]*Team{"a": team}}
		for _, machine := range snapshot.Machines[:5] {
			machine.Reserved = []ReservedSlot{{Pipeline: job.Pipeline(), Priority: 1, Resources: TaskResources(job.Spec)}}
			machine.Spot = true // not allowed for the job: reserved earlier, for another job of the pipeline
		}
		plan := Schedule(snapshot)
		if len(plan.Starts) != 2 || len(plan.Released) != 5 || team.Used.GPUs != 8 {
			t.Errorf("%s: %d started, %d reservations released, the team uses %v", kind, len(plan.Starts), len(plan.Released), team.Used)
		}
	}
}

// TestUnusableReservationsReleased guards against reservations for a large gang that did not
// fit into its team's limit: they kept resources that small gangs had freed, and the team's
// job arrays, which could have used them, were late. A reservation that a waiting job can use
// must stay.
func TestUnusableReservationsReleased(t *testing.T) {
	for _, c := range []struct {
		name      string
		limit     float64
		otherKind string // of the second job of the pipeline, if any
		declared  bool   // slots are reserved for the gang's declared dependencies, so not for the second job
		released  int
	}{
		{"no room in the limit", 16, "", false, 2},
		{"room for the gang", 24, "", false, 0},
		{"a smaller gang", 16, jobs.KindGang, false, 0},
		{"a job array", 16, jobs.KindArray, false, 0},
		{"dependency, no room", 16, jobs.KindArray, true, 2},
		{"dependency, room", 24, jobs.KindArray, true, 0},
	} {
		gang := gangJob("j-1", 1, 3)
		snapshot := &Snapshot{
			Machines: testMachines(2), Jobs: []*Job{gang},
			Teams: map[string]*Team{"a": {Limit: Resources{GPUs: c.limit}, Used: Resources{GPUs: 16}}},
		}
		if c.otherKind != "" {
			other := arrayJob("j-2", "a", 1)
			other.Spec.Kind = c.otherKind
			snapshot.Jobs = append(snapshot.Jobs, other)
		}
		for _, job := range snapshot.Jobs {
			job.AvoidMachines = map[string]bool{"m-0": true, "m-1": true} // keeps the jobs waiting
		}
		pipeline := gang.Pipeline()
		if c.declared {
			pipeline = gang.DependencyPipeline()
		}
		for _, machine := range snapshot.Machines {
			machine.Reserved = []ReservedSlot{{Pipeline: pipeline, Priority: 1, Resources: TaskResources(gang.Spec)}}
		}
		if plan := Schedule(snapshot); len(plan.Released) != c.released {
			t.Errorf("%s: %d released, want %d", c.name, len(plan.Released), c.released)
		}
	}
}
