package leader

import (
	"testing"
	"time"

	"thornnotch/internal/workers"
)

// TestWorkFollowsChange: what a report, a change and its record cost does not grow with
// the fleet. Counted are allocations, views made anew, bytes and transactions, which
// don't hang on how fast the machine is; a pass itself still walks all machines
// (BenchmarkPass).
func TestWorkFollowsChange(t *testing.T) {
	const changes = 20
	type work struct {
		report       float64 // allocations
		views        uint64
		entryBytes   uint64
		transactions int
	}
	measure := func(machines int) (w work) {
		l, list := grown(t, machines)
		now := time.Now()
		ch := make(chan Reply, 1)
		next := 0
		w.report = testing.AllocsPerRun(200, func() {
			machine := list[next%len(list)]
			next += 7
			l.heartbeat(nextHeartbeat(l, machine, workers.StatusRunning, ""), now, ch)
			l.replies.byMachine[machine].until = now
			l.replies.wake(machine)
			l.flushReplies(now)
			<-ch
		})
		commitAll(l, 1000)
		now = time.Now()
		l.runSchedulingPass(now)
		commitAll(l, 2000)
		for _, machine := range list[:changes] {
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
	if large.report > 1.1*small.report {
		t.Errorf("a report costs %.0f allocations at 500 machines, %.0f at 4,000", small.report, large.report)
	}
	if small.views != changes || large.views != changes {
		t.Errorf("%d changes had %d views made anew at 500 machines, %d at 4,000", changes, small.views, large.views)
	}
	// What images the machines happen to have differs a little.
	if float64(large.entryBytes) > 1.2*float64(small.entryBytes) || large.transactions != small.transactions || small.entryBytes == 0 {
		t.Errorf("their record took %+v at 500 machines, %+v at 4,000", small, large)
	}
}
