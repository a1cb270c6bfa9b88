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
	"thornnotch/internal/wirejson"
	"thornnotch/internal/workers"
)

// dependencyFixture is a leader with one machine for four tasks that runs the tasks of an
// upstream job. A downstream job of another team depends on the upstream job. A third job, of
// the same team, class and priority as the upstream job, waits for resources.
type dependencyFixture struct {
	leader                      *Leader
	machine                     *machineState
	upstream, downstream, other *jobState
}

// newDependencyFixture returns a fixture in which each job has the given number of tasks.
func newDependencyFixture(t *testing.T, tasks int, now time.Time) dependencyFixture {
	t.Helper()
	l := testLeader(t)
	l.staleness.RecordWatch(now)
	l.teams = append(l.teams, config.Team{Name: "b", GuaranteedGPUs: 0, MaxGPUs: 12})
	l.teams[0].GuaranteedGPUs = 0 // guarantees would take precedence over reservations
	f := dependencyFixture{leader: l, machine: addMachine(l, "m-1", "east", now)}
	f.machine.worker.Endpoint = ""
	f.upstream = addJob(t, l, arraySpec("j-1", tasks), now)
	startAndSendHeartbeat(l, f.machine, now)
	spec := arraySpec("j-2", tasks)
	spec.Team, spec.DependsOn = "b", []string{"j-1"}
	f.downstream = addJob(t, l, spec, now)
	f.other = addJob(t, l, arraySpec("j-3", tasks), now)
	return f
}

// startAndSendHeartbeat runs a scheduling pass and lets the machine report its tasks as running.
func startAndSendHeartbeat(l *Leader, machine *machineState, now time.Time) {
	l.runSchedulingPass(now)
	commitPending(l, 100)
	machine.worker.Commands(true, now)
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusRunning, ""), false, now)
}

// finishAll lets a machine report all its tasks as done.
func finishAll(l *Leader, machine *machineState, now time.Time) {
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusExited, workers.CauseDone), false, now)
}

// reservationCount returns the number of reservations.
func (f dependencyFixture) reservationCount() int { return len(f.leader.reservations.All()) }

// TestReservationsFollowDependencies checks that the resources of a finished task are reserved
// for the job that depends on it, even one of another team. Other jobs of the same priority
// can't use them; the downstream job consumes them as soon as it may start.
func TestReservationsFollowDependencies(t *testing.T) {
	now := time.Now()
	f := newDependencyFixture(t, 4, now)
	now = now.Add(10 * time.Second)
	finishAll(f.leader, f.machine, now)
	onMachine := f.leader.reservations.OnMachine("m-1")
	if len(onMachine) != 4 {
		t.Fatalf("%d reservations, want 4", len(onMachine))
	}
	for _, reservation := range onMachine {
		if reservation.Downstream != "j-2" || reservation.Pipeline != (placement.Pipeline{Team: "b", Class: "x", Downstream: "j-2"}) {
			t.Errorf("reservation for the wrong job or pipeline: %+v", reservation)
		}
	}

	f.leader.runSchedulingPass(now)
	if len(f.other.attempts) != 0 || len(f.downstream.attempts) != 0 {
		t.Fatalf("before the completion is recorded: %d tasks of the other and %d of the downstream job placed, want none", len(f.other.attempts), len(f.downstream.attempts))
	}

	commitPending(f.leader, 200)
	f.leader.runSchedulingPass(now)
	if len(f.downstream.attempts) != 4 || len(f.other.attempts) != 0 || f.reservationCount() != 0 {
		t.Errorf("%d tasks of the downstream and %d of the other job placed, %d reservations left; want 4, 0 and 0", len(f.downstream.attempts), len(f.other.attempts), f.reservationCount())
	}
}

