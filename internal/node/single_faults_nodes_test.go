package node

import (
	"net/http"
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// Single faults of nodes and of their connections, each on a whole site in fake time.

// TestSuspendedLeaderHasNoEffect: the leader's process is suspended for longer than its election
// lease while its clock runs on, and another node becomes the leader. When the process
// resumes, it first reads the messages buffered in its sockets and continues the work of its
// old term. Neither may cause changes that only the current leader may make, such as renting
// machines.
func TestSuspendedLeaderHasNoEffect(t *testing.T) {
	runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
		name := f.leader()
		frozen := f.nodes[name]
		resume := frozen.host.Freeze()
		f.waitForLeader(15*time.Second, name)
		delete(f.nodes, name) // it can't be queried while it is frozen
		electedAt := time.Now()
		for f.answersUsers(name, 20) {
			time.Sleep(time.Second)
		}
		time.Sleep(max(0, 37*time.Second-time.Since(electedAt)))
		rentedBefore := f.cloud.RentedCount()
		resume()
		f.nodes[name] = frozen
		f.waitFor(10*time.Second, "the old leader to notice that it no longer leads", func() bool { return !frozen.node.leads() })
		if rentedNow := f.cloud.RentedCount(); rentedNow > rentedBefore+2 {
			f.t.Errorf("the old leader rented replacements for machines that had not been silent: %d rented before, %d now, want at most 2 more", rentedBefore, rentedNow)
		}
		f.submitJob(testJob(20, "a", jobs.KindArray, 3))
	})
}

// answersUsers reports whether a node answers a status query for a job. A frozen node does not.
func (s *site) answersUsers(name string, job int) bool {
	return s.status(nodeNumber(name), jobID(job)) != "0"
}

// TestLeaderReachesOnlyWorkersAndUsers: a leader is cut off from the state service and from the
// other nodes, while workers and users still reach it. Another node must become the leader, the
// workers must accept its higher fencing token, the tasks of a job cancelled meanwhile must stop
// within cancel_s (37 s), and the isolated node must report that it is not ready, so that users
// are sent to other nodes.
func TestLeaderReachesOnlyWorkersAndUsers(t *testing.T) {
	runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
		cancelledJob := testJob(40, "b", jobs.KindArray, 3)
		f.runLongJob(60*time.Second, cancelledJob)
		name := f.leader()
		isolated := f.nodes[name]
		f.isolateNode(name)
		f.waitForLeader(15*time.Second, name)
		f.mustCancel(5*time.Second, nextNodeNumber(name), cancelledJob.ID)
		cancelledAt := time.Now()
		if code := f.readinessCode(nodeNumber(name)); code != http.StatusServiceUnavailable {
			f.t.Errorf("the isolated node's readiness probe got %d, want 503", code)
		}
		f.submitJob(testJob(41, "a", jobs.KindArray, 3))
		time.Sleep(37*time.Second - time.Since(cancelledAt))
		f.checkNoRunningTasks(cancelledJob.ID)
		if isolated.node.leads() {
			f.t.Errorf("the isolated node still considers itself the leader")
		}
		f.healPartitions()
	})
}

// TestNodeCannotReachStateService: one node, the leader or another, can't reach the state
// service while the others can. Submissions and status queries sent to this node must still be
// served.
func TestNodeCannotReachStateService(t *testing.T) {
	for _, leads := range []bool{true, false} {
		runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
			cutOff := nodeNumber(f.leader())
			if !leads {
				cutOff = nextNodeNumber(f.leader())
			}
			f.nodes[nodeName(cutOff)].host.Disconnect(stateAddress)
			time.Sleep(6 * time.Second) // if the leader was cut off, another node leads by now
			for n := 50; n < 53; n++ {
				job := testJob(n, "a", jobs.KindArray, 2)
				if code := f.submit(cutOff, job); code != http.StatusCreated {
					f.t.Errorf("leader cut off %v: a submission got %d, want 201", leads, code)
				}
				f.submitJob(job)
			}
			if status := f.status(cutOff, jobID(50)); status != jobs.StatusPending && status != jobs.StatusRunning {
				f.t.Errorf("leader cut off %v: a status query got %s, want pending or running", leads, status)
			}
			time.Sleep(20 * time.Second)
			f.healPartitions()
		})
	}
}

