package leader

import (
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
	"thornnotch/internal/testseed"
	"thornnotch/internal/workers"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m, 300)) }

func testLeader(t testing.TB) *Leader {
	t.Helper()
	set := &config.Settings{Params: config.Params{
		Teams:   []config.Team{{Name: "a", GuaranteedGPUs: 8, MaxGPUs: 16}},
		Workers: config.WorkerTimings{HeartbeatS: 2, LeaseS: 12, CancelWithinS: 37, GangPeerS: 8, GangWaitS: 30},
		State:   config.StateLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, TxnOps: 12}, Cloud: config.CloudLimits{RPS: 2, ListLagS: 5},
	}}
	cat := &autoscaling.Catalog{MachineTypes: []autoscaling.MachineType{{
		Name: "g4", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 80, FetchGBPerS: 1,
		OnDemandPrice: 10, SpotPrice: 5, BootS: 25, Zones: []string{"east", "west"},
	}}}
	l := New(Deps{
		Settings: set, Operator: config.DefaultOperator(), Catalog: func() *autoscaling.Catalog { return cat },
		Log: slog.New(slog.DiscardHandler),
	}, election.Grant{Term: 3, Revision: 7})
	l.failover.finishLoading()
	return l
}

// addMachine gives the leader a machine that has just reported.
func addMachine(l *Leader, name, zone string, now time.Time) *machineState {
	machine := l.fleet.getOrAdd(name, now)
	machine.agent.Observe(&workers.Heartbeat{Machine: name, MachineType: "g4", Zone: zone, Epoch: 1, Sequence: 1, Token: l.term.number()}, l.term.number(), false, now)
	machine.agent.LastAcknowledged = now
	return machine
}

// addJob gives the leader an accepted job.
func addJob(t testing.TB, l *Leader, j jobs.Spec, now time.Time) *jobState {
	t.Helper()
	raw, err := json.Marshal(jobs.Record{Spec: j, AcceptedAtMS: now.UnixMilli()})
	if err != nil {
		t.Fatal(err)
	}
	l.addJob(jobs.OpenPrefix+j.ID, raw, uint64(l.jobs.len()+1), now)
	return l.jobs.get(j.ID)
}

func arraySpec(id string, pieces int) jobs.Spec {
	return jobs.Spec{
		ID: id, Class: "x", Team: "a", Kind: jobs.KindArray, PriorityClass: "standard", Tasks: pieces,
		CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 5, AllowSpot: true, ExpectedS: 30, CheckpointIntervalS: 5, SaveS: 1,
	}
}

// nextHeartbeat makes a worker's next heartbeat with these tasks in this state.
func nextHeartbeat(l *Leader, machine *machineState, status workers.TaskStatus, cause workers.ExitCause) *workers.Heartbeat {
	rep := &workers.Heartbeat{Machine: machine.agent.Name, MachineType: machine.agent.MachineType, Zone: machine.agent.Zone, Epoch: machine.agent.Epoch, Sequence: machine.agent.Sequence + 1, Token: l.term.number()}
	for _, a := range machine.agent.SortedAttempts() {
		rep.Tasks = append(rep.Tasks, workers.TaskReport{Task: a.ID.Task.String(), Attempt: a.ID.Number, Status: status, Cause: cause})
	}
	return rep
}

// commitAll carries out what the leader wants to record, as the state service
// would, and returns the epoch.
func commitAll(l *Leader, epoch uint64) uint64 {
	for l.wal.Pending() || len(l.commits.completed) > 0 {
		if l.commits.next() == nil {
			break
		}
		epoch++
		l.committed(commitResult{revision: epoch})
	}
	return epoch
}

// commitEverything also writes what can wait: checkpoints and removals.
func commitEverything(l *Leader, epoch uint64) {
	for l.commits.next() != nil {
		epoch++
		l.committed(commitResult{revision: epoch})
	}
}

// runUntilQuiet starts the calls that the leader wants to make and applies what they and others hand
// to the loop, until nothing comes any more. Within a synctest bubble its wait ends only
// when nothing else is under way.
func runUntilQuiet(tb testing.TB, l *Leader) {
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

// runNextEvent starts the calls that the leader wants to make and applies the first result.
func runNextEvent(tb testing.TB, l *Leader) {
	tb.Helper()
	group, ctx := errgroup.WithContext(tb.Context())
	l.startCalls(ctx, group)
	(<-l.events).apply(l)
	_ = group.Wait()
}
