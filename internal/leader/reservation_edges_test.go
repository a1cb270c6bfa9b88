package leader

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
	"thornnotch/internal/workers"
)

// edgeScene is a machine for four tasks that runs those of an upstream job. A downstream
// job of another team depends on that one, while a third, of the upstream's team and class
// and of the same priority, waits for room.
type edgeScene struct {
	leader                      *Leader
	machine                     *machineState
	upstream, downstream, other *jobState
}

// newEdgeScene makes the scene, each job with so many tasks.
func newEdgeScene(t *testing.T, tasks int, now time.Time) edgeScene {
	t.Helper()
	l := testLeader(t)
	l.certainty.Watched(now)
	l.teams = append(l.teams, config.Team{Name: "b", GuaranteedGPUs: 0, MaxGPUs: 12})
	l.teams[0].GuaranteedGPUs = 0 // nobody has a guarantee: it would go before any reservation
	s := edgeScene{leader: l, machine: addMachine(l, "m-1", "east", now)}
	s.machine.agent.Endpoint = ""
	s.upstream = addJob(t, l, arraySpec("j-1", tasks), now)
	startAndReport(l, s.machine, now)
	spec := arraySpec("j-2", tasks)
	spec.Team, spec.DependsOn = "b", []string{"j-1"}
	s.downstream = addJob(t, l, spec, now)
	s.other = addJob(t, l, arraySpec("j-3", tasks), now)
	return s
}

// startAndReport places what fits on a machine, and has it reported as running.
func startAndReport(l *Leader, machine *machineState, now time.Time) {
	l.runSchedulingPass(now)
	commitAll(l, 100)
	machine.agent.Commands(true, now)
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusRunning, ""), false, now)
}

// finishAll has all tasks on a machine reported done.
func finishAll(l *Leader, machine *machineState, now time.Time) {
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusExited, workers.CauseDone), false, now)
}

// reserved counts all reservations.
func (s edgeScene) reserved() int { return len(s.leader.reservations.All()) }

// TestEdgesAreThePipeline: where users name dependencies, what a finished task leaves is
// reserved for the job that waits for it, whosever that is; others of the same priority
// skip it until that job may start, which then takes it up.
func TestEdgesAreThePipeline(t *testing.T) {
	now := time.Now()
	s := newEdgeScene(t, 4, now)
	now = now.Add(10 * time.Second)
	finishAll(s.leader, s.machine, now)
	holds := s.leader.reservations.OnMachine("m-1")
	if len(holds) != 4 {
		t.Fatalf("%d reservations, want 4", len(holds))
	}
	for _, hold := range holds {
		if hold.Downstream != "j-2" || hold.Pipeline != (placement.Pipeline{Team: "b", Class: "x", Downstream: "j-2"}) {
			t.Errorf("reserved: %+v", hold)
		}
	}

	s.leader.runSchedulingPass(now)
	if len(s.other.attempts) != 0 || len(s.downstream.attempts) != 0 {
		t.Fatalf("before the end is recorded %d tasks of the other and %d of the downstream are placed", len(s.other.attempts), len(s.downstream.attempts))
	}

	commitAll(s.leader, 200)
	s.leader.runSchedulingPass(now)
	if len(s.downstream.attempts) != 4 || len(s.other.attempts) != 0 || s.reserved() != 0 {
		t.Errorf("%d tasks of the downstream, %d of the other, %d reservations left", len(s.downstream.attempts), len(s.other.attempts), s.reserved())
	}
}

