package node

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
	"thornnotch/internal/workers"
)

// Tests of state service faults combined with other faults.

// refusalOutageRun is one run of TestCombinedSlowStateRefusalOutage.
type refusalOutageRun struct {
	*scenario
	seed          uint64
	jobIDs        []string
	cancelledJobs []string // cancelled between refusal and outage
	leader        string   // the node that the state service refuses
	otherNodes    []int
	outageDelay   time.Duration // time from refusal to outage
	refusedAt     time.Time
}

// TestCombinedSlowStateRefusalOutage: the state service replies slowly, then refuses only
// the leader, and then is down for everyone for longer than cancel_s, while users cancel and
// query jobs. Between refusal and outage, other nodes confirm cancellations that the leader
// can't read ("The gap" in docs/design.md). The tasks of these jobs must still stop within
// cancel_s.
func TestCombinedSlowStateRefusalOutage(t *testing.T) {
	// The longer delays leave time to elect a new leader before the outage.
	for seed, outageDelay := range []time.Duration{
		300 * time.Millisecond, time.Second, 2 * time.Second, 2600 * time.Millisecond,
		3 * time.Second, 3500 * time.Millisecond, 5 * time.Second, 8 * time.Second,
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenarioOnce(t, smallSiteOptions(), uint64(seed), nil, func(sc *scenario) {
				run := &refusalOutageRun{scenario: sc, seed: uint64(seed), outageDelay: outageDelay}
				run.submitLongJobs()
				delayed := run.delayStateReplies()
				run.refuseLeader()
				run.cancelThroughOtherNodes()
				time.Sleep(outageDelay)
				sc.state.SetOutage(true)
				confirmed := sc.countStatuses(run.cancelledJobs)[jobs.StatusCancelled]
				run.restartNodesDuringOutage()
				time.Sleep(sc.rules.cancelWithin + sc.randomDuration(4*time.Second, 20*time.Second) - time.Since(run.refusedAt) + outageDelay)
				sc.rules.checkCancelDeadlines()
				sc.checkFaultsOccurred(confirmed > 0 || outageDelay < time.Second || delayed, "no cancellation was confirmed before the outage")
				sc.checkFaultsOccurred(sc.state.CountFaults().Refused > 0, "the state service refused no request")
				run.endOutage()
			})
		})
	}
}

// submitLongJobs starts five jobs, the first four of which are to be cancelled.
func (r *refusalOutageRun) submitLongJobs() {
	r.t.Helper()
	for n := range 5 {
		r.jobIDs = append(r.jobIDs, r.submitNext(longJob(alternatingTeam(n), alternatingKind(n/3), 3, 200)))
	}
	r.waitAllTasksRunning(r.jobIDs...)
	r.cancelledJobs = r.jobIDs[:4]
}

// delayStateReplies makes the state service slow if the seed is odd, and reports whether it did.
func (r *refusalOutageRun) delayStateReplies() (delayed bool) {
	if r.seed%2 == 0 {
		return false
	}
	r.state.SetTxnFaults(func(string, int) simulator.TxnFault {
		return simulator.TxnFault{Delay: r.randomDuration(0, 900*time.Millisecond)}
	})
	time.Sleep(3 * time.Second)
	return true
}

// refuseLeader makes the state service refuse the leader and no other node.
func (r *refusalOutageRun) refuseLeader() {
	r.t.Helper()
	r.leader = r.awaitLeader("")
	r.otherNodes = []int{(nodeNumber(r.leader) + 1) % 3, (nodeNumber(r.leader) + 2) % 3}
	r.state.RefuseHost(r.leader, true)
	r.refusedAt = time.Now()
}

// cancelThroughOtherNodes cancels jobs through the other nodes before the outage. One machine
// of the last job hangs until after the outage has started.
func (r *refusalOutageRun) cancelThroughOtherNodes() {
	for i, id := range r.cancelledJobs {
		r.runAfter(r.randomDuration(0, r.outageDelay), func() {
			r.cancelAtUntilConfirmed(r.otherNodes[i%2], id, 50*time.Millisecond)
		})
	}
	hungWorker := r.worker(r.runningMachinesOf(r.cancelledJobs[3])[0])
	r.runAfter(r.randomDuration(0, r.outageDelay), func() { hungWorker.SetHanging(true) })
	r.runAfter(r.outageDelay+r.randomDuration(5*time.Second, 30*time.Second), func() { hungWorker.SetHanging(false) })
}

