package node

import (
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
)

// Tests of leader failovers combined with other faults.

// TestCombinedFailoverUnreachableMachines: the leader is killed while two machines with long
// tasks are unreachable. One is cut off in both directions. Heartbeats of the other one arrive,
// but replies and direct commands do not reach it. Guards against a new leader that starts a task
// again while an unreachable machine may still run it.
func TestCombinedFailoverUnreachableMachines(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		array := sc.submitNext(longJob("a", jobs.KindArray, 6, 60))
		gang := sc.submitNext(longJob("b", jobs.KindGang, 3, 60))
		sc.waitAllTasksRunning(array, gang)
		sc.isolateMachines(sc.runningMachinesOf(array)[0])
		unreachableMachine := sc.runningMachinesOf(gang)[0]
		sc.runAfter(sc.randomDuration(0, time.Second), func() { sc.worker(unreachableMachine).BlockIncoming(true) })
		oldLeader := sc.leader()
		time.Sleep(sc.randomDuration(0, 2*time.Second))
		sc.restartNode(oldLeader, sc.randomDuration(50*time.Millisecond, 4*time.Second))
		sc.awaitLeader("")
		time.Sleep(sc.randomDuration(2*time.Second, 25*time.Second))
		sc.checkFaultsOccurred(len(sc.runningMachinesOf(array)) > 0, "no task of the long array is running")
	})
}

// TestCombinedRepeatedFailovers: the leader is restarted several times in a row. Then all
// nodes are killed and one of them starts again within a second. All jobs must still get a final
// status.
func TestCombinedRepeatedFailovers(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.submitNext(longJob("a", jobs.KindArray, 5, 50))
		sc.submitNext(longJob("b", jobs.KindGang, 3, 40))
		kills := 0
		for range 3 {
			sc.restartLeader(sc.randomDuration(20*time.Millisecond, 3*time.Second))
			kills++
			time.Sleep(sc.randomDuration(0, 4*time.Second))
			sc.submitNext(testJob(0, "a", jobs.KindArray, 2))
		}
		kills += len(sc.nodes)
		sc.killAllNodes()
		time.Sleep(sc.randomDuration(20*time.Millisecond, 900*time.Millisecond))
		sc.startNode(sc.intn(3))
		time.Sleep(sc.randomDuration(time.Second, 8*time.Second))
		sc.checkFaultsOccurred(kills == 6, "%d nodes were killed", kills)
	})
}

// TestCombinedFailoversDuringOutage: the leader, or another node if none leads, is restarted
// ten times within two minutes, partly during an outage of the state service. Guards against a
// leader that assumes that the tasks of a silent machine have stopped although an earlier leader
// may have renewed the machine's lease.
func TestCombinedFailoversDuringOutage(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.submitNext(longJob("a", jobs.KindArray, 5, 100))
		sc.submitNext(longJob("b", jobs.KindGang, 3, 70))
		startedAt, restarts := time.Now(), 0
		for n := range 10 {
			if n == 4 {
				sc.state.SetOutage(true)
			}
			name := sc.leader()
			if name == "" {
				name = nodeName(n % 3)
			}
			if sc.nodes[name] != nil {
				sc.restartNode(name, sc.randomDuration(50*time.Millisecond, 2*time.Second))
				restarts++
			}
			time.Sleep(sc.randomDuration(time.Second, 8*time.Second))
			if n == 6 {
				sc.state.SetOutage(false)
				sc.submitNext(testJob(0, "a", jobs.KindArray, 2))
			}
		}
		sc.checkFaultsOccurred(restarts == 10 && time.Since(startedAt) < 2*time.Minute, "%d restarts in %v", restarts, time.Since(startedAt))
	})
}