// TestDependencyReservationsAreConsumed checks that the downstream job consumes its
// reservation even if the machine has other free resources, and that the snapshot shows the
// reservation as blocked until that job may start.
func TestDependencyReservationsAreConsumed(t *testing.T) {
	now := time.Now()
	f := newDependencyFixture(t, 1, now)
	finishAll(f.leader, f.machine, now.Add(10*time.Second))
	blocked := func() (blocked []bool) {
		for _, slot := range f.leader.placementSnapshot(now).Machines[0].Reserved {
			blocked = append(blocked, slot.Blocked)
		}
		return blocked
	}
	if got := blocked(); !slices.Equal(got, []bool{true}) {
		t.Errorf("blocked before the job may start: %v, want true", got)
	}
	commitPending(f.leader, 200)
	if got := blocked(); !slices.Equal(got, []bool{false}) {
		t.Errorf("blocked once the job may start: %v, want false", got)
	}
	f.leader.runSchedulingPass(now)
	if len(f.downstream.attempts) != 1 || f.reservationCount() != 0 {
		t.Errorf("%d tasks placed, %d reservations left; want 1 and 0", len(f.downstream.attempts), f.reservationCount())
	}
}

// TestJobWithDependenciesKeepsItsPipeline checks that a job with dependencies keeps its own
// pipeline even when it is no longer blocked: it gets no reservation as the next job of its
// team and class.
func TestJobWithDependenciesKeepsItsPipeline(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	first := addJob(t, l, arraySpec("j-1", 1), now)
	upstream := addJob(t, l, arraySpec("j-2", 1), now)
	spec := arraySpec("j-3", 1)
	spec.DependsOn = []string{"j-2"}
	dependent := addJob(t, l, spec, now)
	next := addJob(t, l, arraySpec("j-4", 1), now)

	l.removeJob(upstream, now)
	l.upstreamEnded("j-2", jobs.FinalRecord{Status: jobs.StatusDone}, now)
	if dependent.upstreams.blocked() {
		t.Fatal("the job is still blocked")
	}
	if got := l.downstreams(first); len(got) != 1 || got[0].Job != next.spec.ID {
		t.Errorf("downstreams %+v, want only the next job without dependencies", got)
	}
}

// TestDependencyReservationsEnd checks that reservations for a dependent job end when that job
// is cancelled and, like all reservations, at the deadline computed from the upstream job's
// first finished task.
func TestDependencyReservationsEnd(t *testing.T) {
	start := time.Now()
	finished := start.Add(10 * time.Second)
	checkOtherStarts := func(t *testing.T, f dependencyFixture, now time.Time) {
		t.Helper()
		for _, name := range f.leader.reservations.Expire(now, f.leader.hasWaitingTasks) {
			f.leader.metadataChanged(f.leader.fleet.get(name), now)
		}
		f.machine.worker.LastMessageAt, f.machine.worker.LastAcknowledged = now, now
		f.leader.staleness.RecordWatch(now)
		f.leader.runSchedulingPass(now)
		if f.reservationCount() != 0 || len(f.other.attempts) != 4 {
			t.Errorf("%d reservations left, %d tasks of the other job placed; want 0 and 4", f.reservationCount(), len(f.other.attempts))
		}
	}
	t.Run("cancelled", func(t *testing.T) {
		f := newDependencyFixture(t, 4, start)
		finishAll(f.leader, f.machine, finished)
		f.leader.jobRecordDeleted("j-2", finished)
		checkOtherStarts(t, f, finished)
	})
	t.Run("expired", func(t *testing.T) {
		f := newDependencyFixture(t, 4, start)
		finishAll(f.leader, f.machine, finished)
		settings := f.leader.deps.Operator.Reservations
		expiry := start.Add(reservations.Options{Alpha: settings.Alpha, P: settings.P}.Deadline(10*time.Second, 4))
		f.leader.reservations.Expire(expiry.Add(-time.Second), f.leader.hasWaitingTasks)
		if f.reservationCount() != 4 {
			t.Errorf("reservations expired before their deadline")
		}
		checkOtherStarts(t, f, expiry.Add(time.Second))
	})
}

// TestDependencyReservationsSurviveFailover checks that the next leader restores a reservation
// for a dependent job as one for that job, not for the next job of its team.
func TestDependencyReservationsSurviveFailover(t *testing.T) {
	now := time.Now()
	f := newDependencyFixture(t, 4, now)
	finishAll(f.leader, f.machine, now.Add(10*time.Second))
	raw, err := json.Marshal(f.leader.machineRecord(f.machine))
	if err != nil {
		t.Fatal(err)
	}
	var record wal.Machine
	if err := wirejson.Decode(raw, &record); err != nil {
		t.Fatal(err)
	}
	next := testLeader(t)
	if err := next.restoreMachine("m-1", &record, now); err != nil {
		t.Fatal(err)
	}
	restored, original := next.reservations.OnMachine("m-1"), f.leader.reservations.OnMachine("m-1")
	if len(restored) != 4 {
		t.Fatalf("restored %v, want 4 reservations", restored)
	}
	for i, got := range restored {
		want := original[i]
		if got.Pipeline != want.Pipeline || got.Downstream != want.Downstream || got.Priority != want.Priority || got.Resources != want.Resources {
			t.Errorf("restored %+v, want %+v", got, want)
		}
	}
}