// TestEdgeHoldsAreTakenUp: also where there is room beside them; they are shown as
// blocked until the job that they are for may start.
func TestEdgeHoldsAreTakenUp(t *testing.T) {
	now := time.Now()
	s := newEdgeScene(t, 1, now)
	finishAll(s.leader, s.machine, now.Add(10*time.Second))
	blocked := func() (blocked []bool) {
		for _, slot := range s.leader.snapshotForPlacement(now).Machines[0].Reserved {
			blocked = append(blocked, slot.Blocked)
		}
		return blocked
	}
	if got := blocked(); !slices.Equal(got, []bool{true}) {
		t.Errorf("shown while the job waits: blocked %v", got)
	}
	commitAll(s.leader, 200)
	if got := blocked(); !slices.Equal(got, []bool{false}) {
		t.Errorf("shown once it may start: blocked %v", got)
	}
	s.leader.runSchedulingPass(now)
	if len(s.downstream.attempts) != 1 || s.reserved() != 0 {
		t.Errorf("%d tasks placed, %d reservations left", len(s.downstream.attempts), s.reserved())
	}
}

// TestWaitedIsNobodysNext: a job that waited for others has its own pipeline, also once
// it may start: nothing is reserved for it as its team's next.
func TestWaitedIsNobodysNext(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	first := addJob(t, l, arraySpec("j-1", 1), now)
	upstream := addJob(t, l, arraySpec("j-2", 1), now)
	spec := arraySpec("j-3", 1)
	spec.DependsOn = []string{"j-2"}
	waited := addJob(t, l, spec, now)
	next := addJob(t, l, arraySpec("j-4", 1), now)

	l.removeJob(upstream, now)
	l.upstreamEnded("j-2", jobs.FinalRecord{Status: jobs.StatusDone}, now)
	if waited.upstreams.blocked() {
		t.Fatal("it may not start")
	}
	if got := l.downstreams(first); len(got) != 1 || got[0].Job != next.spec.ID {
		t.Errorf("reserved for %+v", got)
	}
}

// TestEdgeHoldsEnd: with the cancellation of the job that they are for, and, as any
// reservation, at the time that the upstream's first finished task set.
func TestEdgeHoldsEnd(t *testing.T) {
	start := time.Now()
	finished := start.Add(10 * time.Second)
	checkOtherStarts := func(t *testing.T, s edgeScene, now time.Time) {
		t.Helper()
		for _, name := range s.leader.reservations.Expire(now, s.leader.hasWaitingTasks) {
			s.leader.metadataChanged(s.leader.fleet.get(name), now)
		}
		s.machine.agent.LastHeartbeat, s.machine.agent.LastAcknowledged = now, now
		s.leader.certainty.Watched(now)
		s.leader.runSchedulingPass(now)
		if s.reserved() != 0 || len(s.other.attempts) != 4 {
			t.Errorf("%d reservations stand, %d tasks of the other are placed", s.reserved(), len(s.other.attempts))
		}
	}
	t.Run("cancelled", func(t *testing.T) {
		s := newEdgeScene(t, 4, start)
		finishAll(s.leader, s.machine, finished)
		s.leader.jobRecordDeleted("j-2", finished)
		checkOtherStarts(t, s, finished)
	})
	t.Run("expired", func(t *testing.T) {
		s := newEdgeScene(t, 4, start)
		finishAll(s.leader, s.machine, finished)
		settings := s.leader.deps.Operator.Holds
		expiry := start.Add(reservations.Options{Alpha: settings.Alpha, P: settings.P}.Deadline(10*time.Second, 4))
		s.leader.reservations.Expire(expiry.Add(-time.Second), s.leader.hasWaitingTasks)
		if s.reserved() != 4 {
			t.Errorf("expired early")
		}
		checkOtherStarts(t, s, expiry.Add(time.Second))
	})
}

// TestEdgeHoldsOutliveTheLeader: what the next leader reads of a reservation along an edge
// is still for the job that waits, not for its team's next.
func TestEdgeHoldsOutliveTheLeader(t *testing.T) {
	now := time.Now()
	s := newEdgeScene(t, 4, now)
	finishAll(s.leader, s.machine, now.Add(10*time.Second))
	raw, err := json.Marshal(s.leader.machineRecord(s.machine))
	if err != nil {
		t.Fatal(err)
	}
	var record wal.Machine
	if err := json.Unmarshal(raw, &record); err != nil {
		t.Fatal(err)
	}
	next := testLeader(t)
	if err := next.restoreMachine("m-1", &record, now); err != nil {
		t.Fatal(err)
	}
	restored, original := next.reservations.OnMachine("m-1"), s.leader.reservations.OnMachine("m-1")
	if len(restored) != 4 {
		t.Fatalf("%v", restored)
	}
	for i, got := range restored {
		want := original[i]
		if got.Pipeline != want.Pipeline || got.Downstream != want.Downstream || got.Priority != want.Priority || got.Resources != want.Resources {
			t.Errorf("read as %+v, was %+v", got, want)
		}
	}
}

