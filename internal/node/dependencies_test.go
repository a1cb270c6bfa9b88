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

// Jobs that wait for others, on a whole site: no task begins before all that its
// job depends on is done, and what is downstream of a cancelled job is cancelled, as
// every node says, through whatever else happens.

// submitChains submits chains and diamonds of jobs, each as soon as those upstream are
// accepted, and returns their IDs: the first ones, and all that wait.
func (sc *scenario) submitChains(n int) (first, downstream []string) {
	sc.t.Helper()
	for chain := range n {
		stage := sc.submitFirstStage(chain)
		first = append(first, stage...)
		for depth := range 3 {
			stage = sc.submitStage(chain, depth, stage)
			downstream = append(downstream, stage...)
		}
	}
	return first, downstream
}

// submitFirstStage submits the one or two jobs that a chain begins with.
func (sc *scenario) submitFirstStage(chain int) (ids []string) {
	sc.t.Helper()
	for i := range 1 + chain%2 {
		job := testJob(0, teamOf(chain+i), jobs.KindArray, 2)
		job.ExpectedS = 4 + float64(sc.intn(8))
		ids = append(ids, sc.submitNext(job))
	}
	return ids
}

// submitStage submits one or two jobs that depend on all of a stage, on one of it twice.
func (sc *scenario) submitStage(chain, depth int, upstream []string) (ids []string) {
	sc.t.Helper()
	for i := range 1 + (chain+depth)%2 {
		job := testJob(0, teamOf(chain+depth+i), kindOf(depth), 1+sc.intn(3))
		job.ExpectedS = 3 + float64(sc.intn(5))
		job.DependsOn = append(slices.Clone(upstream), upstream[0])
		ids = append(ids, sc.submitNext(job))
	}
	return ids
}

// runChainScenario runs a scenario with four chains of jobs under way.
func runChainScenario(t *testing.T, injectFaults func(sc *scenario, first, downstream []string)) {
	t.Helper()
	runScenario(t, nil, func(sc *scenario) {
		first, downstream := sc.submitChains(4)
		injectFaults(sc, first, downstream)
	})
}

// TestChains: all run in their order over changes of leader.
func TestChains(t *testing.T) {
	runChainScenario(t, func(sc *scenario, _, downstream []string) {
		for range 4 {
			time.Sleep(sc.duration(0, 12*time.Second))
			sc.restartLeader(sc.duration(50*time.Millisecond, 4*time.Second))
		}
		sc.checkOutcome()
		if counts := sc.countStatuses(downstream); counts[jobs.StatusDone] != len(downstream) {
			sc.t.Errorf("outcomes %v of %d", counts, len(downstream))
		}
	})
}

// TestChainsCancelled: jobs before others are cancelled, some at their very end,
// amid lost and late answers and the leader's end. What comes after each one shares
// its outcome.
func TestChainsCancelled(t *testing.T) {
	runChainScenario(t, func(sc *scenario, first, downstream []string) {
		sc.state.SetFate(sc.lostAndLateWrites)
		sc.rules.callOnDone(func(task workers.TaskID) {
			// Its tasks may all be done, and its end not be written yet.
			if slices.Contains(first, task.Job) {
				sc.after(sc.duration(0, 700*time.Millisecond), func() { sc.cancelAt(sc.intn(3), task.Job) })
			}
		})
		for i, id := range first {
			if i%2 == 0 {
				sc.after(sc.duration(0, 14*time.Second), func() { sc.cancelAndQuery(id, downstream...) })
			}
		}
		sc.after(sc.duration(0, 20*time.Second), func() { sc.cancelAndQuery(downstream[0], downstream[1]) })
		time.Sleep(sc.duration(0, 10*time.Second))
		sc.restartLeader(sc.duration(50*time.Millisecond, 3*time.Second))
		time.Sleep(30 * time.Second)
		sc.endFaults()
		sc.checkOutcome()
		sc.checkSharedCancellation()
	})
}

// lostAndLateWrites has half of the log's writes lag, so that a cancellation may overtake
// them, and one in eight of the other writes lose its answer, half of these to be
// carried out late.
func (sc *scenario) lostAndLateWrites(_ string, writes int) simulator.Fate {
	switch {
	case writes == 0:
		return simulator.Fate{}
	case writes > 2 && sc.intn(2) == 0:
		return simulator.Fate{Slow: sc.duration(300*time.Millisecond, 1300*time.Millisecond)}
	case sc.intn(8) > 0:
		return simulator.Fate{}
	case sc.intn(2) == 0:
		return simulator.Fate{Lost: true}
	}
	return simulator.Fate{Lost: true, After: sc.duration(time.Second, 8*time.Second)}
}

// cancelAndQuery cancels a job, and asks all nodes for others at once.
func (sc *scenario) cancelAndQuery(id string, others ...string) {
	sc.cancel(id)
	for _, other := range others {
		sc.queryAllNodes(other)
	}
}

