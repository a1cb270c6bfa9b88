package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// fleetSizes are the numbers of machines at which growth is recorded.
var fleetSizes = []int{500, 1000, 2000, 4000, 6000}

// perFleetSize runs a benchmark at each size of the fleet.
func perFleetSize(b *testing.B, run func(b *testing.B, machines int)) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			b.ReportAllocs()
			run(b, machines)
		})
	}
}

// grown makes a leader of a large site: so many machines, all busy but a few,
// and a third as many jobs waiting.
func grown(b testing.TB, machines int) (*Leader, []*machineState) {
	now := time.Now()
	l := testLeader(b)
	l.teams = []config.Team{{Name: "a", GuaranteedGPUs: 1000, MaxGPUs: 10 * float64(machines)}}
	l.deps.Settings.Params.Teams = l.teams
	offline(b, l)
	l.certainty.Watched(now)
	var list []*machineState
	for i := range machines {
		machine := addMachine(l, fmt.Sprintf("m-%06d", i), []string{"east", "west"}[i%2], now)
		machine.agent.Spot = i%3 == 0
		list = append(list, machine)
	}
	for i := range machines / 3 {
		j := arraySpec(fmt.Sprintf("j-%06d", i), 40)
		j.Image = fmt.Sprint("img-", i%10)
		j.Class = []string{"x", "y"}[i%2]
		if i%4 == 0 {
			j.Kind, j.Tasks, j.GPUs, j.SameZone, j.AllowSpot = jobs.KindGang, 1<<(i/4%5), 4, true, false
		}
		addJob(b, l, j, now)
	}
	for range 5 {
		l.passes.request()
		l.runSchedulingPass(now)
		commitAll(l, 100)
	}
	for _, machine := range list {
		machine.agent.Commands(true, now) // the starts have left: no answer waits for them
	}
	return l, list
}

// BenchmarkPass is one placement pass after a few changes, at each size of the
// fleet.
func BenchmarkPass(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		l, list := grown(b, machines)
		now := time.Now()
		b.ResetTimer()
		for i := range b.N {
			for k := range 20 {
				list[(i*20+k)%len(list)].markStale()
			}
			l.runSchedulingPass(now)
		}
	})
}

// crowded makes a leader of a site where far more waits than there is room for: gangs of
// whole machines, urgent and not, and sweeps of small tasks, of several teams.
func crowded(b testing.TB, machines int) (*Leader, []*machineState) {
	now := time.Now()
	l := testLeader(b)
	l.teams = nil
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		l.teams = append(l.teams, config.Team{Name: name, GuaranteedGPUs: 0.5 * float64(machines), MaxGPUs: 2 * float64(machines)})
	}
	l.deps.Settings.Params.Teams = l.teams
	offline(b, l)
	l.certainty.Watched(now)
	var list []*machineState
	for i := range machines {
		machine := addMachine(l, fmt.Sprintf("m-%06d", i), []string{"east", "west"}[i%2], now)
		machine.agent.Spot = i%5 < 2
		list = append(list, machine)
	}
	for i := range machines / 4 {
		j := arraySpec(fmt.Sprintf("j-%06d", i), 50)
		j.Team = l.teams[i%len(l.teams)].Name
		j.Image = fmt.Sprint("img-", i%14)
		switch i % 5 {
		case 0:
			j.Class, j.Kind, j.Tasks, j.SameZone, j.AllowSpot = "train", jobs.KindGang, 1<<(i/5%5), true, false
			j.CPUs, j.GPUs = 28, 4
		case 1, 2:
			j.Class, j.Kind, j.Tasks, j.SameZone, j.AllowSpot = "urgent", jobs.KindGang, 1<<(i/5%3), true, false
			j.CPUs, j.GPUs, j.PriorityClass = 28, 4, "urgent"
		}
		addJob(b, l, j, now.Add(time.Duration(i)*time.Millisecond))
	}
	for range 5 {
		l.passes.request()
		l.runSchedulingPass(now)
		commitAll(l, 100)
	}
	for _, machine := range list {
		machine.agent.Commands(true, now)
	}
	return l, list
}

// BenchmarkCrowdedPass is a placement pass where most of what waits finds no room.
func BenchmarkCrowdedPass(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		l, list := crowded(b, machines)
		now := time.Now()
		waiting := 0
		for j := range l.jobs.all() {
			if len(j.attempts) < j.spec.Tasks {
				waiting++
			}
		}
		b.ResetTimer()
		for i := range b.N {
			now = now.Add(60 * time.Millisecond)
			for k := range 20 {
				list[(i*20+k)%len(list)].markStale()
			}
			for _, machine := range list {
				machine.agent.LastHeartbeat = now
			}
			l.runSchedulingPass(now)
		}
		b.ReportMetric(float64(waiting), "jobs-waiting")
	})
}

