package leader

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/statestore"
	"thornnotch/internal/testseed"
	"thornnotch/internal/workers"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m, 300)) }

func testLeader(t testing.TB) *Leader {
	t.Helper()
	set := &config.Settings{Params: config.Params{
		Teams:   []config.Team{{Name: "a", GPUs: 8, GPUsMax: 16}},
		Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 37, GangPeerS: 8, GangWaitS: 30},
		State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 12}, Cloud: config.Cloud{RPS: 2, ListLagS: 5},
	}}
	cat := &autoscaling.Catalog{MachineTypes: []autoscaling.MachineType{{
		Name: "g4", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 80, FetchGBPerS: 1,
		OnDemandPrice: 10, SpotPrice: 5, BootS: 25, Zones: []string{"east", "west"},
	}}}
	l := New(Deps{
		Settings: set, Operator: config.DefaultOperator(), Catalog: func() *autoscaling.Catalog { return cat },
		Log: slog.New(slog.DiscardHandler),
	}, election.Grant{Term: 3, Revision: 7})
	l.loaded = true
	return l
}

// addRig gives the leader a machine that has just reported.
func addRig(l *Leader, name, zone string, now time.Time) *machine {
	r := l.machine(name, now)
	r.agent.Observe(&workers.Heartbeat{Machine: name, MachineType: "g4", Zone: zone, Epoch: 1, Sequence: 1, Token: l.grant.Term}, l.grant.Term, false, now)
	r.agent.LastAcknowledged = now
	return r
}

// TestDarkZoneIsWaitedFor guards against an incident: a zone was cut off for
// 45 s, and all its machines were given up after 37.
func TestDarkZoneIsWaitedFor(t *testing.T) {
	t0 := time.Unix(1000, 0)
	l := testLeader(t)
	for i := range 4 {
		addRig(l, fmt.Sprint("m-e", i), "east", t0)
		addRig(l, fmt.Sprint("m-w", i), "west", t0)
	}
	now := t0.Add(l.lease + constants.SilentReturnAfter + time.Second)
	for i := range 4 {
		l.machines[fmt.Sprint("m-w", i)].agent.LastHeartbeat = now
	}
	l.machines["m-w0"].agent.LastHeartbeat = t0 // one machine of the other zone died
	l.retireMachines(now)
	for name, r := range l.machines {
		if want := name == "m-w0"; r.leaving != want {
			t.Errorf("%s: leaving %v, want %v", name, r.leaving, want)
		}
	}
	v := l.scalingView(now)
	if !v.Refused[autoscaling.InstancePool{Type: "g4", Zone: "east"}] || v.Refused[autoscaling.InstancePool{Type: "g4", Zone: "west"}] {
		t.Errorf("renting in a zone that can't be reached: %v", v.Refused)
	}
	if n := v.Have[autoscaling.InstancePool{Type: "g4", Zone: "east"}]; n != 0 {
		t.Errorf("%d silent machines are counted on", n)
	}
	// The cut heals: three of the four are back a few seconds before the last.
	back := now.Add(20 * time.Second)
	for i := range 3 {
		l.machines[fmt.Sprint("m-e", i)].agent.LastHeartbeat = back
	}
	l.retireMachines(back.Add(time.Second))
	if l.machines["m-e3"].leaving {
		t.Errorf("the last one is given up as the cut heals")
	}
	l.retireMachines(back.Add(constants.UnreachableHold + l.lease + constants.SilentReturnAfter))
	if !l.machines["m-e3"].leaving {
		t.Errorf("one that does not come back with the others is never given up")
	}
	for i := range 4 {
		r := l.machines[fmt.Sprint("m-e", i)]
		r.agent.LastHeartbeat, r.leaving = t0, false
	}
	l.retireMachines(t0.Add(l.lease + constants.UnreachableReturnAfter + time.Second))
	if !l.machines["m-e0"].leaving {
		t.Errorf("a zone that stays dark is never given up")
	}
}

// addJob gives the leader an accepted job.
func addJob(t testing.TB, l *Leader, j jobs.Spec, now time.Time) *jobState {
	t.Helper()
	raw, err := json.Marshal(jobs.Record{Spec: j, AtMS: now.UnixMilli()})
	if err != nil {
		t.Fatal(err)
	}
	l.addJob(jobs.OpenPrefix+j.ID, raw, uint64(len(l.jobs)+1), now)
	return l.jobs[j.ID]
}

