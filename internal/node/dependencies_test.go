package node

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
	"thornnotch/internal/workers"
)

// Tests of jobs with dependencies on a simulated site with faults: no task starts before all
// jobs that its job depends on are done, and every node reports all jobs downstream of a
// cancelled job as cancelled.

// submitChains submits n chains. A chain has four stages of one or two jobs. Each job depends on
// all jobs of the previous stage and is submitted as soon as they are accepted. submitChains
// returns the IDs of the jobs of the first stages and of all jobs downstream of them.
func (sc *scenario) submitChains(n int) (first, downstream []string) {
	sc.t.Helper()
	for chainIndex := range n {
		stage := sc.submitFirstStage(chainIndex)
		first = append(first, stage...)
		for depth := range 3 {
			stage = sc.submitStage(chainIndex, depth, stage)
			downstream = append(downstream, stage...)
		}
	}
	return first, downstream
}

// submitFirstStage submits the one or two jobs of a chain's first stage.
func (sc *scenario) submitFirstStage(chainIndex int) (ids []string) {
	sc.t.Helper()
	for i := range 1 + chainIndex%2 {
		job := testJob(0, alternatingTeam(chainIndex+i), jobs.KindArray, 2)
		job.ExpectedS = 4 + float64(sc.intn(8))
		ids = append(ids, sc.submitNext(job))
	}
	return ids
}

// submitStage submits one or two jobs that depend on all jobs of the previous stage and list
// one of them twice.
func (sc *scenario) submitStage(chainIndex, depth int, upstream []string) (ids []string) {
	sc.t.Helper()
	for i := range 1 + (chainIndex+depth)%2 {
		job := testJob(0, alternatingTeam(chainIndex+depth+i), alternatingKind(depth), 1+sc.intn(3))
		job.ExpectedS = 3 + float64(sc.intn(5))
		job.DependsOn = append(slices.Clone(upstream), upstream[0])
		ids = append(ids, sc.submitNext(job))
	}
	return ids
}

// runChainScenario runs a scenario in which faults are injected into four running chains.
func runChainScenario(t *testing.T, injectFaults func(sc *scenario, first, downstream []string)) {
	t.Helper()
	runScenario(t, nil, func(sc *scenario) {
		first, downstream := sc.submitChains(4)
		injectFaults(sc, first, downstream)
	})
}

// TestChainsCompleteDespiteFailovers: all jobs of the chains run in order across failovers.
func TestChainsCompleteDespiteFailovers(t *testing.T) {
	runChainScenario(t, func(sc *scenario, _, downstream []string) {
		for range 4 {
			time.Sleep(sc.randomDuration(0, 12*time.Second))
			sc.restartLeader(sc.randomDuration(50*time.Millisecond, 4*time.Second))
		}
		sc.checkOutcome()
		if counts := sc.countStatuses(downstream); counts[jobs.StatusDone] != len(downstream) {
			sc.t.Errorf("final statuses %v, want all %d downstream jobs done", counts, len(downstream))
		}
	})
}

// TestChainsWithCancelledJobs: jobs with dependents are cancelled, some just as their last
// task completes, while replies are lost or late and the leader is restarted. Jobs downstream
// of a cancelled job must be cancelled, all others done.
func TestChainsWithCancelledJobs(t *testing.T) {
	runChainScenario(t, func(sc *scenario, first, downstream []string) {
		sc.state.SetTxnFaults(sc.delayedAndLateWrites)
		sc.rules.setOnDone(func(task workers.TaskID) {
			// All tasks may be done while the job's final record is not written yet.
			if slices.Contains(first, task.Job) {
				sc.runAfter(sc.randomDuration(0, 700*time.Millisecond), func() { sc.cancelAt(sc.intn(3), task.Job) })
			}
		})
		for i, id := range first {
			if i%2 == 0 {
				sc.runAfter(sc.randomDuration(0, 14*time.Second), func() { sc.cancelAndQuery(id, downstream...) })
			}
		}
		sc.runAfter(sc.randomDuration(0, 20*time.Second), func() { sc.cancelAndQuery(downstream[0], downstream[1]) })
		time.Sleep(sc.randomDuration(0, 10*time.Second))
		sc.restartLeader(sc.randomDuration(50*time.Millisecond, 3*time.Second))
		time.Sleep(30 * time.Second)
		sc.endFaults()
		sc.checkOutcome()
		sc.checkCancellationsPropagated()
	})
}

// delayedAndLateWrites chooses the fault of a transaction. Transactions with more than two writes
// are those of the log. Half of them are delayed, so that a cancellation may overtake them. One
// in eight of all other transactions with writes loses its reply, and half of the transactions
// without a reply are applied late.
func (sc *scenario) delayedAndLateWrites(_ string, writes int) simulator.TxnFault {
	switch {
	case writes == 0:
		return simulator.TxnFault{}
	case writes > 2 && sc.intn(2) == 0:
		return simulator.TxnFault{Delay: sc.randomDuration(300*time.Millisecond, 1300*time.Millisecond)}
	case sc.intn(8) > 0:
		return simulator.TxnFault{}
	case sc.intn(2) == 0:
		return simulator.TxnFault{ReplyLost: true}
	}
	return simulator.TxnFault{ReplyLost: true, After: sc.randomDuration(time.Second, 8*time.Second)}
}

// cancelAndQuery cancels a job and then immediately queries other jobs at all nodes.
func (sc *scenario) cancelAndQuery(id string, others ...string) {
	sc.cancel(id)
	for _, other := range others {
		sc.queryAllNodes(other)
	}
}

