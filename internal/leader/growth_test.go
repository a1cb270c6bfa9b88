package leader

import (
	"testing"
	"time"

	"thornnotch/internal/workers"
)

// TestWorkIsIndependentOfFleetSize checks that the cost of a heartbeat, of a change and of its
// record does not grow with the fleet. The test counts allocations, rebuilt views, bytes and
// transactions, which do not depend on the speed of the test machine. A scheduling pass itself
// still visits all machines (BenchmarkPass).
func TestWorkIsIndependentOfFleetSize(t *testing.T) {
	const changes = 20
	type work struct {
		heartbeat    float64 // allocations
		views        uint64
		entryBytes   uint64
		transactions int
	}
	measure := func(machines int) (w work) {
		l, fleet := largeFleet(t, machines)
		now := time.Now()
		reply := make(chan Reply, 1)
		next := 0
		w.heartbeat = testing.AllocsPerRun(200, func() {
			machine := fleet[next%len(fleet)]
			next += 7
			l.heartbeat(nextHeartbeat(l, machine, workers.StatusRunning, ""), now, reply)
			l.replies.byMachine[machine].until = now
			l.replies.wake(machine)
			l.flushReplies(now)
			<-reply
		})
		commitPending(l, 1000)
		now = time.Now()
		l.runSchedulingPass(now)
		commitPending(l, 2000)
		for _, machine := range fleet[:changes] {
			l.logMetadata(machine, nil)
			machine.markStale()
		}
		viewsBefore, bytesBefore := l.counts.MachineViews, l.wal.Stats().EntryBytes
		l.runSchedulingPass(now)
		for l.wal.HasUncommitted() {
			l.commits.next()
			l.applyCommitResult(commitResult{revision: uint64(3000 + w.transactions)})
			w.transactions++
		}
		w.views, w.entryBytes = l.counts.MachineViews-viewsBefore, l.wal.Stats().EntryBytes-bytesBefore
		return w
	}
	small, large := measure(500), measure(4000)
	if large.heartbeat > 1.1*small.heartbeat {
		t.Errorf("a heartbeat takes %.0f allocations with 500 machines, %.0f with 4,000", small.heartbeat, large.heartbeat)
	}
	if small.views != changes || large.views != changes {
		t.Errorf("%d changes rebuilt %d views with 500 machines, %d with 4,000", changes, small.views, large.views)
	}
	// The machines' cached images differ, so the sizes vary slightly.
	if float64(large.entryBytes) > 1.2*float64(small.entryBytes) || large.transactions != small.transactions || small.entryBytes == 0 {
		t.Errorf("cost of recording the changes: %+v with 500 machines, %+v with 4,000", small, large)
	}
}