func sweep(id string, pieces int) jobs.Spec {
	return jobs.Spec{
		ID: id, Class: "x", Team: "a", Kind: jobs.KindArray, PriorityClass: "standard", Tasks: pieces,
		CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 5, AllowSpot: true, ExpectedS: 30, CheckpointIntervalS: 5, SaveS: 1,
	}
}

// report makes a worker's next report with these tasks in this state.
func report(l *Leader, r *machine, status, cause string) *workers.Heartbeat {
	rep := &workers.Heartbeat{Machine: r.agent.Name, MachineType: r.agent.Type, Zone: r.agent.Zone, Epoch: r.agent.Epoch, Sequence: r.agent.Sequence + 1, Token: l.grant.Term}
	for _, a := range r.agent.SortedAttempts() {
		rep.Tasks = append(rep.Tasks, workers.TaskReport{Task: a.ID.Task.String(), Attempt: a.ID.Number, Status: status, Cause: cause})
	}
	return rep
}

// settle carries out what the leader wants to record, as the state service
// would, and returns the epoch.
func settle(l *Leader, epoch uint64) uint64 {
	for l.commits.log.Pending() || len(l.commits.finalizing) > 0 {
		if l.nextTxn() == nil {
			break
		}
		epoch++
		l.committed(commitResult{epoch: epoch})
	}
	return epoch
}

// TestStartsFollowTheirRecord walks one job through placement, record, start,
// end and completion: no order leaves before the record it needs.
func TestStartsFollowTheirRecord(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	r := addRig(l, "m-1", "east", now)
	j := addJob(t, l, sweep("j-1", 2), now)
	l.runSchedulingPass(now)
	if len(j.attempts) != 2 || len(r.agent.Commands(true, now)) != 0 {
		t.Fatalf("%d placed, %d orders before the record", len(j.attempts), len(r.agent.Commands(true, now)))
	}
	epoch := settle(l, 100)
	if got := r.agent.Commands(true, now); len(got) != 2 || got[0].Verb != workers.VerbRun {
		t.Fatalf("after the record: %v", got)
	}
	l.applyHeartbeat(r, report(l, r, workers.StatusRunning, ""), false, now)
	if len(r.images) != 1 || !r.images[0].have || l.metadata.due[r].IsZero() {
		t.Errorf("the image is not noted for the next leader")
	}
	l.applyHeartbeat(r, report(l, r, workers.StatusExited, workers.CauseDone), false, now)
	if !j.complete || len(r.agent.Commands(true, now)) != 0 {
		t.Fatalf("closing %v, orders %v before completion is recorded", j.complete, r.agent.Commands(true, now))
	}
	settle(l, epoch)
	if got := r.agent.Commands(true, now); len(got) != 2 || got[0].Verb != workers.VerbForget {
		t.Fatalf("after completion: %v", got)
	}
	if l.jobs["j-1"] != nil {
		t.Errorf("the job is still open")
	}
}

// TestCancelledTasksStillCount: a cancelled job's tasks count for their team
// until they are proven gone, also for the next leader.
func TestCancelledTasksStillCount(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	r := addRig(l, "m-1", "east", now)
	addJob(t, l, sweep("j-1", 3), now)
	l.runSchedulingPass(now)
	settle(l, 100)
	r.agent.Commands(true, now)
	l.applyHeartbeat(r, report(l, r, workers.StatusRunning, ""), false, now)
	r.agent.Endpoint = "" // nothing to be told directly here
	l.jobRecordDeleted("j-1", now)
	w, _ := l.snapshotForPlacement(now)
	if got := w.Teams["a"].Used.GPUs; got != 3 {
		t.Errorf("%v GPUs in use after the cancellation, want 3", got)
	}
	rec := l.machineRecord(r)
	if len(rec.Attempts) != 3 || rec.Jobs["j-1"].Team != "a" || roomOf(rec.Jobs["j-1"].Resources).GPUs != 1 {
		t.Errorf("the record does not carry them: %+v", rec)
	}
	l.applyHeartbeat(r, report(l, r, workers.StatusExited, "halted"), false, now)
	if w, _ = l.snapshotForPlacement(now); w.Teams["a"].Used.GPUs != 0 {
		t.Errorf("they count for ever")
	}
}