// TestNodesCannotReachEachOther: the nodes can't reach each other, but still reach the state
// service, the cloud, workers and users. The same node must remain the leader, and every node
// must be ready and serve users.
func TestNodesCannotReachEachOther(t *testing.T) {
	runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
		leader := f.leader()
		for _, process := range f.nodes {
			process.host.Disconnect(peerAddress(0), peerAddress(1), peerAddress(2))
		}
		for n := 60; n < 63; n++ {
			job := testJob(n, "a", jobs.KindArray, 2)
			if code := f.submit(n%3, job); code != http.StatusCreated {
				f.t.Errorf("a submission got %d, want 201", code)
			}
			f.submitJob(job)
		}
		time.Sleep(20 * time.Second)
		for i := range 3 {
			if code := f.readinessCode(i); code != http.StatusOK {
				f.t.Errorf("node %d is not ready: its readiness probe got %d, want 200", i, code)
			}
		}
		if currentLeader := f.leader(); currentLeader != leader {
			f.t.Errorf("the leadership moved from %s to %s", leader, currentLeader)
		}
		f.healPartitions()
	})
}

// TestImmediateNodeRestarts: node processes are killed and started again 50 ms to 2.6 s later,
// also in the middle of the election or the failover that an earlier restart caused. A restarted
// leader must lead again without waiting for its old lease to expire, and all jobs must get a
// final status.
func TestImmediateNodeRestarts(t *testing.T) {
	runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
		first := f.leader()
		f.restartNode(first, 100*time.Millisecond)
		// The restarted node finds its own name in the election record, and becomes the leader
		// again without waiting for the lease of its earlier process to expire.
		f.waitFor(1500*time.Millisecond, "the restarted node to lead again", func() bool { return f.leader() == first })
		for i, afterMS := range []time.Duration{100, 300, 900, 50, 2600} {
			name := f.leader()
			if name == "" {
				name = nodeName(i % 3)
			}
			f.restartNode(name, afterMS*time.Millisecond)
			f.submitJob(testJob(70+i, "a", jobs.KindArray, 2))
			// The next restart falls into the election or the failover.
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
		}
		for i := range 3 {
			f.restartNode(nodeName(i), 200*time.Millisecond)
		}
		f.submitJob(testJob(80, "b", jobs.KindGang, 2))
	})
}

// TestRepeatedRequestsChangeNothing: submissions and cancellations that are repeated at any
// node, also after the job is done and after a failover, must change nothing.
func TestRepeatedRequestsChangeNothing(t *testing.T) {
	runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
		job := testJob(90, "a", jobs.KindArray, 2)
		f.submitJob(job)
		for i := range 3 {
			if code := f.submit(i, job); code != http.StatusOK {
				f.t.Errorf("node %d: a repeated submission got %d, want 200", i, code)
			}
		}
		f.waitFor(2*time.Minute, "the job done", func() bool { return f.status(0, job.ID) == jobs.StatusDone })
		f.killNode(f.leader())
		time.Sleep(5 * time.Second)
		f.startMissingNodes()
		f.waitFor(20*time.Second, "readiness", func() bool { return f.ready(0) })
		for i := range 3 {
			f.waitFor(10*time.Second, "the repeated submission", func() bool { return f.submit(i, job) == http.StatusOK })
			f.checkCancelOfDoneJob(i, job.ID)
		}
		time.Sleep(20 * time.Second)
		f.checkTasksDoneOnce(job)
	})
}

// checkCancelOfDoneJob checks that the cancellation of a done job returns the status done, and
// that the job is still done afterwards.
func (f *singleFaultScenario) checkCancelOfDoneJob(node int, id string) {
	f.t.Helper()
	if code, response := f.cancelJob(node, id); code != http.StatusOK || response.Status != jobs.StatusDone {
		f.t.Errorf("node %d: the cancellation of a job that is done got %d %s, want 200 done", node, code, response.Status)
	}
	if got := f.status(node, id); got != jobs.StatusDone {
		f.t.Errorf("node %d: went_back: a job that was done is now %s", node, got)
	}
}
