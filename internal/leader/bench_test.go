package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// fleetSizes are the numbers of machines that the benchmarks run with.
var fleetSizes = []int{500, 1000, 2000, 4000, 6000}

// perFleetSize runs a benchmark with each fleet size.
func perFleetSize(b *testing.B, run func(b *testing.B, machines int)) {
	b.Helper()
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			b.ReportAllocs()
			run(b, machines)
		})
	}
}

// BenchmarkPass measures a scheduling pass after a few machines have changed.
func BenchmarkPass(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		b.Helper()
		l, fleet := largeFleet(b, machines)
		now := time.Now()
		b.ResetTimer()
		for i := range b.N {
			for k := range 20 {
				fleet[(i*20+k)%len(fleet)].markStale()
			}
			l.runSchedulingPass(now)
		}
	})
}

// BenchmarkSaturatedPass measures a scheduling pass in which most waiting tasks do not fit
// anywhere.
func BenchmarkSaturatedPass(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		b.Helper()
		l, fleet := overloadedFleet(b, machines)
		now := time.Now()
		waiting := 0
		for job := range l.jobs.all() {
			if len(job.attempts) < job.spec.Tasks {
				waiting++
			}
		}
		b.ResetTimer()
		for i := range b.N {
			now = now.Add(60 * time.Millisecond)
			for k := range 20 {
				fleet[(i*20+k)%len(fleet)].markStale()
			}
			for _, machine := range fleet {
				machine.worker.LastMessageAt = now
			}
			l.runSchedulingPass(now)
		}
		b.ReportMetric(float64(waiting), "jobs-waiting")
	})
}

// BenchmarkChurn measures a scheduling pass together with the work between two passes: tasks
// end on some machines, the changes are committed, and other tasks start in their place.
func BenchmarkChurn(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		b.Helper()
		l, fleet := largeFleet(b, machines)
		revision := uint64(1000)
		b.ResetTimer()
		for i := range b.N {
			now := time.Now()
			for k := range 20 {
				failSomeTasks(b, l, fleet[(i*20+k*101)%len(fleet)], now)
			}
			for job := range l.jobs.all() {
				job.retry.notBefore = time.Time{}
				clear(job.retry.avoid)
			}
			revision = commitPending(l, revision)
			l.runSchedulingPass(now)
			revision = commitPending(l, revision)
			for k := range 20 {
				machine := fleet[(i*20+k*101)%len(fleet)]
				machine.worker.Commands(true, now)
			}
		}
	})
}

// failSomeTasks has a machine report every third task as failed, except tasks of gangs and
// tasks whose index is a multiple of 50.
func failSomeTasks(b *testing.B, l *Leader, machine *machineState, now time.Time) {
	b.Helper()
	heartbeat := nextHeartbeat(l, machine, workers.StatusRunning, "")
	for i := 0; i < len(heartbeat.Tasks); i += 3 {
		task := &heartbeat.Tasks[i]
		id := machine.worker.Attempts[attemptID(b, *task)].ID.Task
		if job := l.jobs.get(id.Job); id.Index%50 != 0 && job != nil && job.spec.Kind != jobs.KindGang {
			task.Status, task.Cause = workers.StatusExited, workers.CauseError
		}
	}
	l.applyHeartbeat(machine, heartbeat, false, now)
}

func attemptID(tb testing.TB, report workers.TaskReport) workers.AttemptID {
	tb.Helper()
	task, err := workers.ParseTaskID(report.Task)
	if err != nil {
		tb.Fatal(err)
	}
	return workers.AttemptID{Task: task, Number: report.Attempt}
}

// BenchmarkHeartbeat measures the processing of a heartbeat that changes nothing.
func BenchmarkHeartbeat(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		b.Helper()
		l, fleet := largeFleet(b, machines)
		now := time.Now()
		reply := make(chan Reply, 1)
		b.ResetTimer()
		for i := range b.N {
			machine := fleet[i%len(fleet)]
			l.heartbeat(nextHeartbeat(l, machine, workers.StatusRunning, ""), now, reply)
			l.commit(now)
			l.replies.byMachine[machine].until = now
			l.replies.wake(machine)
			l.flushReplies(now)
			<-reply
		}
	})
}