// TestLateWriteClashes: a transaction without an answer is sent again as it
// was; when it clashes, the head tells that the first try was carried out.
func TestLateWriteClashes(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	r := addRig(l, "m-1", "east", now)
	addJob(t, l, sweep("j-1", 1), now)
	l.runSchedulingPass(now)
	first := l.nextTxn()
	l.committed(commitResult{err: fmt.Errorf("no answer")})
	if l.commits.backoff == 0 || len(r.agent.Commands(true, now)) != 0 {
		t.Fatalf("an unknown outcome counts as success")
	}
	again := l.nextTxn()
	if again != first {
		t.Fatalf("another transaction is sent in place of the first")
	}
	var head wal.Head
	if err := json.Unmarshal(first.Writes[0].Value, &head); err != nil || first.Writes[0].Put != wal.HeadKey {
		t.Fatalf("%+v: %v", first.Writes, err)
	}
	clash := &statestore.ConflictError{Failed: []string{wal.HeadKey}}
	l.committed(commitResult{err: clash, failed: clash, head: &head, stamp: 55})
	if l.termErr != nil || len(r.agent.Commands(true, now)) != 1 {
		t.Fatalf("the first try stands, but the start does not leave (%v)", l.termErr)
	}
	addJob(t, l, sweep("j-2", 1), now)
	l.runSchedulingPass(now)
	if next := l.nextTxn(); next.When[0].Revision != 55 {
		t.Errorf("the next one builds on %+v", next.When)
	}
	// A head that is not ours means that another node writes the log.
	l.committed(commitResult{err: clash, failed: clash, head: &wal.Head{Term: 9}, stamp: 60})
	if l.termErr == nil {
		t.Errorf("the leader goes on although another writes")
	}
}

// TestIdleMachinesOutliveATakeover guards against an incident: a new leader knew
// idle machines from the cloud's list alone, took their age for the time that
// they had failed to come up, and returned 19 of them at once.
func TestIdleMachinesOutliveATakeover(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.machinesListed([]autoscaling.Instance{
		{Name: "m-1", MachineType: "g4", Zone: "east", Status: "running", AgeS: 400},
		{Name: "m-2", MachineType: "g4", Zone: "east", Status: "starting", AgeS: 400},
	}, now)
	if names := l.machinesToReturn(now.Add(2 * time.Second)); len(names) != 0 {
		t.Errorf("returned before they could report: %v", names)
	}
	addRig(l, "m-1", "east", now.Add(3*time.Second))
	if names := l.machinesToReturn(now.Add(l.lease + 5*time.Second)); len(names) != 1 || names[0] != "m-2" {
		t.Errorf("returned: %v, want the one that never came up", names)
	}
}

// TestCloudOutageIsQuiet guards against an incident: during an outage of the
// cloud the leader asked twice a second and logged every refusal.
func TestCloudOutageIsQuiet(t *testing.T) {
	now := time.Unix(1000, 0)
	l := testLeader(t)
	calls := 0
	for at := now; at.Before(now.Add(time.Minute)); at = at.Add(constants.TickInterval) {
		if at.Before(l.scaling.retryAt) {
			continue
		}
		calls++
		l.cloudFailed("rent", autoscaling.ErrRejected, at)
	}
	if calls > 20 {
		t.Errorf("%d calls in a minute of outage", calls)
	}
	if l.cloudFailed("rent", nil, now) || l.scaling.backoff != 0 {
		t.Errorf("an answer does not end the pause")
	}
}

// TestSlowMachine: a machine whose tasks take much longer than their siblings
// elsewhere loses them to others; ordinary differences do not count.
func TestSlowMachine(t *testing.T) {
	t0 := time.Now()
	l := testLeader(t)
	bad := addRig(l, "m-bad", "east", t0)
	j := addJob(t, l, sweep("j-1", 6), t0)
	for i := range 2 {
		a := &workers.Attempt{
			ID: workers.AttemptID{Task: workers.TaskID{Job: "j-1", Index: i}, Number: uint64(i + 1)}, Epoch: 1,
			Committed: true, StartAllowed: true, Sent: true, Status: workers.StatusRunning, RunningSince: t0,
		}
		bad.agent.Attempts[a.ID] = a
		l.addAttempt(bad, a)
	}
	for _, s := range []int{24, 30, 35} {
		j.runtimes.add(time.Duration(s) * time.Second)
	}
	bad.agent.LastHeartbeat = t0.Add(45 * time.Second)
	l.detectStragglers(t0.Add(45 * time.Second))
	if bad.slow(t0.Add(45 * time.Second)) {
		t.Fatalf("half as long again is taken for slow")
	}
	now := t0.Add(55 * time.Second)
	bad.agent.LastHeartbeat = now
	l.detectStragglers(now)
	if !bad.slow(now) || bad.schedulable(now) {
		t.Fatalf("a slow machine is not found")
	}
	for _, a := range bad.agent.SortedAttempts() {
		if !a.StopRequested || a.GraceS < j.spec.SaveS {
			t.Errorf("%v is not saved and stopped", a.ID)
		}
	}
	if !bad.schedulable(now.Add(constants.StragglerPause + time.Second)) {
		t.Errorf("it gets no second chance")
	}
}

