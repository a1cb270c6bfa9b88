package node

import (
	"encoding/json"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/simulator"
)

// largeSite is 4,000 machines under three nodes, whose state service takes small
// values and few changes in a transaction.
func largeSite() siteLayout {
	layout := smallSite()
	layout.machines, layout.workerStep = 4000, time.Second
	layout.params = config.Params{
		Teams:   []config.Team{{Name: "a", GuaranteedGPUs: 8000, MaxGPUs: 16000}},
		Workers: config.WorkerTimings{HeartbeatS: 6, LeaseS: 31, GangWaitS: 50, GangPeerS: 4, CancelWithinS: 51},
		State:   config.StateLimits{RPS: 500, WriteRPS: 200, ValueKB: 2, TxnOps: 10}, Cloud: config.CloudLimits{RPS: 5, ListLagS: 5},
		MachineLimits: config.MachineLimits{Sockets: 4600},
	}
	return layout
}

// TestLargeRingNeedsAllNodes: as long as one node is away, or runs a version that does
// not say that it reads the large ring, nobody takes it that all do.
func TestLargeRingNeedsAllNodes(t *testing.T) {
	runScenarioOnce(t, smallSite(), 13, nil, func(sc *scenario) {
		allRead := func() bool { return sc.nodes[sc.leader()].node.allReadLargeRing(sc.users.ctx) }
		sc.waitFor(5*time.Second, "all nodes' word", allRead)
		sc.killNode(nodeName(nodeAfter(sc.leader())))
		if allRead() {
			sc.t.Error("a node that is away was counted on")
		}
		sc.startMissingNodes()
		sc.waitFor(10*time.Second, "all nodes' word again", allRead)

		settings := sc.nodes[sc.leader()].node.settings
		others := settings.Peers
		settings.Peers = others[:1]
		if allRead() {
			sc.t.Error("a node that the settings do not name was counted on")
		}
		settings.Peers = others
	})
}

// TestLargeFleet takes 4,000 machines through what moves all of them at once: the
// leader ends; a zone with a third of the machines and a node is cut off for longer
// than the lease, and comes back; all nodes end; half of all jobs are cancelled
// within a second. No rule is broken, no call is refused for its size, every worker
// is answered within its lease wherever it can be, every job by every node, and no
// node takes more goroutines or sockets than its settings and its workers make up.
func TestLargeFleet(t *testing.T) {
	layout := largeSite()
	prepare := func(s *site) {
		state := layout.params.State
		s.state.SetLimits(simulator.RequestLimits{ValueBytes: int(state.ValueKB * 1024), WritesPerTxn: state.TxnOps})
		s.cloud.AddRunning(layout.machines)
	}
	runSite(t, layout, prepare, func(s *site) {
		f := fleet{s, 100, 80}
		f.submitAll(900)
		f.waitAllRunning(3*time.Minute, "")
		f.waitAllHeard(time.Minute, "")
		s.waitFor(2*time.Minute, "the log in the large ring", func() bool { return s.logHead().Ring == constants.LogLargeRingSize })

		f.endLeader()
		f.cutZoneBeyondLease()
		before := s.rules.runningTasks()
		f.restartAllNodes(6 * time.Second)
		f.waitAllHeard(25*time.Second, "after all nodes ended")
		time.Sleep(40 * time.Second)
		s.checkSameTasks(before)
		f.cancelHalf()

		s.checkRules()
		if refused := s.state.Counts().TooLarge; refused > 0 {
			s.t.Errorf("%d calls were refused for their size", refused)
		}
		f.checkResources()
	})
}

// logHead is the head of the leader's log as it stands.
func (s *site) logHead() (head wal.Head) {
	_ = json.Unmarshal(s.state.Get(wal.HeadKey), &head) // not there: zero
	return head
}