// checkCancellationsPropagated checks that jobs with a cancelled job upstream are cancelled,
// and that all others are done unless a user asked to cancel them.
func (sc *scenario) checkCancellationsPropagated() {
	sc.t.Helper()
	sc.users.mu.Lock()
	defer sc.users.mu.Unlock()
	propagated := 0
	for id, known := range sc.jobs {
		hasCancelledUpstream, _ := sc.upstreamCancelled(id)
		if hasCancelledUpstream {
			propagated++
		}
		if hasCancelledUpstream && known.status != jobs.StatusCancelled || !hasCancelledUpstream && !known.cancelRequested && known.status != jobs.StatusDone {
			sc.t.Errorf("%s has the wrong final status %s; upstream job cancelled: %v", id, known.status, hasCancelledUpstream)
		}
	}
	sc.checkFaultsOccurred(propagated > 0, "no job is downstream of a cancelled one")
}

// TestChainCancelledThenOutage: after jobs are cancelled, the state service is down for longer
// than cancel_s before the leader can record anything, all nodes crash, and one starts again.
// Each node must report the waiting dependents as cancelled from its first response on.
func TestChainCancelledThenOutage(t *testing.T) {
	runChainScenario(t, func(sc *scenario, first, downstream []string) {
		leader := sc.awaitLeader("")
		if sc.intn(2) == 0 {
			sc.killNode(leader) // the jobs are cancelled while there is no leader
		}
		for _, id := range first {
			if status := sc.cancel(id); !isFinal(status) {
				sc.t.Errorf("cancelling %s returned status %q, want a final one", id, status)
			}
		}
		sc.state.SetOutage(true)
		time.Sleep(sc.randomDuration(time.Second, 5*time.Second))
		sc.killAllNodes()
		time.Sleep(sc.rules.cancelWithin)
		sc.startNode(nodeNumber(leader))
		sc.state.SetOutage(false)
		sc.waitForAnswer(20*time.Second, nodeNumber(leader), downstream[0])
		for _, id := range downstream {
			sc.waitForAnswer(10*time.Second, nodeNumber(leader), id)
		}
		sc.endFaults()
		sc.checkOutcome()
		sc.checkCancellationsPropagated()
	})
}

// waitForAnswer waits until a node answers a status query with 200.
func (sc *scenario) waitForAnswer(limit time.Duration, node int, id string) {
	sc.t.Helper()
	sc.waitFor(limit, id+" to be answered", func() bool { code, _ := sc.queryStatus(node, id); return code == http.StatusOK })
}

// TestWaitingJobReservesNothing: a job that waits for its dependencies uses none of its
// team's quota or guarantee, and no machine is rented for it. Another job of the team, which
// exceeds the quota together with the waiting one, must complete first.
func TestWaitingJobReservesNothing(t *testing.T) {
	runScenarioOnce(t, smallSiteOptions(), 3, nil, func(sc *scenario) {
		upstreamID := sc.submitNext(longJob("a", jobs.KindArray, 2, 60))
		sc.waitAllTasksRunning(upstreamID)
		dependent := longJob("a", jobs.KindGang, 10, 20)
		dependent.DependsOn = []string{upstreamID}
		waitingID := sc.submitNext(dependent)
		otherID := sc.submitNext(longJob("a", jobs.KindArray, 10, 5)) // exceeds the quota together with the waiting job
		sc.waitFor(40*time.Second, "the team's other job done", func() bool { return sc.knownStatus(otherID) == jobs.StatusDone })
		if status := sc.knownStatus(waitingID); status != jobs.StatusPending {
			sc.t.Errorf("the waiting job is %s, want pending", status)
		}
		sc.waitFor(3*time.Minute, "the waiting job done", func() bool { return sc.knownStatus(waitingID) == jobs.StatusDone })
	})
}

// TestCancelLongChain: cancelling one job cancels a chain of 150 jobs and 150 direct
// dependents, even though this takes many transactions.
func TestCancelLongChain(t *testing.T) {
	runScenarioOnce(t, smallSiteOptions(), 4, nil, func(sc *scenario) {
		first := sc.submitNext(longJob("a", jobs.KindArray, 1, 300))
		last := first
		var dependents []string
		for n := range 150 {
			last = sc.mustSubmitDependentJob(1000+n, last)
			dependents = append(dependents, last, sc.mustSubmitDependentJob(2000+n, first))
		}
		if status := sc.cancel(first); status != jobs.StatusCancelled {
			sc.t.Fatalf("the first job is %s after its cancellation, want aborted", status)
		}
		for i := range 3 {
			if status := sc.jobStatusAt(i, last); status != jobs.StatusCancelled {
				sc.t.Errorf("node %d reports the last job of the chain as %q right after the cancellation, want aborted", i, status)
			}
		}
		sc.waitFor(sc.rules.cancelWithin, "final records of all jobs", func() bool { return len(sc.state.Keys(jobs.OpenPrefix)) == 0 })
		for _, id := range dependents {
			if status := sc.jobStatusAt(sc.intn(3), id); status != jobs.StatusCancelled {
				sc.t.Errorf("%s is %s, want aborted", id, status)
			}
		}
	})
}

// mustSubmitDependentJob submits a one-task job that depends on the given jobs. It fails the
// test if the job is not accepted.
func (sc *scenario) mustSubmitDependentJob(number int, upstream ...string) (id string) {
	sc.t.Helper()
	job := testJob(number, "b", jobs.KindArray, 1)
	job.DependsOn = upstream
	if !sc.users.submit(job) {
		sc.t.Fatalf("%s was not accepted", job.ID)
	}
	return job.ID
}