// TestPaceNeedsWholeRuns guards against an incident: after a takeover, tasks
// that had long been running seemed to finish early, and all others of their
// jobs seemed slow.
func TestPaceNeedsWholeRuns(t *testing.T) {
	t0 := time.Now()
	l := testLeader(t)
	r := addRig(l, "m-1", "east", t0)
	j := addJob(t, l, sweep("j-1", 4), t0)
	j.fromEarlierTerm = true
	old := addJob(t, l, sweep("j-2", 4), t0)
	old.restartedTasks[0] = true
	for _, x := range []*jobState{j, old} {
		l.noteStragglerSignal(r, x, &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Job: x.spec.ID}}, RunningSince: t0}, t0.Add(time.Second))
		if len(x.runtimes.runs) != 0 {
			t.Errorf("%s: a part of a run is taken for a whole one", x.spec.ID)
		}
	}
}

// TestLargeJobFitsItsLimits: a job of the largest size, nearly done, keeps
// every value and transaction within the state service's limits.
func TestLargeJobFitsItsLimits(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.deps.Settings.Params.State.ValueKB, l.deps.Settings.Params.State.TxnOps = 8, 4
	l.openLog(wal.Head{}, 0)
	for i := range 3 {
		addRig(l, fmt.Sprint("m-", i), "east", now)
	}
	spec := sweep("j-00000000000000000001", constants.MaxTasks)
	spec.CPUs, spec.GPUs, spec.MemoryGB = 0.01, 0, 0.01
	j := addJob(t, l, spec, now)
	for i := range spec.Tasks - 300 {
		j.doneTasks.set(i)
	}
	j.recount()
	j.stale = true
	l.runSchedulingPass(now)
	check := func() (n int) {
		for txn := l.nextTxn(); txn != nil; txn = l.nextTxn() {
			if len(txn.Writes) > 4 {
				t.Fatalf("%d changes in one transaction", len(txn.Writes))
			}
			n += len(txn.Writes) - 1
			for _, w := range txn.Writes {
				if len(w.Value) > 8<<10 {
					t.Fatalf("%s has %d bytes", w.Put, len(w.Value))
				}
			}
			l.committed(commitResult{epoch: uint64(1000 + n)})
		}
		return n
	}
	check()
	l.checkpoint()
	if n := check(); n < 3 || l.commits.log.Checkpointing() {
		t.Errorf("not all that is done was written: %d parts", n)
	}
	for i := range spec.Tasks {
		j.doneTasks.set(i)
	}
	j.recount()
	l.checkComplete(j)
	check()
	if l.jobs[spec.ID] != nil {
		t.Errorf("the job is not closed")
	}
}

// TestLargestAreLiftedWhenLate: a class's largest gangs are lifted once too many
// of them begin late, and no longer when they begin in time again.
func TestLargestAreLiftedWhenLate(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	n := 0
	add := func(pieces int, began time.Duration) {
		n++
		spec := sweep(fmt.Sprint("j-", n), pieces)
		spec.Kind, spec.SameZone = jobs.KindGang, true
		j := addJob(t, l, spec, now)
		if began > 0 {
			j.started = now.Add(began)
			l.countGangWait(j, now.Add(began))
		} else {
			l.countGangWait(j, now.Add(constants.LargeGangLateAfter+time.Second)) // it still waits
		}
	}
	add(8, 20*time.Second)
	add(2, 0) // a small one that is late does not count
	if len(l.boostedClasses()) != 0 {
		t.Fatalf("lifted although all is well: %v", l.boostedClasses())
	}
	add(8, 0)
	if len(l.boostedClasses()) != 0 {
		t.Fatalf("one that is late is enough to lift them: %+v", l.gangWaits["x"])
	}
	want := []placement.Boost{placement.BoostWithinPriority, placement.BoostAboveAll}
	for i := 0; i < 10 && len(want) > 0; i++ {
		add(8, 0)
		if got := l.boostedClasses()["x"]; got.Boost == want[0] && got.Size == 8 {
			want = want[1:]
		}
	}
	if len(want) != 0 {
		t.Fatalf("late ones are not lifted: %+v", l.gangWaits["x"])
	}
	for range 12 {
		add(8, 30*time.Second)
	}
	if len(l.boostedClasses()) != 0 {
		t.Errorf("lifted for ever: %+v", l.gangWaits["x"])
	}
}

