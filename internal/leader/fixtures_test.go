package leader

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/election"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
	"thornnotch/internal/testseed"
	"thornnotch/internal/workers"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m, 300)) }

// testLeader returns a leader of an empty cluster that has loaded its records. Its loop does
// not run: tests call its methods directly.
func testLeader(tb testing.TB) *Leader {
	tb.Helper()
	settings := &config.Settings{Params: config.Params{
		Teams:   []config.Team{{Name: "a", GuaranteedGPUs: 8, MaxGPUs: 16}},
		Workers: config.WorkerTimings{HeartbeatS: 2, LeaseS: 12, CancelWithinS: 37, GangPeerTimeoutS: 8, GangWaitS: 30},
		State:   config.StateLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 12}, Cloud: config.CloudLimits{RPS: 2, ListLagS: 5},
	}}
	catalog := &autoscaling.Catalog{MachineTypes: []autoscaling.MachineType{{
		Name: "g4", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 80, FetchGBPerS: 1,
		OnDemandPrice: 10, SpotPrice: 5, BootS: 25, Zones: []string{"east", "west"},
	}}}
	l := New(Deps{
		Settings: settings, Operator: config.DefaultOperator(), Catalog: func() *autoscaling.Catalog { return catalog },
		Log: slog.New(slog.DiscardHandler),
	}, election.Grant{Term: 3, Revision: 7})
	l.failover.finishLoading()
	return l
}

// addMachine adds a machine that has just sent its first heartbeat.
func addMachine(l *Leader, name, zone string, now time.Time) *machineState {
	machine := l.fleet.getOrAdd(name, now)
	first := &workers.Heartbeat{Machine: name, MachineType: "g4", Zone: zone, Epoch: 1, Sequence: 1, Token: l.term.number()}
	machine.worker.Observe(first, l.term.number(), false, now)
	machine.worker.LastAcknowledged = now
	return machine
}

// addJob adds an accepted job.
func addJob(tb testing.TB, l *Leader, spec jobs.Spec, now time.Time) *jobState {
	tb.Helper()
	record, err := json.Marshal(jobs.Record{Spec: spec, AcceptedAtMS: now.UnixMilli()})
	if err != nil {
		tb.Fatal(err)
	}
	l.addJob(jobs.OpenPrefix+spec.ID, record, uint64(l.jobs.len()+1), now)
	return l.jobs.get(spec.ID)
}

// arraySpec returns the spec of an array of small tasks.
func arraySpec(id string, tasks int) jobs.Spec {
	return jobs.Spec{
		ID: id, Class: "x", Team: "a", Kind: jobs.KindArray, PriorityClass: "standard", Tasks: tasks,
		CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 5, AllowSpot: true, ExpectedS: 30, CheckpointIntervalS: 5, CheckpointSaveS: 1,
	}
}

// nextHeartbeat returns a worker's next heartbeat, which reports all its tasks with this
// status and cause.
func nextHeartbeat(l *Leader, machine *machineState, status workers.TaskStatus, cause workers.ExitCause) *workers.Heartbeat {
	worker := machine.worker
	heartbeat := &workers.Heartbeat{
		Machine: worker.Name, MachineType: worker.MachineType, Zone: worker.Zone,
		Epoch: worker.Epoch, Sequence: worker.Sequence + 1, Token: l.term.number(),
	}
	for _, attempt := range worker.SortedAttempts() {
		heartbeat.Tasks = append(heartbeat.Tasks, workers.TaskReport{Task: attempt.ID.Task.String(), Attempt: attempt.ID.Number, Status: status, Cause: cause})
	}
	return heartbeat
}

// commitPending commits pending log changes and the final records of completed jobs. The state
// service's revision starts from the given one; commitPending returns the last one.
func commitPending(l *Leader, revision uint64) uint64 {
	for l.wal.HasUncommitted() || len(l.commits.completed) > 0 {
		if l.commits.next() == nil {
			break
		}
		revision++
		l.applyCommitResult(commitResult{revision: revision})
	}
	return revision
}

// commitEverything commits like commitPending, and also checkpoints, key deletions and final
// records of cancelled jobs.
func commitEverything(l *Leader, revision uint64) {
	for l.commits.next() != nil {
		revision++
		l.applyCommitResult(commitResult{revision: revision})
	}
}

// runUntilIdle starts queued calls and applies events until none arrive. In a synctest bubble,
// its timeout elapses only once all goroutines are blocked.
func runUntilIdle(tb testing.TB, l *Leader) {
	tb.Helper()
	group, ctx := errgroup.WithContext(tb.Context())
	defer func() { _ = group.Wait() }()
	for {
		l.startCalls(ctx, group)
		select {
		case e := <-l.events:
			e.apply(l)
		case <-time.After(20 * time.Millisecond):
			return
		}
	}
}

// runNextEvent starts queued calls and applies the first event.
func runNextEvent(tb testing.TB, l *Leader) {
	tb.Helper()
	group, ctx := errgroup.WithContext(tb.Context())
	l.startCalls(ctx, group)
	(<-l.events).apply(l)
	_ = group.Wait()
}

// useUnavailableStore makes the leader's state service unavailable.
func useUnavailableStore(tb testing.TB, l *Leader) {
	tb.Helper()
	l.deps.Store = unavailableStore{}
}

type unavailableStore struct{ Store }

func (unavailableStore) Txn(context.Context, statestore.Class, []statestore.Condition, []statestore.Write) (uint64, error) {
	return 0, statestore.ErrUnavailable
}