// TestCombinedStaggeredCompletions: the tasks of a job complete 18 s apart, with failovers
// in between. Guards against a new leader that runs a completed task again.
func TestCombinedStaggeredCompletions(t *testing.T) {
	staggerTaskDurations := func(s *site) {
		s.taskDuration = func(job *jobs.Spec, index int) time.Duration {
			if job.Kind == jobs.KindGang {
				index = 0 // a gang's tasks complete together
			}
			return time.Duration(job.ExpectedS*float64(time.Second)) + time.Duration(index)*18*time.Second
		}
	}
	runScenario(t, staggerTaskDurations, func(sc *scenario) {
		var ids []string
		for n := range 4 {
			job := testJob(0, alternatingTeam(n), jobs.KindArray, 2+n%2)
			job.ExpectedS = 4
			ids = append(ids, sc.submitNext(job))
		}
		sc.waitAllTasksRunning(ids[0])
		sc.state.SetTxnFaults(sc.delayedWrites(600*time.Millisecond, 1300*time.Millisecond))
		completed := 0
		for range 3 {
			before := sc.countCompletedTasks(ids)
			sc.waitFor(40*time.Second, "a task to complete", func() bool { return sc.countCompletedTasks(ids) > before })
			completed = sc.countCompletedTasks(ids)
			time.Sleep(sc.randomDuration(0, time.Second))
			sc.restartLeader(sc.randomDuration(100*time.Millisecond, 4*time.Second))
			sc.awaitLeader("")
		}
		sc.state.SetTxnFaults(nil)
		sc.checkFaultsOccurred(completed > 0 && completed < 10, "%d tasks had completed before the last failover", completed)
		time.Sleep(60 * time.Second)
		for task, completions := range sc.rules.completionCounts() {
			if slices.Contains(ids, task.Job) && completions != 1 {
				sc.t.Errorf("task %v completed %d times", task, completions)
			}
		}
	})
}

// delayedWrites returns a fault function that delays every write by a random time. A leader
// can then crash after it received a heartbeat and before the task's record is written.
func (sc *scenario) delayedWrites(minDelay, maxDelay time.Duration) func(node string, writes int) simulator.TxnFault {
	return func(_ string, writes int) simulator.TxnFault {
		if writes == 0 {
			return simulator.TxnFault{}
		}
		return simulator.TxnFault{Delay: sc.randomDuration(minDelay, maxDelay)}
	}
}

// countCompletedTasks returns the number of tasks of these jobs that have completed.
func (sc *scenario) countCompletedTasks(ids []string) (count int) {
	for task := range sc.rules.completionCounts() {
		if slices.Contains(ids, task.Job) {
			count++
		}
	}
	return count
}

// TestCombinedAllNodesDownPastLease: all nodes are down for longer than lease_s, so that the
// machines must kill their tasks. A job is cancelled shortly before or during the downtime.
func TestCombinedAllNodesDownPastLease(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		id := sc.submitNext(longJob("a", jobs.KindArray, 6, 30))
		sc.waitAllTasksRunning(id)
		sc.runAfter(sc.randomDuration(0, 2*time.Second), func() { sc.cancelAt(sc.intn(3), id) })
		time.Sleep(sc.randomDuration(0, 2*time.Second))
		sc.killAllNodes()
		time.Sleep(sc.randomDuration(13*time.Second, 40*time.Second))
		running := len(sc.rules.runningTasks())
		sc.checkFaultsOccurred(running == 0, "%d tasks are running after their leases expired", running)
		for _, i := range []int{1, 2, 0} {
			sc.startNode(i)
			time.Sleep(sc.randomDuration(0, time.Second))
		}
	})
}

// TestCombinedIsolatedLeader: the leader is cut off from the state service and the other
// nodes while workers and users still reach it, and jobs are cancelled through the new
// leader. Guards against a deposed leader that lets the tasks of these jobs run on or still
// writes records.
func TestCombinedIsolatedLeader(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		var ids []string
		for n := range 4 {
			ids = append(ids, sc.submitNext(longJob(alternatingTeam(n), jobs.KindArray, 3, 120)))
		}
		sc.waitAllTasksRunning(ids...)
		oldLeader := sc.awaitLeader("")
		sc.isolateNode(oldLeader)
		newLeader := nodeNumber(sc.awaitLeader(oldLeader))
		for _, id := range ids {
			sc.runAfter(sc.randomDuration(0, 15*time.Second), func() {
				sc.cancelAtUntilConfirmed(newLeader, id, 200*time.Millisecond)
				sc.queryAllNodes(id)
			})
		}
		time.Sleep(sc.randomDuration(10*time.Second, 40*time.Second))
		sc.healPartitions()
		sc.sleepPastCancelDeadline()
		sc.checkCancelsConfirmed(ids...)
	})
}