// TestPartOfAGangEndsWithItsTerm: what an earlier term had placed of a gang that
// lacks tasks can't be completed and must not wait on.
func TestPartOfAGangEndsWithItsTerm(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	spec := sweep("j-1", 2)
	spec.Kind, spec.SameZone, spec.GPUs = jobs.KindGang, true, 4
	j := addJob(t, l, spec, now)
	r := addRig(l, "m-1", "east", now)
	a := &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Job: "j-1"}, Number: 9}, Epoch: 1, FromEarlierTerm: true, Sent: true, Committed: true}
	r.agent.Attempts[a.ID] = a
	l.addAttempt(r, a)
	l.stopIncompleteGang(j, now)
	if !a.StopRequested {
		t.Errorf("it waits on")
	}
}

// TestWaitingGangIsCompleted: a gang that loses a task before it runs gets a
// replacement under the same number, in the same zone; one that has run, or
// that is told that its mates are gone, starts anew as a whole.
func TestWaitingGangIsCompleted(t *testing.T) {
	for _, status := range []string{workers.StatusWaiting, workers.StatusRunning} {
		now := time.Now()
		l := testLeader(t)
		for i := range 3 {
			addRig(l, fmt.Sprint("m-e", i), "east", now)
			addRig(l, fmt.Sprint("m-w", i), "west", now)
		}
		spec := sweep("j-1", 2)
		spec.Kind, spec.SameZone, spec.GPUs = jobs.KindGang, true, 4
		j := addJob(t, l, spec, now)
		l.runSchedulingPass(now)
		epoch := settle(l, 100)
		seats := sortedAttempts(j)
		if len(seats) != 2 {
			t.Fatalf("%d of 2 placed", len(seats))
		}
		try := j.gangAttempt
		for _, s := range seats {
			s.machine.agent.Commands(true, now)
			l.applyHeartbeat(s.machine, report(l, s.machine, status, ""), false, now)
		}
		lost := seats[1].machine
		l.applyEvents(lost, lost.agent.Terminated(), now)
		lost.leaving = true
		l.runSchedulingPass(now)
		settle(l, epoch)
		if status == workers.StatusRunning {
			if !seats[0].attempt.StopRequested || len(j.attempts) != 1 {
				t.Errorf("the rest of a running gang goes on: %v", j.attempts)
			}
			continue
		}
		again := sortedAttempts(j)
		if len(again) != 2 || seats[0].attempt.StopRequested || j.replacingTask {
			t.Fatalf("not completed: %+v", again)
		}
		fresh := again[1]
		if fresh.attempt.ID.Number != try || fresh.machine == lost || fresh.machine.agent.Zone != seats[0].machine.agent.Zone || !fresh.attempt.StartAllowed {
			t.Errorf("replaced by %+v on %s", fresh.attempt, fresh.machine.agent.Name)
		}
		l.applyHeartbeat(seats[0].machine, report(l, seats[0].machine, workers.StatusExited, "mates_gone"), false, now)
		if len(j.attempts) != 0 && !sortedAttempts(j)[0].attempt.StopRequested {
			t.Errorf("the replacement outlives its gang")
		}
	}
}

