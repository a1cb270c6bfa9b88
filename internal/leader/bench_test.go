package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"thornnotch/internal/config"
	"thornnotch/internal/fleet"
	"thornnotch/internal/intake"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/ledger"
	"thornnotch/internal/tuning"
)

// grown makes a leader of a large site: so many machines, all busy but a few,
// and so many jobs waiting.
func grown(b *testing.B, rigs, jobs int) (*Leader, []*rig) {
	now := time.Now()
	l := testLeader(b)
	l.teams = []config.Team{{Name: "a", GPUs: 1000, GPUsMax: 20000}}
	l.d.Settings.Params.Teams = l.teams
	offline(b, l)
	l.sure = now
	var list []*rig
	for i := range rigs {
		r := addRig(l, fmt.Sprintf("m-%06d", i), []string{"east", "west"}[i%2], now)
		r.m.Spot = i%3 == 0
		list = append(list, r)
	}
	for i := range jobs {
		j := sweep(fmt.Sprintf("j-%06d", i), 40)
		j.Bundle = fmt.Sprint("img-", i%10)
		j.Workload = []string{"x", "y"}[i%2]
		if i%4 == 0 {
			j.Shape, j.Pieces, j.Accelerators, j.SamePlace, j.Loaners = intake.Gang, 1<<(i/4%5), 4, true, false
		}
		addJob(b, l, j, now)
	}
	for range 5 {
		l.dirty = true
		l.pass(now)
		settle(l, 100)
	}
	for _, r := range list {
		r.m.Orders(true, now) // the starts have left: no answer waits for them
	}
	return l, list
}

// BenchmarkPass is one placement pass after a few changes, at the size of a
// large deployment.
func BenchmarkPass(b *testing.B) {
	l, list := grown(b, 2100, 700)
	now := time.Now()
	b.ResetTimer()
	for i := range b.N {
		for k := range 20 {
			l.touch(list[(i*20+k)%len(list)])
		}
		l.pass(now)
	}
}

// BenchmarkChurn is a placement pass with what comes between two: tasks that
// end on some machines, the record, and starts in their place.
func BenchmarkChurn(b *testing.B) {
	l, list := grown(b, 2100, 700)
	epoch := uint64(1000)
	b.ResetTimer()
	for i := range b.N {
		now := time.Now()
		for k := range 20 {
			r := list[(i*20+k*101)%len(list)]
			rep := report(l, r, fleet.Running, "")
			for n := range rep.Pieces {
				if a := r.m.Attempts[attemptID(b, rep.Pieces[n])]; n%3 == 0 && a.ID.Task.Index%50 != 0 && l.jobs[a.ID.Task.Job] != nil && l.jobs[a.ID.Task.Job].spec.Shape != intake.Gang {
					rep.Pieces[n].Status, rep.Pieces[n].Cause = fleet.Exited, fleet.CauseError
				}
			}
			l.observe(r, rep, false, now)
		}
		for _, j := range l.jobs {
			j.notBefore = time.Time{}
			clear(j.avoid)
		}
		epoch = settle(l, epoch)
		l.pass(now)
		epoch = settle(l, epoch)
		for k := range 20 {
			r := list[(i*20+k*101)%len(list)]
			r.m.Orders(true, now)
		}
	}
}

func attemptID(b *testing.B, p fleet.Piece) fleet.AttemptID {
	task, err := fleet.ParseTaskID(p.Piece)
	if err != nil {
		b.Fatal(err)
	}
	return fleet.AttemptID{Task: task, Try: p.Try}
}

// BenchmarkReport is a report's way through the leader's routine when it
// changes nothing.
func BenchmarkReport(b *testing.B) {
	l, list := grown(b, 2100, 700)
	now := time.Now()
	ch := make(chan Reply, 1)
	b.ResetTimer()
	for i := range b.N {
		r := list[i%len(list)]
		rep := report(l, r, fleet.Running, "")
		l.hello(rep, now, ch)
		l.commit(now)
		r.waiter.until = now
		l.wake(r)
		l.flush(now)
		<-ch
	}
}

// written carries out what a checkpoint of the whole site writes, and returns
// the rows with their number of transactions.
func written(l *Leader, rows map[string]wal.Row) (txns int) {
	l.checkpoint()
	for l.committer.log.Checkpointing() {
		t := l.next()
		for _, w := range t.Writes {
			rows[w.Set] = wal.Row{Key: w.Set, Value: w.V}
		}
		txns++
		l.committed(outcome{epoch: uint64(1000 + txns)})
	}
	return txns
}

// BenchmarkCheckpoint writes the whole state of a large site anew.
func BenchmarkCheckpoint(b *testing.B) {
	l, _ := grown(b, 2100, 700)
	rows := make(map[string]wal.Row)
	for range b.N {
		b.ReportMetric(float64(written(l, rows)), "transactions")
	}
}

// BenchmarkReplay reads it back at a takeover, with what came on top.
func BenchmarkReplay(b *testing.B) {
	l, list := grown(b, 2100, 700)
	rows := make(map[string]wal.Row)
	written(l, rows)
	for i := range tuning.CheckpointAfter {
		for k := range 20 {
			l.noteMeta(list[(i*20+k)%len(list)], nil)
		}
		t := l.next()
		for _, w := range t.Writes {
			rows[w.Set] = wal.Row{Key: w.Set, Value: w.V}
		}
		l.committed(outcome{epoch: uint64(5000 + i)})
	}
	all := make([]wal.Row, 0, len(rows))
	size := 0
	for _, r := range rows {
		all = append(all, r)
		size += len(r.Value)
	}
	b.ReportMetric(float64(size)/(1<<20), "MB")
	b.ResetTimer()
	for range b.N {
		st, _, err := wal.Read(all)
		if err != nil || len(st.Rigs) != 2100 {
			b.Fatalf("%d machines read: %v", len(st.Rigs), err)
		}
	}
}

// offline starts the group of routines that the leader hands calls to, as Run
// does, so that parts that talk to others can be driven without Run.
func offline(tb testing.TB, l *Leader) {
	group, ctx := errgroup.WithContext(tb.Context())
	l.tasks, l.ctx = group, ctx
	l.d.Store = noStore{}
	tb.Cleanup(func() { _ = group.Wait() })
}

type noStore struct{ Store }

func (noStore) Multi(context.Context, ledger.Class, []ledger.Cond, []ledger.Write) (uint64, error) {
	return 0, ledger.ErrUnavailable
}