// endLeader ends the leader: the next one hears all workers, and all tasks run on.
func (f fleet) endLeader() {
	f.t.Helper()
	before := f.rules.runningTasks()
	leader := f.leader()
	f.killNode(leader)
	f.waitForLeader(15*time.Second, leader)
	f.waitAllHeard(25*time.Second, "by the next leader")
	f.startNode(nodeNumber(leader))
	time.Sleep(40 * time.Second)
	f.checkSameTasks(before)
}

// cutZoneBeyondLease cuts off a zone, other than the leader's, for longer than the
// lease, while the cloud is away, so that nobody replaces the zone's machines.
func (f fleet) cutZoneBeyondLease() {
	f.t.Helper()
	f.cloud.SetOutage(true)
	f.cutZone(nodeName((nodeNumber(f.leader()) + 1) % f.siteLayout.nodes))
	time.Sleep(45 * time.Second)
	f.heal()
	f.cloud.SetOutage(false)
	f.waitAllHeard(30*time.Second, "after the cut")
	f.waitAllRunning(3*time.Minute, "after the cut")
}

// cancelHalf cancels half of the jobs at once, and demands that their tasks are gone
// within the time for that, and that every node knows of every job.
func (f fleet) cancelHalf() {
	f.t.Helper()
	half := f.jobCount / 2
	confirmed := f.cancelAtOnce(half)
	time.Sleep(config.Seconds(f.params.Workers.CancelWithinS))
	f.rules.checkRunning()
	if got, want := len(f.rules.runningTasks()), (f.jobCount-half)*f.tasksPerJob; got != want || confirmed != half {
		f.t.Errorf("%d tasks run after %d cancellations, want %d", got, confirmed, want)
	}
	for n := range f.jobCount {
		want := jobs.StatusRunning
		if n < half {
			want = jobs.StatusCancelled
		}
		for node := range f.siteLayout.nodes {
			f.waitFor(10*time.Second, "an answer for "+jobID(n), func() bool { return f.status(node, jobID(n)) == want })
		}
	}
}

// cancelAtOnce cancels the first jobs, all at the same time, and counts the
// confirmations.
func (f fleet) cancelAtOnce(count int) int {
	f.t.Helper()
	var confirmed atomic.Int64
	var cancelling sync.WaitGroup
	for n := range count {
		id := jobID(n)
		cancelling.Go(func() {
			f.waitFor(30*time.Second, "the cancellation of "+id, func() bool {
				code, answer := f.cancelJob(n%f.siteLayout.nodes, id)
				if code != http.StatusOK || answer.Status != jobs.StatusCancelled {
					return false
				}
				f.rules.noteCancelled(id)
				confirmed.Add(1)
				return true
			})
		})
	}
	cancelling.Wait()
	return int(confirmed.Load())
}

// checkResources demands that nodes take no more sockets, memory and goroutines than
// their settings and workers make up, and the stand-ins beside them.
func (f fleet) checkResources() {
	f.t.Helper()
	for name, process := range f.nodes {
		if most, limit := process.host.MaxOpenConns(), f.params.MachineLimits.Sockets; most > limit {
			f.t.Errorf("%s had %d connections of %d", name, most, limit)
		}
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	heldMB := float64(memory.HeapAlloc) / bytesPerMB
	machines, nodes := f.siteLayout.machines, f.siteLayout.nodes
	nodesMB := float64(nodes) * (constants.BaseMemoryMB + constants.MemoryPerWorkerMB*float64(machines))
	standinsMB := 0.05 * float64(machines)
	if heldMB > nodesMB+standinsMB {
		f.t.Errorf("%.0f MB are held, at most %.0f of the nodes and %.0f of the stand-ins", heldMB, nodesMB, standinsMB)
	}
	f.t.Logf("%.0f MB held, %d goroutines", heldMB, runtime.NumGoroutine())
	// Of each worker its own loop, its server, and a connection at either end.
	if most := 4*machines + 1000*nodes; runtime.NumGoroutine() > most {
		f.t.Errorf("%d goroutines, at most %d", runtime.NumGoroutine(), most)
	}
}