// restartNodesDuringOutage restarts no node, the leader, or the nodes that confirmed
// cancellations, depending on the seed. In the last case no process can attest to these
// cancellations any longer.
func (r *refusalOutageRun) restartNodesDuringOutage() {
	switch r.seed % 4 {
	case 2:
		time.Sleep(r.randomDuration(0, 10*time.Second))
		r.restartNode(r.leader, r.randomDuration(100*time.Millisecond, 3*time.Second))
	case 1, 3:
		r.killNode(nodeName(r.otherNodes[0]))
		r.killNode(nodeName(r.otherNodes[1]))
		time.Sleep(r.randomDuration(100*time.Millisecond, 5*time.Second))
		r.startNode(r.otherNodes[0])
		r.startNode(r.otherNodes[1])
	}
}

// endOutage ends all faults of the state service and cancels all jobs.
func (r *refusalOutageRun) endOutage() {
	r.state.SetOutage(false)
	r.state.RefuseHost(r.leader, false)
	r.state.SetTxnFaults(nil)
	time.Sleep(3 * time.Second)
	r.cancelAll(r.jobIDs)
}

// TestTasksKeepRunningDuringOutage: the state service is down for much longer than a worker's
// lease, and for much longer than the leader alone could go on renewing leases: another node may
// have confirmed a cancellation that the leader can't read. The leader goes on because all nodes
// attest which cancellations they have confirmed. Running tasks must continue, and none may be
// restarted.
func TestTasksKeepRunningDuringOutage(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		ids := []string{sc.submitNext(longJob("a", jobs.KindArray, 5, 150)), sc.submitNext(longJob("b", jobs.KindGang, 3, 150))}
		sc.waitAllTasksRunning(ids...)
		startsBefore := sc.rules.startCount()
		sc.state.SetOutage(true)
		time.Sleep(sc.randomDuration(60*time.Second, 100*time.Second))
		for _, id := range ids {
			if len(sc.runningMachinesOf(id)) == 0 {
				sc.t.Errorf("%s lost its tasks during the outage", id)
			}
		}
		if starts := sc.rules.startCount(); starts != startsBefore {
			sc.t.Errorf("%d tasks started during the outage", starts-startsBefore)
		}
		sc.state.SetOutage(false)
	})
}

// TestCombinedLateWrites: one in four transactions with writes loses its reply and is applied
// late, after newer ones of the same node. Guards against late writes that undo newer ones.
func TestCombinedLateWrites(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		losesReply := sc.oneInEvery(4)
		sc.state.SetTxnFaults(func(_ string, writes int) simulator.TxnFault {
			if losesReply(writes) {
				return simulator.TxnFault{ReplyLost: true, After: sc.randomDuration(200*time.Millisecond, 12*time.Second)}
			}
			return simulator.TxnFault{}
		})
		sc.runJobsWithLostReplies()
		time.Sleep(13 * time.Second)
		counts := sc.state.CountFaults()
		sc.checkFaultsOccurred(counts.LateApplied+counts.LateRejected > 10, "%+v", counts)
	})
}

// TestCombinedLostStateReplies: all transactions are applied at once, but one in three with
// writes loses its reply, while other nodes read what was written. Guards against a node that
// assumes that a transaction without a reply was not applied.
func TestCombinedLostStateReplies(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		losesReply := sc.oneInEvery(3)
		sc.state.SetTxnFaults(func(_ string, writes int) simulator.TxnFault {
			return simulator.TxnFault{ReplyLost: losesReply(writes)}
		})
		sc.runJobsWithLostReplies()
		counts := sc.state.CountFaults()
		sc.checkFaultsOccurred(counts.ReplyLost > 10, "%+v", counts)
	})
}

// runJobsWithLostReplies submits jobs, cancels some of them, partly just as a task completes,
// queries them at all nodes and restarts the leader, while transactions lose their replies.
func (sc *scenario) runJobsWithLostReplies() {
	sc.t.Helper()
	sc.rules.setOnDone(func(task workers.TaskID) {
		sc.users.goroutines.Go(func() {
			if sc.intn(3) == 0 {
				sc.cancelAt(sc.intn(3), task.Job)
			}
			sc.queryAllNodes(task.Job)
		})
	})
	for n := range 10 {
		job := testJob(0, alternatingTeam(n), mostlyArrayKind(n), 2)
		job.ExpectedS = 6
		id := sc.submitNext(job)
		sc.users.goroutines.Go(func() { sc.queryAllNodes(id) })
		if n%3 == 0 {
			sc.runAfter(sc.randomDuration(0, 10*time.Second), func() { sc.cancel(id); sc.queryAllNodes(id) })
		}
		if n == 5 {
			sc.restartLeader(sc.randomDuration(100*time.Millisecond, 3*time.Second))
		}
		time.Sleep(sc.randomDuration(0, 3*time.Second))
	}
	time.Sleep(15 * time.Second)
}