// TestSeveralDownstreams: of the jobs that wait for one, the one of highest priority
// has its room reserved first, an inherited one included, then the one that must start
// soonest; what waits for room upstream of a job may use its reservations.
func TestSeveralDownstreams(t *testing.T) {
	now := time.Now()
	s := newEdgeScene(t, 4, now)
	l := s.leader
	addDependent := func(id, priorityClass string, dueS float64, upstreams ...string) *jobState {
		spec := arraySpec(id, 2)
		spec.PriorityClass, spec.DependsOn = priorityClass, upstreams
		if dueS > 0 {
			spec.DueS = &dueS
		}
		return addJob(t, l, spec, now)
	}
	late := addDependent("j-4", "standard", 500, "j-1")
	side := addJob(t, l, arraySpec("j-5", 1), now)
	soon := addDependent("j-6", "standard", 90, "j-1", "j-5")
	urgent := addDependent("j-7", "idle", 0, "j-1") // by what depends on it
	last := addDependent("j-8", "urgent", 0, "j-7")

	var got []string
	for _, downstream := range l.downstreams(s.upstream) {
		got = append(got, downstream.Job)
	}
	if want := []string{"j-7", "j-6", "j-4", "j-2"}; !slices.Equal(got, want) {
		t.Errorf("reserved for %v, want %v", got, want)
	}

	finishAll(l, s.machine, now.Add(5*time.Second)) // two for j-7, two for j-6
	l.snapshotForPlacement(now)
	if !side.view.Owns(soon.view.EdgePipeline()) {
		t.Errorf("an upstream may not use the reservations: %v", side.view.ReservedDownstreams)
	}
	if side.view.Owns(late.view.EdgePipeline()) {
		t.Errorf("a job that is no upstream may use the reservations: %v", side.view.ReservedDownstreams)
	}
	if last.view.Owns(urgent.view.EdgePipeline()) {
		t.Errorf("a downstream may use the reservations: %v", last.view.ReservedDownstreams)
	}

	// A job that waited and has nothing after it ends its pipeline: nothing is reserved
	// for its team's next.
	if next := l.downstreams(last); len(next) != 0 {
		t.Errorf("reserved for %v after the last of a chain", next)
	}
}

// TestHoldsInSubmissionOrderAreAChoice: without them what a finished task leaves where no
// dependencies are named is reserved for nobody, and along named ones it is as before.
func TestHoldsInSubmissionOrderAreAChoice(t *testing.T) {
	for _, inOrder := range []bool{true, false} {
		now := time.Now()
		l := testLeader(t)
		l.deps.Operator.Holds.SubmissionOrder = inOrder
		l.teams[0].MaxGPUs = 4 // the next one has to wait
		machine := addMachine(l, "m-1", "east", now)
		addJob(t, l, arraySpec("j-1", 4), now)
		startAndReport(l, machine, now)
		addJob(t, l, arraySpec("j-2", 4), now)
		finishAll(l, machine, now.Add(10*time.Second))
		if got, want := len(l.reservations.All()), map[bool]int{true: 4}[inOrder]; got != want {
			t.Errorf("in submission order %v: %d reservations, want %d", inOrder, got, want)
		}

		s := newEdgeScene(t, 4, now)
		s.leader.deps.Operator.Holds.SubmissionOrder = inOrder
		finishAll(s.leader, s.machine, now.Add(10*time.Second))
		if got := s.reserved(); got != 4 {
			t.Errorf("in submission order %v: %d reservations along edges", inOrder, got)
		}
	}
}