// BenchmarkChurn is a placement pass with what comes between two: tasks that
// end on some machines, the record, and starts in their place.
func BenchmarkChurn(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		l, list := grown(b, machines)
		epoch := uint64(1000)
		b.ResetTimer()
		for i := range b.N {
			now := time.Now()
			for k := range 20 {
				machine := list[(i*20+k*101)%len(list)]
				rep := nextHeartbeat(l, machine, workers.StatusRunning, "")
				for n := range rep.Tasks {
					if a := machine.agent.Attempts[attemptID(b, rep.Tasks[n])]; n%3 == 0 && a.ID.Task.Index%50 != 0 && l.jobs.get(a.ID.Task.Job) != nil && l.jobs.get(a.ID.Task.Job).spec.Kind != jobs.KindGang {
						rep.Tasks[n].Status, rep.Tasks[n].Cause = workers.StatusExited, workers.CauseError
					}
				}
				l.applyHeartbeat(machine, rep, false, now)
			}
			for j := range l.jobs.all() {
				j.retry.notBefore = time.Time{}
				clear(j.retry.avoid)
			}
			epoch = commitAll(l, epoch)
			l.runSchedulingPass(now)
			epoch = commitAll(l, epoch)
			for k := range 20 {
				machine := list[(i*20+k*101)%len(list)]
				machine.agent.Commands(true, now)
			}
		}
	})
}

func attemptID(b testing.TB, p workers.TaskReport) workers.AttemptID {
	task, err := workers.ParseTaskID(p.Task)
	if err != nil {
		b.Fatal(err)
	}
	return workers.AttemptID{Task: task, Number: p.Attempt}
}

// BenchmarkReport is a report's way through the leader's routine when it
// changes nothing.
func BenchmarkReport(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		l, list := grown(b, machines)
		now := time.Now()
		ch := make(chan Reply, 1)
		b.ResetTimer()
		for i := range b.N {
			machine := list[i%len(list)]
			rep := nextHeartbeat(l, machine, workers.StatusRunning, "")
			l.heartbeat(rep, now, ch)
			l.commit(now)
			l.replies.byMachine[machine].until = now
			l.replies.wake(machine)
			l.flushReplies(now)
			<-ch
		}
	})
}

// BenchmarkTick is what only time brings about, four times a second: leases, lapses and
// the dealings with the cloud.
func BenchmarkTick(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		l, _ := grown(b, machines)
		l.deps.Cloud = &cloudCalls{}
		now := time.Now()
		l.scaling.list.completedAt, l.scaling.calls.inFlight = now, true
		b.ResetTimer()
		for range b.N {
			now = now.Add(constants.TickInterval)
			for _, machine := range l.fleet.sortedByName() {
				machine.agent.LastHeartbeat, machine.agent.LastAcknowledged = now, now
			}
			l.tick(now)
		}
	})
}

// BenchmarkCommit is the record of 20 machines' changes: the transaction that holds it,
// and what follows once it stands.
func BenchmarkCommit(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		l, list := grown(b, machines)
		epoch := commitAll(l, 1000)
		before := l.wal.Stats().EntryBytes
		b.ResetTimer()
		for i := range b.N {
			for k := range 20 {
				l.logMetadata(list[(i*20+k)%len(list)], nil)
			}
			epoch = commitAll(l, epoch)
		}
		b.ReportMetric(float64(l.wal.Stats().EntryBytes-before)/float64(b.N), "bytes")
	})
}

// written carries out what a checkpoint of the whole site writes, and returns
// the number of transactions and of changes in them.
func written(l *Leader, rows map[string]wal.KeyValue) (txns, changes int) {
	l.beginCheckpoint()
	for l.wal.Checkpointing() {
		t := l.commits.next()
		for _, w := range t.Writes {
			rows[w.Put] = wal.KeyValue{Key: w.Put, Value: w.Value}
		}
		txns++
		changes += len(t.Writes)
		l.committed(commitResult{revision: uint64(1000 + txns)})
	}
	return txns, changes
}

// BenchmarkCheckpoint writes the whole state of a large site anew.
func BenchmarkCheckpoint(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		l, _ := grown(b, machines)
		rows := make(map[string]wal.KeyValue)
		b.ResetTimer()
		for range b.N {
			txns, changes := written(l, rows)
			b.ReportMetric(float64(txns), "transactions")
			b.ReportMetric(float64(changes), "changes")
		}
	})
}

// BenchmarkReplay reads it back at a takeover, with what came on top.
func BenchmarkReplay(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		l, list := grown(b, machines)
		rows := make(map[string]wal.KeyValue)
		written(l, rows)
		for i := range constants.CheckpointEntries {
			for k := range 20 {
				l.logMetadata(list[(i*20+k)%len(list)], nil)
			}
			t := l.commits.next()
			for _, w := range t.Writes {
				rows[w.Put] = wal.KeyValue{Key: w.Put, Value: w.Value}
			}
			l.committed(commitResult{revision: uint64(5000 + i)})
		}
		all := make([]wal.KeyValue, 0, len(rows))
		size := 0
		for _, r := range rows {
			all = append(all, r)
			size += len(r.Value)
		}
		b.ReportMetric(float64(size)/(1<<20), "MB")
		b.ResetTimer()
		for range b.N {
			st, _, err := wal.Read(all)
			if err != nil || len(st.Machines) != machines {
				b.Fatalf("%d machines read: %v", len(st.Machines), err)
			}
		}
	})
}

// offline gives the leader a state service that doesn't answer.
func offline(tb testing.TB, l *Leader) {
	tb.Helper()
	l.deps.Store = noStore{}
}

type noStore struct{ Store }

func (noStore) Txn(context.Context, statestore.Class, []statestore.Condition, []statestore.Write) (uint64, error) {
	return 0, statestore.ErrUnavailable
}
