package node

import (
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
	"thornnotch/internal/wirejson"
)

// largeSiteOptions returns the options of a site with 4,000 machines and three nodes, whose
// state service allows only small values and few writes per transaction.
func largeSiteOptions() siteOptions {
	options := smallSiteOptions()
	options.machines, options.workerStepInterval = 4000, time.Second
	options.params = config.Params{
		Teams:   []config.Team{{Name: "a", GuaranteedGPUs: 8000, MaxGPUs: 16000}},
		Workers: config.WorkerTimings{HeartbeatS: 6, LeaseS: 31, GangWaitS: 50, GangPeerTimeoutS: 4, CancelWithinS: 51},
		State:   config.StateLimits{RPS: 500, WriteRPS: 200, ValueKB: 2, TxnOps: 10}, Cloud: config.CloudLimits{RPS: 5, ListLagS: 5},
		MachineLimits: config.MachineLimits{Sockets: 4600},
	}
	return options
}

// TestLargeRingNeedsAllNodes: a leader must not conclude that all nodes can read the log's
// large ring while one is down or missing in the settings. Such a node may come back with an
// earlier version, which can't read it.
func TestLargeRingNeedsAllNodes(t *testing.T) {
	runScenarioOnce(t, smallSiteOptions(), 13, nil, func(sc *scenario) {
		allNodesReadLargeRing := func() bool { return sc.nodes[sc.leader()].node.allReadLargeRing(sc.users.ctx) }
		sc.waitFor(5*time.Second, "all nodes to report that they read the large ring", allNodesReadLargeRing)
		sc.killNode(nodeName(nextNodeNumber(sc.leader())))
		if allNodesReadLargeRing() {
			sc.t.Error("a node that is down was counted as reading the large ring")
		}
		sc.startMissingNodes()
		sc.waitFor(10*time.Second, "all nodes to report again that they read the large ring", allNodesReadLargeRing)

		settings := sc.nodes[sc.leader()].node.settings
		peers := settings.Peers
		settings.Peers = peers[:1]
		if allNodesReadLargeRing() {
			sc.t.Error("a node missing in the settings was counted as reading the large ring")
		}
		settings.Peers = peers
	})
}

// TestLargeFleet subjects 4,000 machines to events that affect many of them at once: the
// leader crashes; a zone with a third of the machines and a node is cut off for longer than
// the lease and comes back; all nodes crash; half of the jobs are cancelled at the same time.
// No rule may be violated, and the state service must reject no request for its size. Every
// worker that can reach a leader must get a reply within its lease, and every node must answer
// status queries for every job. Sockets, memory and goroutines must stay within what the
// settings and the number of workers allow.
func TestLargeFleet(t *testing.T) {
	options := largeSiteOptions()
	prepare := func(s *site) {
		state := options.params.State
		s.state.SetLimits(simulator.RequestLimits{ValueBytes: int(state.ValueKB * 1024), WritesPerTxn: state.TxnOps})
		s.cloud.AddRunning(options.machines)
	}
	runSite(t, options, prepare, func(s *site) {
		f := fleet{s, 100, 80}
		f.submitAllJobs(900)
		f.waitAllTasksRunning(3*time.Minute, "")
		f.waitAllWorkersReported(time.Minute, "")
		s.waitFor(2*time.Minute, "the log to use the large ring", func() bool { return s.readLogHead().Ring == constants.LogLargeRingSize })

		f.checkFailover()
		f.isolateZoneBeyondLease()
		before := s.rules.runningTasks()
		f.restartAllNodes(6 * time.Second)
		f.waitAllWorkersReported(25*time.Second, "after the restart of all nodes")
		time.Sleep(40 * time.Second)
		s.checkTasksUnmoved(before)
		f.checkCancelHalf()

		s.checkNoViolations()
		if rejected := s.state.CountFaults().TooLarge; rejected > 0 {
			s.t.Errorf("%d requests were rejected for their size", rejected)
		}
		f.checkResources()
	})
}

// readLogHead returns the stored head of the leader's log, or the zero value if there is none.
func (s *site) readLogHead() (head wal.Head) {
	_ = wirejson.Decode(s.state.Get(wal.HeadKey), &head) // fails if there is no head yet
	return head
}