// BenchmarkTick measures the periodic work that the loop does four times a second: expiry of
// leases and reservations, and scaling.
func BenchmarkTick(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		b.Helper()
		l, _ := largeFleet(b, machines)
		l.deps.Cloud = &countingCloud{}
		now := time.Now()
		l.scaling.list.completedAt, l.scaling.calls.inFlight = now, true
		b.ResetTimer()
		for range b.N {
			now = now.Add(constants.TickInterval)
			for _, machine := range l.fleet.sortedByName() {
				machine.worker.LastMessageAt, machine.worker.LastAcknowledged = now, now
			}
			l.tick(now)
		}
	})
}

// BenchmarkCommit measures committing the metadata of 20 machines: building the transaction,
// and the callbacks once it is committed.
func BenchmarkCommit(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		b.Helper()
		l, fleet := largeFleet(b, machines)
		revision := commitPending(l, 1000)
		before := l.wal.Stats().EntryBytes
		b.ResetTimer()
		for i := range b.N {
			for k := range 20 {
				l.logMetadata(fleet[(i*20+k)%len(fleet)], nil)
			}
			revision = commitPending(l, revision)
		}
		b.ReportMetric(float64(l.wal.Stats().EntryBytes-before)/float64(b.N), "bytes")
	})
}

// writeCheckpoint writes a checkpoint of the whole cluster into rows. It returns the number of
// transactions and of operations in them.
func writeCheckpoint(l *Leader, rows map[string]statestore.KeyValue) (txns, ops int) {
	l.beginCheckpoint()
	for l.wal.Checkpointing() {
		txns++
		ops += commitTo(l, rows, uint64(1000+txns))
	}
	return txns, ops
}

// commitTo executes the next transaction on rows, and returns its number of operations.
func commitTo(l *Leader, rows map[string]statestore.KeyValue, revision uint64) (ops int) {
	txn := l.commits.next()
	for _, write := range txn.Writes {
		rows[write.Put] = statestore.KeyValue{Key: write.Put, Value: write.Value}
	}
	l.applyCommitResult(commitResult{revision: revision})
	return len(txn.Writes)
}

// BenchmarkCheckpoint measures writing a checkpoint of the whole cluster.
func BenchmarkCheckpoint(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		b.Helper()
		l, _ := largeFleet(b, machines)
		rows := make(map[string]statestore.KeyValue)
		b.ResetTimer()
		for range b.N {
			txns, ops := writeCheckpoint(l, rows)
			b.ReportMetric(float64(txns), "transactions")
			b.ReportMetric(float64(ops), "changes")
		}
	})
}

// BenchmarkReplay measures reading a checkpoint at a failover, with the log entries that
// follow it.
func BenchmarkReplay(b *testing.B) {
	perFleetSize(b, func(b *testing.B, machines int) {
		b.Helper()
		l, fleet := largeFleet(b, machines)
		rows := make(map[string]statestore.KeyValue)
		writeCheckpoint(l, rows)
		for i := range constants.MinCheckpointEntries {
			for k := range 20 {
				l.logMetadata(fleet[(i*20+k)%len(fleet)], nil)
			}
			commitTo(l, rows, uint64(5000+i))
		}
		all := make([]statestore.KeyValue, 0, len(rows))
		size := 0
		for _, row := range rows {
			all = append(all, row)
			size += len(row.Value)
		}
		b.ReportMetric(float64(size)/(1<<20), "MB")
		b.ResetTimer()
		for range b.N {
			state, _, err := wal.Replay(all)
			if err != nil || len(state.Machines) != machines {
				b.Fatalf("read %d machines: %v", len(state.Machines), err)
			}
		}
	})
}
