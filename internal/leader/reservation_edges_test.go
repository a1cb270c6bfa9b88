package leader

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
	"thornnotch/internal/workers"
)

// edgeScene is a machine for four tasks with n of a job, which another one of another
// team waits for, while a third, of the first one's owner and workload and as urgent,
// waits for room.
func edgeScene(t *testing.T, n int, now time.Time) (l *Leader, machine *machineState, down, other *jobState) {
	t.Helper()
	l = testLeader(t)
	l.certainty.Watched(now)
	l.teams = append(l.teams, config.Team{Name: "b", GuaranteedGPUs: 0, MaxGPUs: 12})
	l.teams[0].GuaranteedGPUs = 0 // nobody has a guarantee: it would go before any hold
	machine = addMachine(l, "m-1", "east", now)
	machine.agent.Endpoint = ""
	addJob(t, l, arraySpec("j-1", n), now)
	l.runSchedulingPass(now)
	commitAll(l, 100)
	machine.agent.Commands(true, now)
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusRunning, ""), false, now)
	spec := arraySpec("j-2", n)
	spec.Team, spec.DependsOn = "b", []string{"j-1"}
	down = addJob(t, l, spec, now)
	other = addJob(t, l, arraySpec("j-3", n), now)
	return l, machine, down, other
}

// endAll has all tasks on the machine reported done.
func endAll(l *Leader, machine *machineState, now time.Time) {
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusExited, workers.CauseDone), false, now)
}

// TestEdgesAreThePipeline: where users name edges, what a finisher leaves is held for
// the job that waits for it, whosever that is; others as urgent skip it until that job
// may start, which then takes it up.
func TestEdgesAreThePipeline(t *testing.T) {
	now := time.Now()
	l, machine, down, other := edgeScene(t, 4, now)
	now = now.Add(10 * time.Second)
	endAll(l, machine, now)
	holds := l.reservations.OnMachine("m-1")
	if len(holds) != 4 {
		t.Fatalf("%d holds, want 4", len(holds))
	}
	for _, h := range holds {
		if h.Downstream != "j-2" || h.Pipeline != (placement.Pipeline{Team: "b", Class: "x", Downstream: "j-2"}) {
			t.Errorf("held: %+v", h)
		}
	}
	l.runSchedulingPass(now)
	if len(other.attempts) != 0 || len(down.attempts) != 0 {
		t.Fatalf("before the end is recorded %d tasks of the other and %d of the one that waits are placed", len(other.attempts), len(down.attempts))
	}
	commitAll(l, 200)
	l.runSchedulingPass(now)
	if len(down.attempts) != 4 || len(other.attempts) != 0 || len(l.reservations.All()) != 0 {
		t.Errorf("%d tasks of the one that waited, %d of the other, %d holds left", len(down.attempts), len(other.attempts), len(l.reservations.All()))
	}
}

// TestEdgeHoldsAreTakenUp: also where there is room beside them; they are shown as
// barred until the job that they are for may start.
func TestEdgeHoldsAreTakenUp(t *testing.T) {
	now := time.Now()
	l, machine, down, _ := edgeScene(t, 1, now)
	endAll(l, machine, now.Add(10*time.Second))
	shown := func() (out []bool) {
		w := l.snapshotForPlacement(now)
		for _, h := range w.Machines[0].Reserved {
			out = append(out, h.Blocked)
		}
		return out
	}
	if got := shown(); len(got) != 1 || !got[0] {
		t.Errorf("shown while the job waits: barred %v", got)
	}
	commitAll(l, 200)
	if got := shown(); len(got) != 1 || got[0] {
		t.Errorf("shown once it may start: barred %v", got)
	}
	l.runSchedulingPass(now)
	if len(down.attempts) != 1 || len(l.reservations.All()) != 0 {
		t.Errorf("%d tasks placed, %d holds left", len(down.attempts), len(l.reservations.All()))
	}
}

// TestWaitedIsNobodysNext: a job that waited for others has its own pipeline, also once
// it may start: nothing is held for it as its owner's next.
func TestWaitedIsNobodysNext(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	up := addJob(t, l, arraySpec("j-1", 1), now)
	addJob(t, l, arraySpec("j-2", 1), now)
	spec := arraySpec("j-3", 1)
	spec.DependsOn = []string{"j-2"}
	waited := addJob(t, l, spec, now)
	next := addJob(t, l, arraySpec("j-4", 1), now)
	l.removeJob(l.jobs.get("j-2"), now)
	l.upstreamEnded("j-2", jobs.FinalRecord{Status: jobs.StatusDone}, now)
	if waited.upstreams.blocked() {
		t.Fatal("it may not start")
	}
	if got := l.downstreams(up); len(got) != 1 || got[0].Job != next.spec.ID {
		t.Errorf("held for %+v", got)
	}
}

