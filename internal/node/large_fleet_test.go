package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/simulator"
)

// largeFleet is 4,000 machines under three nodes, whose state service takes small
// values and few changes in a transaction.
func largeFleet() layout {
	lay := small()
	lay.machines, lay.step = 4000, time.Second
	lay.params = config.Params{
		Teams:   []config.Team{{Name: "a", GuaranteedGPUs: 8000, MaxGPUs: 16000}},
		Workers: config.WorkerTimings{HeartbeatS: 6, LeaseS: 31, GangWaitS: 50, GangPeerS: 4, CancelWithinS: 51},
		State:   config.StateLimits{RPS: 500, WriteRPS: 200, ValueKB: 2, TxnOps: 10}, Cloud: config.CloudLimits{RPS: 5, ListLagS: 5},
		MachineLimits: config.MachineLimits{Sockets: 4600},
	}
	return lay
}

// logHead is the head of the leader's log as it stands.
func (s *site) logHead() (head wal.Head) {
	_ = json.Unmarshal(s.state.Get(wal.HeadKey), &head)
	return head
}

// TestLargeRingNeedsAllNodes: as long as one node is away, or runs a version that does
// not say that it reads the large ring, nobody takes it that all do.
func TestLargeRingNeedsAllNodes(t *testing.T) {
	meetOnce(t, small(), 13, nil, func(m *scenario) {
		reads := func() bool { return m.nodes[m.leader()].node.allReadLargeRing(m.users.ctx) }
		m.until(5*time.Second, "all nodes' word", reads)
		for label := range m.nodes {
			if label != m.leader() {
				m.kill(label)
				break
			}
		}
		if reads() {
			t.Error("a node that is away was counted on")
		}
		for i := range m.layout.nodes {
			if m.nodes[fmt.Sprint("rig-", i)] == nil {
				m.start(i)
			}
		}
		m.until(10*time.Second, "all nodes' word again", reads)
		leader := m.nodes[m.leader()].node
		others := leader.settings.Peers
		leader.settings.Peers = others[:1]
		if reads() {
			t.Error("a node that the settings do not name was counted on")
		}
		leader.settings.Peers = others
	})
}