// TestLateCopyIsNoContact: a late copy of a report neither renews a lease nor
// brings a machine back that was returned, and a machine known by nothing but
// one report gets no work before it has shown this term's token.
func TestLateCopyIsNoContact(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.certainUntil = now
	r := addRig(l, "m-1", "east", now)
	answered := r.agent.LastAcknowledged
	copyOf := report(l, r, "", "")
	copyOf.Sequence = 1
	ch := make(chan Reply, 1)
	l.heartbeat(copyOf, now.Add(time.Second), ch)
	select {
	case a := <-ch:
		if a.Status != 503 || !r.agent.LastAcknowledged.Equal(answered) || r.pending != nil {
			t.Errorf("a copy got %d, answered %v", a.Status, r.agent.LastAcknowledged)
		}
	default:
		t.Errorf("a copy is kept waiting")
	}
	l.scaling.terminated["m-9"] = now
	l.heartbeat(&workers.Heartbeat{Machine: "m-9", MachineType: "g4", Zone: "east", Epoch: 1, Sequence: 1, Token: 3}, now, ch)
	if a := <-ch; a.Status != 503 || l.machines["m-9"] != nil {
		t.Errorf("a returned machine is back: %d", a.Status)
	}
	delete(l.machines, "m-1")
	l.sortedCache = nil
	j := addJob(t, l, sweep("j-1", 1), now)
	stale := &workers.Heartbeat{Machine: "m-2", MachineType: "g4", Zone: "east", Epoch: 1, Sequence: 400, Token: l.grant.Term - 1}
	l.heartbeat(stale, now, ch)
	l.runSchedulingPass(now)
	if len(j.attempts) != 0 {
		t.Fatalf("work was put on a machine that may be no more")
	}
	stale.Sequence, stale.Token = 401, l.grant.Term
	l.heartbeat(stale, now, ch)
	l.runSchedulingPass(now)
	if len(j.attempts) != 1 {
		t.Errorf("a machine under our token gets no work")
	}
}

// TestDeafMachineGetsNothing: no work and no 200 for a machine that does not
// hear, and its lease is counted from the last 200 before.
func TestDeafMachineGetsNothing(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.certainUntil = now
	r := addRig(l, "m-1", "east", now)
	last := r.agent.LastAcknowledged
	r.agent.RepliesLost = true
	l.markStale(r)
	ch := make(chan Reply, 1)
	l.heartbeat(report(l, r, "", ""), now.Add(time.Second), ch)
	l.flushReplies(now.Add(3 * time.Second))
	if a := <-ch; a.Status != 503 || !r.agent.LastAcknowledged.Equal(last) {
		t.Errorf("it got %d, its lease counts from %v", a.Status, r.agent.LastAcknowledged.Sub(last))
	}
	j := addJob(t, l, sweep("j-1", 1), now)
	l.runSchedulingPass(now)
	if len(j.attempts) != 0 {
		t.Errorf("it got work")
	}
	if ev := r.agent.ExpireLease(l.grant.Term, l.lease, last.Add(l.lease+2*time.Second)); r.agent.ExpiredEpoch != 1 {
		t.Errorf("its session never ends: %v", ev)
	}
}