// TestEdgeHoldsEnd: with the cancellation of the job that they are for, and, as any
// hold, at the lapse that the upstream's first finisher set.
func TestEdgeHoldsEnd(t *testing.T) {
	start := time.Now()
	for _, cancelled := range []bool{true, false} {
		l, machine, _, other := edgeScene(t, 4, start)
		now := start.Add(10 * time.Second)
		endAll(l, machine, now)
		if cancelled {
			l.jobRecordDeleted("j-2", now)
		} else {
			o := l.deps.Operator.Holds
			lapse := start.Add(reservations.Options{Alpha: o.Alpha, P: o.P}.Deadline(10*time.Second, 4))
			l.reservations.Expire(lapse.Add(-time.Second), l.hasWaitingTasks)
			if len(l.reservations.All()) != 4 {
				t.Errorf("lapsed early")
			}
			now = lapse.Add(time.Second)
		}
		for _, name := range l.reservations.Expire(now, l.hasWaitingTasks) {
			l.metadataChanged(l.fleet.get(name), now)
		}
		machine.agent.LastHeartbeat, machine.agent.LastAcknowledged = now, now
		l.certainty.Watched(now)
		l.runSchedulingPass(now)
		if len(l.reservations.All()) != 0 || len(other.attempts) != 4 {
			t.Errorf("cancelled %v: %d holds stand, %d tasks of the other are placed", cancelled, len(l.reservations.All()), len(other.attempts))
		}
	}
}

// TestEdgeHoldsOutliveTheLeader: what the next leader reads of a hold along an edge is
// still for the job that waits, not for its owner's next.
func TestEdgeHoldsOutliveTheLeader(t *testing.T) {
	now := time.Now()
	l, machine, _, _ := edgeScene(t, 4, now)
	endAll(l, machine, now.Add(10*time.Second))
	raw, err := json.Marshal(l.machineRecord(machine))
	if err != nil {
		t.Fatal(err)
	}
	var rec wal.Machine
	if err := json.Unmarshal(raw, &rec); err != nil {
		t.Fatal(err)
	}
	next := testLeader(t)
	if err := next.restoreMachine("m-1", &rec, now); err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprint(next.reservations.OnMachine("m-1")), 4; len(next.reservations.OnMachine("m-1")) != want {
		t.Fatalf("%s", got)
	}
	for i, h := range next.reservations.OnMachine("m-1") {
		was := l.reservations.OnMachine("m-1")[i]
		if h.Pipeline != was.Pipeline || h.Downstream != was.Downstream || h.Priority != was.Priority || h.Resources != was.Resources {
			t.Errorf("read as %+v, was %+v", h, was)
		}
	}
}

// TestSeveralDownstreams: of the jobs that wait for one, the one of highest priority
// is held for first, an inherited one included, then the one that must start soonest;
// what waits for room before a held-for job may use its holds.
func TestSeveralDownstreams(t *testing.T) {
	now := time.Now()
	l, _, first, _ := edgeScene(t, 4, now)
	up := l.jobs.get("j-1")
	named := func(id, urgency string, due float64, waits ...string) *jobState {
		spec := arraySpec(id, 2)
		spec.PriorityClass, spec.DependsOn = urgency, waits
		if due > 0 {
			spec.DueS = &due
		}
		return addJob(t, l, spec, now)
	}
	named("j-4", "standard", 500, "j-1")
	side := addJob(t, l, arraySpec("j-5", 1), now)
	named("j-6", "standard", 90, "j-1", "j-5")
	named("j-7", "idle", 0, "j-1")
	last := named("j-8", "urgent", 0, "j-7")
	want := []string{"j-7", "j-6", "j-4", "j-2"}
	var got []string
	for _, d := range l.downstreams(up) {
		got = append(got, d.Job)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("held for %v, want %v", got, want)
	}
	endAll(l, l.fleet.get("m-1"), now.Add(5*time.Second)) // two for j-7, two for j-6
	if l.snapshotForPlacement(now); !side.view.Owns(l.jobs.get("j-6").view.EdgePipeline()) || side.view.Owns(l.jobs.get("j-4").view.EdgePipeline()) || last.view.Owns(l.jobs.get("j-7").view.EdgePipeline()) {
		t.Errorf("who may use the holds: one before %v, another %v, one after %v", side.view.ReservedDownstreams, first.view.ReservedDownstreams, last.view.ReservedDownstreams)
	}
	// A job that waited and has nothing after it ends its pipeline: nothing is held for
	// its owner's next.
	if next := l.downstreams(last); len(next) != 0 {
		t.Errorf("held for %v after the last of a chain", next)
	}
}

// TestHoldsInSubmissionOrderAreAChoice: without them what a finisher leaves where no
// edges are named is held for nobody, and what users name with waitsOn is held as before.
func TestHoldsInSubmissionOrderAreAChoice(t *testing.T) {
	for _, inOrder := range []bool{true, false} {
		now := time.Now()
		l := testLeader(t)
		l.deps.Operator.Holds.SubmissionOrder = inOrder
		l.teams[0].MaxGPUs = 4 // the next one has to wait
		machine := addMachine(l, "m-1", "east", now)
		addJob(t, l, arraySpec("j-1", 4), now)
		l.runSchedulingPass(now)
		commitAll(l, 100)
		machine.agent.Commands(true, now)
		l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusRunning, ""), false, now)
		addJob(t, l, arraySpec("j-2", 4), now)
		endAll(l, machine, now.Add(10*time.Second))
		if got, want := len(l.reservations.All()), map[bool]int{true: 4}[inOrder]; got != want {
			t.Errorf("in submission order %v: %d holds, want %d", inOrder, got, want)
		}
		now = time.Now()
		edged, machine, _, _ := edgeScene(t, 4, now)
		edged.deps.Operator.Holds.SubmissionOrder = inOrder
		endAll(edged, machine, now.Add(10*time.Second))
		if got := len(edged.reservations.All()); got != 4 {
			t.Errorf("in submission order %v: %d holds along edges", inOrder, got)
		}
	}
}