// TestLargeFleet takes 4,000 machines through what moves all of them at once: the
// leader ends; a zone with a third of the machines and a node is cut off for longer
// than the lease, and comes back; all nodes end; half of all jobs are cancelled
// within a second. No rule is broken, no call is refused for its size, every worker
// is answered within its lease wherever it can be, every job by every node, and no
// node takes more routines or sockets than its settings and its workers make up.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		lay := largeFleet()
		s := newSiteOf(t, ctx, lay)
		defer s.wait.Wait()
		defer cancel()
		defer s.state.Close()
		limits := simulator.RequestLimits{ValueBytes: int(lay.params.State.ValueKB * 1024), WritesPerTxn: lay.params.State.TxnOps}
		s.state.SetLimits(limits)
		s.cloud.AddRunning(lay.machines)
		for i := range lay.nodes {
			s.start(i)
		}
		s.until(10*time.Second, "a leader", func() bool { return s.leader() != "" })
		s.until(10*time.Second, "readiness", func() bool { c, _ := s.call(0, "GET", "/ready", nil); return c == http.StatusOK })
		const jobCount, tasks = 100, 80 // two tasks fill a machine
		name := func(n int) string { return fmt.Sprintf("j-%06d", n) }
		for n := range jobCount {
			j := testJob(n, "a", jobs.KindArray, tasks)
			j.ExpectedS, j.CPUs, j.GPUs = 900, 12, 2
			s.until(30*time.Second, "acceptance of "+j.ID, func() bool {
				c := s.submit(n%lay.nodes, j)
				return c == http.StatusCreated || c == http.StatusOK
			})
		}
		s.until(3*time.Minute, "all tasks running", func() bool { return len(s.running()) == jobCount*tasks })
		s.until(time.Minute, "all workers heard", func() bool { return s.workersHeard() == lay.machines })
		s.until(2*time.Minute, "the log in the large ring", func() bool { return s.logHead().Ring == constants.LogLargeRingSize })
		before := s.running()

		label := s.leader()
		s.kill(label)
		s.until(15*time.Second, "another leader", func() bool { return s.leader() != "" })
		s.until(25*time.Second, "all workers heard by the next leader", func() bool { return s.workersHeard() == lay.machines })
		s.start(int(label[4] - '0'))
		time.Sleep(40 * time.Second)
		s.sameTasks(before)

		// The cloud is away, so that nobody replaces the zone's machines.
		s.cloud.SetOutage(true)
		label = s.leader()
		cut := fmt.Sprintf("rig-%d", (int(label[4]-'0')+1)%lay.nodes)
		s.cutZone(cut)
		time.Sleep(45 * time.Second)
		s.heal()
		s.cloud.SetOutage(false)
		s.until(30*time.Second, "all workers heard after the cut", func() bool { return s.workersHeard() == lay.machines })
		s.until(3*time.Minute, "all tasks running after the cut", func() bool { return len(s.running()) == jobCount*tasks })
		before = s.running()

		for label := range s.nodes {
			s.kill(label)
		}
		time.Sleep(6 * time.Second)
		for i := range lay.nodes {
			s.start(i)
		}
		s.until(25*time.Second, "all workers heard after all nodes ended", func() bool { return s.workersHeard() == lay.machines })
		time.Sleep(40 * time.Second)
		s.sameTasks(before)

		var answered atomic.Int64
		var wait sync.WaitGroup
		for n := range jobCount / 2 {
			wait.Go(func() {
				s.until(30*time.Second, "the cancellation of "+name(n), func() bool {
					c, st := s.call(n%lay.nodes, "POST", "/work/"+name(n)+"/cancel", nil)
					if c == http.StatusOK && st.Status == jobs.StatusCancelled {
						s.judge.cancelled(name(n))
						answered.Add(1)
						return true
					}
					return false
				})
			})
		}
		wait.Wait()
		time.Sleep(config.Seconds(lay.params.Workers.CancelWithinS))
		s.judge.look()
		if got, want := len(s.running()), (jobCount-jobCount/2)*tasks; got != want || answered.Load() != jobCount/2 {
			t.Errorf("%d tasks run after %d cancellations, want %d", got, answered.Load(), want)
		}
		for n := range jobCount {
			want := jobs.StatusRunning
			if n < jobCount/2 {
				want = jobs.StatusCancelled
			}
			for i := range lay.nodes {
				s.until(10*time.Second, "an answer for "+name(n), func() bool { return s.status(i, name(n)) == want })
			}
		}
		s.noRuleBroken()
		if c := s.state.Counts(); c.TooLarge > 0 {
			t.Errorf("%d calls were refused for their size", c.TooLarge)
		}
		for label, p := range s.nodes {
			if most := p.host.MaxOpenConns(); most > lay.params.MachineLimits.Sockets {
				t.Errorf("%s had %d connections of %d", label, most, lay.params.MachineLimits.Sockets)
			}
		}
		// What the nodes may take by their settings, and what the stand-ins do beside.
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		nodesMB := float64(lay.nodes) * (constants.BaseMemoryMB + constants.MemoryPerWorkerMB*float64(lay.machines))
		standinsMB := 0.05 * float64(lay.machines)
		if held := float64(memory.HeapAlloc) / (1 << 20); held > nodesMB+standinsMB {
			t.Errorf("%.0f MB are held, at most %.0f of the nodes and %.0f of the stand-ins", held, nodesMB, standinsMB)
		}
		t.Logf("%.0f MB held, %d routines", float64(memory.HeapAlloc)/(1<<20), runtime.NumGoroutine())
		// Of each worker its own loop, its server, and a connection at either end.
		if most := 4*lay.machines + 1000*lay.nodes; runtime.NumGoroutine() > most {
			t.Errorf("%d routines, at most %d", runtime.NumGoroutine(), most)
		}
	})
}