// TestUseIsCountedByChange: whatever happens, in whatever order, the running
// sums of the teams' use equal a full count of what may be on machines.
func TestUseIsCountedByChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Now()
		l := testLeader(t)
		l.certainUntil = now
		l.teams = append(l.teams, config.Team{Name: "b", GPUs: 4, GPUsMax: 12})
		epoch, jobCount, machines := uint64(100), 0, 0
		pick := func() *machine {
			list := l.sortedMachines()
			if len(list) == 0 {
				rt.Skip()
			}
			return rapid.SampledFrom(list).Draw(rt, "rig")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"machine": func(*rapid.T) {
				if machines++; machines > 6 {
					rt.Skip()
				}
				addRig(l, fmt.Sprint("m-", machines), []string{"east", "west"}[machines%2], now)
			},
			"job": func(*rapid.T) {
				jobCount++
				spec := sweep(fmt.Sprint("j-", jobCount), rapid.IntRange(1, 5).Draw(rt, "pieces"))
				spec.Team = rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "owner")
				if rapid.Bool().Draw(rt, "gang") {
					spec.Kind, spec.SameZone, spec.Tasks = jobs.KindGang, true, 2
				}
				if jobCount > 1 && rapid.Bool().Draw(rt, "waits") {
					spec.DependsOn = []string{fmt.Sprint("j-", rapid.IntRange(1, jobCount-1).Draw(rt, "for"))}
				}
				addJob(t, l, spec, now)
			},
			"pass":   func(*rapid.T) { l.runSchedulingPass(now) },
			"commit": func(*rapid.T) { epoch = settle(l, epoch) },
			"report": func(*rapid.T) {
				r := pick()
				status := rapid.SampledFrom([]string{workers.StatusFetching, workers.StatusRunning, workers.StatusExited}).Draw(rt, "status")
				cause := ""
				if status == workers.StatusExited {
					cause = rapid.SampledFrom([]string{workers.CauseDone, "halted", workers.CauseError}).Draw(rt, "cause")
				}
				rep := report(l, r, status, cause)
				if rapid.IntRange(0, 4).Draw(rt, "some") == 0 {
					rep.Tasks = rep.Tasks[:len(rep.Tasks)/2]
				}
				r.agent.Commands(true, now)
				l.applyHeartbeat(r, rep, false, now)
			},
			"cancel": func(*rapid.T) {
				if jobCount > 0 {
					l.jobRecordDeleted(fmt.Sprint("j-", rapid.IntRange(1, jobCount).Draw(rt, "job")), now)
				}
			},
			"session": func(*rapid.T) {
				r := pick()
				rep := report(l, r, workers.StatusRunning, "")
				rep.Epoch, rep.Tasks = rep.Epoch+1, nil
				l.applyHeartbeat(r, rep, false, now)
			},
			"returned": func(*rapid.T) {
				r := pick()
				l.applyEvents(r, r.agent.Terminated(), now)
				l.removeMachine(r)
				l.commits.log.MachineRemoved(r.agent.Name)
			},
			"time": func(*rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(rt, "s")) * time.Second) },
			"": func(*rapid.T) {
				w, _ := l.snapshotForPlacement(now)
				want := map[string]float64{}
				for _, r := range l.machines {
					for _, a := range r.agent.Attempts {
						if a.Live() {
							want[l.teamOf(a)] += l.resourcesOf(a).GPUs
						}
					}
					for _, h := range l.reservations.On(r.agent.Name) {
						want[h.Pipeline.Team] += h.Resources.GPUs
					}
				}
				for name, team := range w.Teams {
					if d := team.Used.GPUs - want[name]; d > 1e-6 || d < -1e-6 {
						rt.Fatalf("team %s: %v counted, %v there", name, team.Used.GPUs, want[name])
					}
				}
			},
		})
	})
}

// TestOldRecordsAreRead: the records of the earlier format are taken in, and
// removed once a checkpoint holds what they held.
func TestOldRecordsAreRead(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	j := addJob(t, l, sweep("j-1", 20), now)
	machines := []statestore.KeyValue{{Key: "rig/m-1", Revision: 5, Value: json.RawMessage(
		`{"t":"g4","z":"east","e":"h:1","h":2,"a":[{"p":"j-1/3","t":9,"h":2},{"p":"j-0/0","t":8,"h":2}],"j":{"j-0":{"w":"a","r":[1,2,3]},"j-1":{"w":"a","r":[1,1,1]}},"i":[{"n":"img","g":5}]}`)}}
	dids := []statestore.KeyValue{{Key: "did/j-1/0", Revision: 6, Value: json.RawMessage(`"BQAA"`)}, {Key: "did/j-1/x", Revision: 7, Value: json.RawMessage(`7`)}}
	if err := l.restoreLegacy(machines, dids, now); err != nil {
		t.Fatal(err)
	}
	r := l.machines["m-1"]
	if len(j.attempts[3]) != 1 || j.doneCount != 2 || !j.recordedDone.has(2) || r.agent.Zone != "east" || len(r.images) != 1 || l.endedJobs["j-0"].need.GPUs != 2 {
		t.Errorf("not all was read: seats %v, %d done, %+v", j.attempts, j.doneCount, r.agent)
	}
	r.agent.Endpoint = ""
	l.checkpoint()
	settleAll(l, 100)
	if len(l.commits.legacyKeys) != 0 || l.legacyKeys != nil {
		t.Errorf("they are not removed: %v", l.commits.legacyKeys)
	}
	if err := l.restoreLegacy([]statestore.KeyValue{{Key: "rig/m-2", Value: json.RawMessage(`"x"`)}}, nil, now); err == nil {
		t.Errorf("a machine's record that can't be read may hide a task, and is passed over")
	}
}

// settleAll also writes what can wait: checkpoints and removals.
func settleAll(l *Leader, epoch uint64) {
	for l.nextTxn() != nil {
		epoch++
		l.committed(commitResult{epoch: epoch})
	}
}