// checkSharedCancellation demands that every job shares the fate of what is upstream.
func (sc *scenario) checkSharedCancellation() {
	sc.t.Helper()
	sc.users.mu.Lock()
	defer sc.users.mu.Unlock()
	withUpstream := 0
	for id, known := range sc.jobs {
		cancelled, _ := sc.upstreamCancelled(id)
		if cancelled {
			withUpstream++
		}
		if cancelled && known.status != jobs.StatusCancelled || !cancelled && !known.cancelRequested && known.status != jobs.StatusDone {
			sc.t.Errorf("%s is %s; one before it cancelled: %v", id, known.status, cancelled)
		}
	}
	sc.checkTookPlace(withUpstream > 0, "nothing was cancelled with one before it")
}

// TestChainCancelledThenOutage: a job is cancelled, and before its leader can write
// anything the state service is out for longer than cancel_s, all nodes end, and
// one comes back. What waits is called cancelled by every node as soon as it can be
// asked.
func TestChainCancelledThenOutage(t *testing.T) {
	runChainScenario(t, func(sc *scenario, first, downstream []string) {
		leader := sc.nextLeader("")
		if sc.intn(2) == 0 {
			sc.killNode(leader) // nobody leads as it is cancelled
		}
		for _, id := range first {
			if status := sc.cancel(id); !isOver(status) {
				sc.t.Errorf("%s: %q", id, status)
			}
		}
		sc.state.SetOutage(true)
		time.Sleep(sc.duration(time.Second, 5*time.Second))
		sc.killAllNodes()
		time.Sleep(sc.rules.cancelWithin)
		sc.startNode(nodeNumber(leader))
		sc.state.SetOutage(false)
		sc.waitAnswered(20*time.Second, nodeNumber(leader), downstream[0])
		for _, id := range downstream {
			sc.waitAnswered(10*time.Second, nodeNumber(leader), id)
		}
		sc.endFaults()
		sc.checkOutcome()
		sc.checkSharedCancellation()
	})
}

// waitAnswered waits until a node answers a poll.
func (sc *scenario) waitAnswered(limit time.Duration, node int, id string) {
	sc.t.Helper()
	sc.waitFor(limit, id+" answered", func() bool { code, _ := sc.poll(node, id); return code == http.StatusOK })
}

// TestWaitingHoldsNothing: a job that waits holds no part of its team's limit or
// guarantee, and rents no machine.
func TestWaitingHoldsNothing(t *testing.T) {
	runScenarioOnce(t, smallSite(), 3, nil, func(sc *scenario) {
		upstream := sc.submitNext(longJob("a", jobs.KindArray, 2, 60))
		sc.waitRunning(upstream)
		big := longJob("a", jobs.KindGang, 10, 20)
		big.DependsOn = []string{upstream}
		waiting := sc.submitNext(big)
		other := sc.submitNext(longJob("a", jobs.KindArray, 10, 5)) // fits only beside the first
		sc.waitFor(40*time.Second, "the other team mate", func() bool { return sc.knownStatus(other) == jobs.StatusDone })
		if status := sc.knownStatus(waiting); status != jobs.StatusPending {
			sc.t.Errorf("the job that waits is %s", status)
		}
		sc.waitFor(3*time.Minute, "the job that waited", func() bool { return sc.knownStatus(waiting) == jobs.StatusDone })
	})
}

// TestLongChain: a chain of hundreds, and a job with hundreds after it, are cancelled
// by one cancellation, whatever that takes of transactions.
func TestLongChain(t *testing.T) {
	runScenarioOnce(t, smallSite(), 4, nil, func(sc *scenario) {
		first := sc.submitNext(longJob("a", jobs.KindArray, 1, 300))
		last := first
		var all []string
		for n := range 150 {
			last = sc.mustSubmitAfter(1000+n, last)
			all = append(all, last, sc.mustSubmitAfter(2000+n, first))
		}
		if status := sc.cancel(first); status != jobs.StatusCancelled {
			sc.t.Fatalf("the first is %s", status)
		}
		for i := range 3 {
			if status := sc.polled(i, last); status != jobs.StatusCancelled {
				sc.t.Errorf("node %d says at once that the last of the chain is %q", i, status)
			}
		}
		sc.waitFor(sc.rules.cancelWithin, "final records", func() bool { return len(sc.state.Keys(jobs.OpenPrefix)) == 0 })
		for _, id := range all {
			if status := sc.polled(sc.intn(3), id); status != jobs.StatusCancelled {
				sc.t.Errorf("%s is %s", id, status)
			}
		}
	})
}

// mustSubmitAfter submits a one-task job that depends on others.
func (sc *scenario) mustSubmitAfter(number int, upstream ...string) (id string) {
	sc.t.Helper()
	job := testJob(number, "b", jobs.KindArray, 1)
	job.DependsOn = upstream
	if !sc.users.submit(job) {
		sc.t.Fatalf("%s was not accepted", job.ID)
	}
	return job.ID
}
