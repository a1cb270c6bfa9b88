package placement

import (
	"testing"

	"thornnotch/internal/jobs"
)

// reservedSlotCase is a job on the only machine, whose GPUs are reserved for team a's
// class x with priority 1.
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

// TestHoldsKeepPriority: the pipeline's own tasks use a reserved slot, jobs of lower or
// equal priority skip it, those of higher take it, and it never keeps another team from
// its guarantee.
func TestHoldsKeepPriority(t *testing.T) {
	checkReservedSlotCases(t, Pipeline{Team: "a", Class: "x"}, []reservedSlotCase{
		{"own", arrayJob("j-1", "a", 1), 0, 1},
		{"equal", arrayJob("j-1", "b", 1), 0, 0},
		{"lower", arrayJob("j-1", "b", 0), 0, 0},
		{"higher", arrayJob("j-1", "b", 2), 0, 1},
		{"guaranteed", arrayJob("j-1", "b", 0), 4, 1},
	})
}

// TestEdgeHoldsKeepPriority: a slot reserved along an edge that users named is for the
// job that waits and for those before it, whosever they are; others of the same team and
// class are others. It gives way as any reservation does.
func TestEdgeHoldsKeepPriority(t *testing.T) {
	upstream := arrayJob("j-7", "b", 0)
	upstream.ReservedDownstreams = map[string]bool{"j-1": true}
	checkReservedSlotCases(t, Pipeline{"a", "x", "j-1"}, []reservedSlotCase{
		{"the job that waited", arrayJob("j-1", "a", 1), 0, 1},
		{"one before it", upstream, 0, 1},
		{"its team's next", arrayJob("j-2", "a", 1), 0, 0},
		{"equal", arrayJob("j-2", "b", 1), 0, 0},
		{"lower", arrayJob("j-2", "b", 0), 0, 0},
		{"higher", arrayJob("j-2", "b", 2), 0, 1},
		{"guaranteed", arrayJob("j-2", "b", 0), 4, 1},
	})
}

// TestHoldsOfWaitingJobsLeaveTheLimit: a job that waits for others takes no part of its
// team's limit, although reserved slots count toward it: what is reserved for such a job
// gives way to any job of the team at the limit, and only there. Once the job may start,
// its reservations count as others do.
func TestHoldsOfWaitingJobsLeaveTheLimit(t *testing.T) {
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

// TestHoldsGiveWayToLiftedGang guards against Peakdale's steady day: reservations for a
// team's job arrays filled its limit. Once its gang was boosted, what was left of the
// limit was kept for it, so that the arrays could not even use their own slots, and these
// stayed reserved for as long as the arrays waited: nothing of the team ran for the rest
// of the day.
func TestHoldsGiveWayToLiftedGang(t *testing.T) {
	for _, c := range []struct {
		name                        string
		gangPriority, arrayPriority int
		boost                       Boost
		gangStarts, arrayStarts     bool
	}{
		{"higher", 1, 0, NoBoost, true, false},
		{"equal", 1, 1, NoBoost, false, true},
		{"boosted over equal", 1, 1, BoostWithinPriority, true, false},
		{"boosted over all", 0, 1, BoostAboveAll, true, false},
		{"lower", 0, 1, NoBoost, false, true},
	} {
		gang := gangJob("j-1", c.gangPriority, 2)
		gang.Spec.Class, gang.Order, gang.Boost = "big", 1, c.boost
		array := arrayJob("j-2", "a", c.arrayPriority)
		array.Order, array.Spec.GPUs = 2, 1
		setTasks(array, 8)
		team := &Team{Limit: Resources{GPUs: 8}, Used: Resources{GPUs: 8}}
		snapshot := &Snapshot{Machines: testMachines(4), Jobs: []*Job{gang, array}, Teams: map[string]*Team{"a": team}}
		for _, machine := range snapshot.Machines {
			slot := ReservedSlot{Pipeline: array.Pipeline(), Priority: c.arrayPriority, Resources: Resources{1, 1, 1}}
			machine.Reserved = []ReservedSlot{slot, slot}
		}
		plan := Schedule(snapshot)
		started := startedTasks(plan)
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

// TestOwnHoldsNeverKeepItOut guards against the same days: what was reserved for a gang
// used up its team's limit, and so kept the gang itself from starting for the rest of the
// day.
func TestOwnHoldsNeverKeepItOut(t *testing.T) {
	for _, kind := range []string{jobs.KindGang, jobs.KindArray} {
		job := gangJob("j-1", 1, 2)
		job.Spec.Kind = kind
		team := &Team{Limit: Resources{GPUs: 8}, Used: Resources{GPUs: 20}}
		snapshot := &Snapshot{Machines: testMachines(7), Jobs: []*Job{job}, Teams: map[string]*Team{"a": team}}
		for _, machine := range snapshot.Machines[:5] {
			machine.Reserved = []ReservedSlot{{Pipeline: job.Pipeline(), Priority: 1, Resources: TaskResources(job.Spec)}}
			machine.Spot = true // reserved long ago, for another job of the pipeline
		}
		plan := Schedule(snapshot)
		if len(plan.Starts) != 2 || len(plan.Released) != 5 || team.Used.GPUs != 8 {
			t.Errorf("%s: %d started, %d reservations released, the team uses %v", kind, len(plan.Starts), len(plan.Released), team.Used)
		}
	}
}

// TestUselessHoldsAreReleased guards against Peakdale's quiet days: what small gangs left
// was reserved for a large one that the team's limit had no room for, and the team's job
// arrays, which could have used it, were late. A reservation that a waiting job can use
// stays.
func TestUselessHoldsAreReleased(t *testing.T) {
	for _, c := range []struct {
		name      string
		limit     float64
		otherKind string // of the second job of the pipeline, if any
		edges     bool   // the second job is not of it: the gang's upstreams were named
		released  int
	}{
		{"no room in the limit", 16, "", false, 2},
		{"room for the gang", 24, "", false, 0},
		{"a smaller gang", 16, jobs.KindGang, false, 0},
		{"a job array", 16, jobs.KindArray, false, 0},
		{"by edges, no room", 16, jobs.KindArray, true, 2},
		{"by edges, room", 24, jobs.KindArray, true, 0},
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
			job.AvoidMachines = map[string]bool{"m-0": true, "m-1": true} // nothing starts
		}
		pipeline := gang.Pipeline()
		if c.edges {
			pipeline = gang.EdgePipeline()
		}
		for _, machine := range snapshot.Machines {
			machine.Reserved = []ReservedSlot{{Pipeline: pipeline, Priority: 1, Resources: TaskResources(gang.Spec)}}
		}
		if plan := Schedule(snapshot); len(plan.Released) != c.released {
			t.Errorf("%s: %d released, want %d", c.name, len(plan.Released), c.released)
		}
	}
}