// checkFailover kills the leader and checks that all workers report to the next one and that
// all tasks keep running on their machines.
func (f fleet) checkFailover() {
	f.t.Helper()
	before := f.rules.runningTasks()
	leader := f.leader()
	f.killNode(leader)
	f.waitForLeader(15*time.Second, leader)
	f.waitAllWorkersReported(25*time.Second, "at the next leader")
	f.startNode(nodeNumber(leader))
	time.Sleep(40 * time.Second)
	f.checkTasksUnmoved(before)
}

// isolateZoneBeyondLease cuts off a zone other than the leader's for longer than the lease.
// The cloud is down meanwhile, so that the zone's machines are not replaced.
func (f fleet) isolateZoneBeyondLease() {
	f.t.Helper()
	f.cloud.SetOutage(true)
	f.isolateZoneOf(nodeName((nodeNumber(f.leader()) + 1) % f.siteOptions.nodes))
	time.Sleep(45 * time.Second)
	f.healPartitions()
	f.cloud.SetOutage(false)
	f.waitAllWorkersReported(30*time.Second, "after the zone is back")
	f.waitAllTasksRunning(3*time.Minute, "after the zone is back")
}

// checkCancelHalf cancels half of the jobs at once and checks that their tasks end within
// cancel_s, and that every node reports the right status of every job.
func (f fleet) checkCancelHalf() {
	f.t.Helper()
	half := f.jobCount / 2
	confirmed := f.cancelConcurrently(half)
	time.Sleep(config.Seconds(f.params.Workers.CancelWithinS))
	f.rules.checkCancelDeadlines()
	if got, want := len(f.rules.runningTasks()), (f.jobCount-half)*f.tasksPerJob; got != want || confirmed != half {
		f.t.Errorf("%d tasks are running after %d confirmed cancellations, want %d", got, confirmed, want)
	}
	for n := range f.jobCount {
		want := jobs.StatusRunning
		if n < half {
			want = jobs.StatusCancelled
		}
		for node := range f.siteOptions.nodes {
			f.waitFor(10*time.Second, "an answer for "+jobID(n), func() bool { return f.status(node, jobID(n)) == want })
		}
	}
}

// cancelConcurrently cancels the first count jobs at the same time and returns the number of
// confirmed cancellations.
func (f fleet) cancelConcurrently(count int) int {
	f.t.Helper()
	var confirmed atomic.Int64
	var requests sync.WaitGroup
	for n := range count {
		id := jobID(n)
		requests.Go(func() {
			f.waitFor(30*time.Second, "the cancellation of "+id, func() bool {
				code, response := f.cancelJob(n%f.siteOptions.nodes, id)
				if code != http.StatusOK || response.Status != jobs.StatusCancelled {
					return false
				}
				f.rules.recordCancelled(id)
				confirmed.Add(1)
				return true
			})
		})
	}
	requests.Wait()
	return int(confirmed.Load())
}

// checkResources checks that sockets, memory and goroutines stay within what the settings and
// the number of workers allow. Memory and goroutines are those of the whole test process, so
// the limits include the simulated machines and services.
func (f fleet) checkResources() {
	f.t.Helper()
	for name, process := range f.nodes {
		if maxCount, limit := process.host.MaxOpenConns(), f.params.MachineLimits.Sockets; maxCount > limit {
			f.t.Errorf("%s had %d connections open at once, limit %d", name, maxCount, limit)
		}
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	heapMB := float64(memory.HeapAlloc) / bytesPerMiB
	machines, nodes := f.siteOptions.machines, f.siteOptions.nodes
	nodeLimitMB := float64(nodes) * (constants.BaseMemoryMB + constants.MemoryPerWorkerMB*float64(machines))
	simulatorLimitMB := 0.05 * float64(machines)
	if heapMB > nodeLimitMB+simulatorLimitMB {
		f.t.Errorf("%.0f MiB of heap in use, limit %.0f for the nodes plus %.0f for the simulator", heapMB, nodeLimitMB, simulatorLimitMB)
	}
	f.t.Logf("%.0f MiB of heap in use, %d goroutines", heapMB, runtime.NumGoroutine())
	// Each worker has its loop, its server, and a goroutine for each end of a connection.
	if maxCount := 4*machines + 1000*nodes; runtime.NumGoroutine() > maxCount {
		f.t.Errorf("%d goroutines, limit %d", runtime.NumGoroutine(), maxCount)
	}
}
