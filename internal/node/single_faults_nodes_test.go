package node

import (
	"net/http"
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// Faults of nodes and of what they reach, each on a whole site in fake time.

// TestFrozenLeader: the leader stands still for longer than its term while its
// clocks run on; another leads. When it goes on, what waited in its sockets and
// its own plans change nothing that they may not.
func TestFrozenLeader(t *testing.T) {
	runWithFault(t, nil, func(f *faultScenario) {
		name := f.leader()
		frozen := f.nodes[name]
		goOn := frozen.host.Freeze()
		f.waitForLeader(15*time.Second, name)
		delete(f.nodes, name) // not asked while it stands still
		at := time.Now()
		for f.answers(name, 20) {
			time.Sleep(time.Second)
		}
		time.Sleep(max(0, 37*time.Second-time.Since(at)))
		hosts := f.cloud.RentedCount()
		goOn()
		f.nodes[name] = frozen
		f.waitFor(10*time.Second, "the old leader to see that it leads no more", func() bool { return !frozen.node.leads() })
		if now := f.cloud.RentedCount(); now > hosts+2 {
			f.t.Errorf("it rented for machines that only it had not heard: %d, then %d", hosts, now)
		}
		f.add(testJob(20, "a", jobs.KindArray, 3))
	})
}

// answers tells whether a node answers users about a job; a frozen one does not.
func (s *site) answers(name string, job int) bool {
	return s.status(nodeNumber(name), jobID(job)) != "0"
}

// TestLeaderKeepsOnlyItsWorkers: a leader loses the state service and the
// other nodes but not its workers. Another leads, workers come under the new
// token, a job cancelled meanwhile is gone in time, and the cut-off node sends
// users elsewhere.
func TestLeaderKeepsOnlyItsWorkers(t *testing.T) {
	runWithFault(t, nil, func(f *faultScenario) {
		victim := testJob(40, "b", jobs.KindArray, 3)
		f.runLongJob(60*time.Second, victim)
		name := f.leader()
		isolated := f.nodes[name]
		f.isolate(name)
		f.waitForLeader(15*time.Second, name)
		f.mustCancel(5*time.Second, nodeAfter(name), victim.ID)
		cancelledAt := time.Now()
		if code := f.readiness(nodeNumber(name)); code != http.StatusServiceUnavailable {
			f.t.Errorf("the cut-off node says that it is ready: %d", code)
		}
		f.add(testJob(41, "a", jobs.KindArray, 3))
		time.Sleep(37*time.Second - time.Since(cancelledAt))
		f.checkGone(victim.ID)
		if isolated.node.leads() {
			f.t.Errorf("the cut-off node still leads")
		}
		f.heal()
	})
}

// TestRefusedByTheStateServiceAlone: one node gets no answer from the state
// service while the others do; users that come to it are served all the same.
func TestRefusedByTheStateServiceAlone(t *testing.T) {
	for _, leads := range []bool{true, false} {
		runWithFault(t, nil, func(f *faultScenario) {
			refused := nodeNumber(f.leader())
			if !leads {
				refused = nodeAfter(f.leader())
			}
			f.nodes[nodeName(refused)].host.Cut(stateAddress)
			time.Sleep(6 * time.Second) // another leads by now, if need be
			for n := 50; n < 53; n++ {
				job := testJob(n, "a", jobs.KindArray, 2)
				if code := f.submit(refused, job); code != http.StatusCreated {
					f.t.Errorf("leads %v: a submission got %d", leads, code)
				}
				f.add(job)
			}
			if status := f.status(refused, jobID(50)); status != jobs.StatusPending && status != jobs.StatusRunning {
				f.t.Errorf("leads %v: a poll got %s", leads, status)
			}
			time.Sleep(20 * time.Second)
			f.heal()
		})
	}
}

// TestNodesRefuseOneAnother disturbs nothing: the same node leads, and users
// are answered everywhere.
func TestNodesRefuseOneAnother(t *testing.T) {
	runWithFault(t, nil, func(f *faultScenario) {
		leader := f.leader()
		for _, process := range f.nodes {
			process.host.Cut(peerAddress(0), peerAddress(1), peerAddress(2))
		}
		for n := 60; n < 63; n++ {
			job := testJob(n, "a", jobs.KindArray, 2)
			if code := f.submit(n%3, job); code != http.StatusCreated {
				f.t.Errorf("a submission got %d", code)
			}
			f.add(job)
		}
		time.Sleep(20 * time.Second)
		for i := range 3 {
			if code := f.readiness(i); code != http.StatusOK {
				f.t.Errorf("node %d is not ready: %d", i, code)
			}
		}
		if now := f.leader(); now != leader {
			f.t.Errorf("the lead went from %s to %s", leader, now)
		}
		f.heal()
	})
}

// TestBackAtOnce: processes that are back a fraction of a second after their
// end, also in the middle of the election that it causes and of the failover.
func TestBackAtOnce(t *testing.T) {
	runWithFault(t, nil, func(f *faultScenario) {
		first := f.leader()
		f.restartNode(first, 100*time.Millisecond)
		// It finds itself named as the holder and need not wait for the lease
		// of the process that is gone.
		f.waitFor(1500*time.Millisecond, "the lead taken up again", func() bool { return f.leader() == first })
		for i, afterMS := range []time.Duration{100, 300, 900, 50, 2600} {
			name := f.leader()
			if name == "" {
				name = nodeName(i % 3)
			}
			f.restartNode(name, afterMS*time.Millisecond)
			f.add(testJob(70+i, "a", jobs.KindArray, 2))
			// The next one falls into the election or the failover.
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
		}
		for i := range 3 {
			f.restartNode(nodeName(i), 200*time.Millisecond)
		}
		f.add(testJob(80, "b", jobs.KindGang, 2))
	})
}

// TestRepeatedRequests: repeats of requests that were carried out, at any node
// and at any later time, change nothing.
func TestRepeatedRequests(t *testing.T) {
	runWithFault(t, nil, func(f *faultScenario) {
		job := testJob(90, "a", jobs.KindArray, 2)
		f.add(job)
		for i := range 3 {
			if code := f.submit(i, job); code != http.StatusOK {
				f.t.Errorf("node %d: a repeated submission got %d", i, code)
			}
		}
		f.waitFor(2*time.Minute, "done", func() bool { return f.status(0, job.ID) == jobs.StatusDone })
		f.killNode(f.leader())
		time.Sleep(5 * time.Second)
		f.startMissingNodes()
		f.waitFor(20*time.Second, "readiness", func() bool { return f.ready(0) })
		for i := range 3 {
			f.waitFor(10*time.Second, "the repeat", func() bool { return f.submit(i, job) == http.StatusOK })
			f.checkLateCancellation(i, job.ID)
		}
		time.Sleep(20 * time.Second)
		f.checkDoneOnce(job)
	})
}

// checkLateCancellation demands that a cancellation does not change that a job is done.
func (f *faultScenario) checkLateCancellation(node int, id string) {
	f.t.Helper()
	if code, answer := f.cancelJob(node, id); code != http.StatusOK || answer.Status != jobs.StatusDone {
		f.t.Errorf("node %d: a late cancellation got %d %s", node, code, answer.Status)
	}
	if got := f.status(node, id); got != jobs.StatusDone {
		f.t.Errorf("node %d: went_back: done is now %s", node, got)
	}
}
