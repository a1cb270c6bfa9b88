package leader

import (
	"testing"
	"time"

	"thornnotch/internal/workers"
)

// TestWorkFollowsChange: what a heartbeat, a change and its record cost does not grow with
// the fleet. Counted are allocations, views made anew, bytes and transactions, which
// don't depend on how fast the machine is; a pass itself still walks all machines
// (BenchmarkPass).
func TestWorkFollowsChange(t *testing.T) {
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
		commitAll(l, 1000)
		now = time.Now()
		l.runSchedulingPass(now)
		commitAll(l, 2000)
		for _, machine := range fleet[:changes] {
			l.logMetadata(machine, nil)
			machine.markStale()
		}
		before, entries := l.counts.Views, l.wal.Stats().EntryBytes
		l.runSchedulingPass(now)
		for l.wal.Pending() {
			l.commits.next()
			l.committed(commitResult{revision: uint64(3000 + w.transactions)})
			w.transactions++
		}
		w.views, w.entryBytes = l.counts.Views-before, l.wal.Stats().EntryBytes-entries
		return w
	}
	small, large := measure(500), measure(4000)
	if large.heartbeat > 1.1*small.heartbeat {
		t.Errorf("a heartbeat costs %.0f allocations at 500 machines, %.0f at 4,000", small.heartbeat, large.heartbeat)
	}
	if small.views != changes || large.views != changes {
		t.Errorf("%d changes had %d views made anew at 500 machines, %d at 4,000", changes, small.views, large.views)
	}
	// What images the machines happen to have differs a little.
	if float64(large.entryBytes) > 1.2*float64(small.entryBytes) || large.transactions != small.transactions || small.entryBytes == 0 {
		t.Errorf("their record took %+v at 500 machines, %+v at 4,000", small, large)
	}
}