// TestDownstreamOrder checks the order in which several downstream jobs get reservations: by
// priority, own or inherited, then by latest start. Only upstream jobs of a job may use its
// reservations.
func TestDownstreamOrder(t *testing.T) {
	now := time.Now()
	f := newDependencyFixture(t, 4, now)
	l := f.leader
	addDependent := func(id, priorityClass string, deadlineS float64, upstreams ...string) *jobState {
		spec := arraySpec(id, 2)
		spec.PriorityClass, spec.DependsOn = priorityClass, upstreams
		if deadlineS > 0 {
			spec.DeadlineS = &deadlineS
		}
		return addJob(t, l, spec, now)
	}
	late := addDependent("j-4", "standard", 500, "j-1")
	secondUpstream := addJob(t, l, arraySpec("j-5", 1), now)
	soon := addDependent("j-6", "standard", 90, "j-1", "j-5")
	urgent := addDependent("j-7", "idle", 0, "j-1") // inherits the priority of j-8
	last := addDependent("j-8", "urgent", 0, "j-7")

	var got []string
	for _, downstream := range l.downstreams(f.upstream) {
		got = append(got, downstream.Job)
	}
	if want := []string{"j-7", "j-6", "j-4", "j-2"}; !slices.Equal(got, want) {
		t.Errorf("downstreams %v, want %v", got, want)
	}

	finishAll(l, f.machine, now.Add(5*time.Second)) // reserves two slots for j-7 and two for j-6
	l.placementSnapshot(now)
	if !secondUpstream.view.BelongsTo(soon.view.DependencyPipeline()) {
		t.Errorf("an upstream job may not use the reservations: %v", secondUpstream.view.ReservedDownstreams)
	}
	if secondUpstream.view.BelongsTo(late.view.DependencyPipeline()) {
		t.Errorf("a job that is not upstream may use the reservations: %v", secondUpstream.view.ReservedDownstreams)
	}
	if last.view.BelongsTo(urgent.view.DependencyPipeline()) {
		t.Errorf("a downstream job may use the reservations: %v", last.view.ReservedDownstreams)
	}

	// A job with dependencies but no dependents ends its pipeline: nothing is reserved for
	// the next job of its team.
	if next := l.downstreams(last); len(next) != 0 {
		t.Errorf("downstreams %v of the last job of a chain, want none", next)
	}
}

// TestSubmissionOrderReservationsAreOptional checks that with the setting off a finished task
// of a job without dependencies leaves no reservation, while reservations for dependent jobs
// are not affected.
func TestSubmissionOrderReservationsAreOptional(t *testing.T) {
	for _, submissionOrder := range []bool{true, false} {
		now := time.Now()
		l := testLeader(t)
		l.deps.Operator.Reservations.SubmissionOrder = submissionOrder
		l.teams[0].MaxGPUs = 4 // so that the next job waits
		machine := addMachine(l, "m-1", "east", now)
		addJob(t, l, arraySpec("j-1", 4), now)
		startAndSendHeartbeat(l, machine, now)
		addJob(t, l, arraySpec("j-2", 4), now)
		finishAll(l, machine, now.Add(10*time.Second))
		if got, want := len(l.reservations.All()), map[bool]int{true: 4}[submissionOrder]; got != want {
			t.Errorf("submission order %v: %d reservations, want %d", submissionOrder, got, want)
		}

		f := newDependencyFixture(t, 4, now)
		f.leader.deps.Operator.Reservations.SubmissionOrder = submissionOrder
		finishAll(f.leader, f.machine, now.Add(10*time.Second))
		if got := f.reservationCount(); got != 4 {
			t.Errorf("submission order %v: %d reservations for the dependent job, want 4", submissionOrder, got)
		}
	}
}
