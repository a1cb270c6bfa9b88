package node

import (
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// Tests of cancellations combined with faults.

// fillQuotas cancels all jobs of the scenario and starts long ones that use up the quota of both
// teams, three of team a and two of team b. It returns their IDs. It then submits more jobs,
// which have to wait.
func (sc *scenario) fillQuotas() (ids []string) {
	sc.t.Helper()
	sc.cancelAll(sc.ids)
	ids = append(ids,
		sc.submitNext(longJob("a", jobs.KindArray, 4, 300)),
		sc.submitNext(longJob("a", jobs.KindGang, 4, 300)),
		sc.submitNext(longJob("a", jobs.KindArray, 4, 300)),
		sc.submitNext(longJob("b", jobs.KindArray, 4, 300)),
		sc.submitNext(longJob("b", jobs.KindGang, 4, 300)),
	)
	sc.waitAllTasksRunning(ids...)
	for n := range 4 {
		sc.submitNext(testJob(0, alternatingTeam(n), jobs.KindArray, 4))
	}
	return ids
}

// hangMachine makes a machine's worker hang for the duration, starting now.
func (sc *scenario) hangMachine(machine string, duration time.Duration) {
	sc.worker(machine).SetHanging(true)
	sc.runAfter(duration, func() { sc.worker(machine).SetHanging(false) })
}

// cancelAfter cancels a job after a delay, without blocking.
func (sc *scenario) cancelAfter(wait time.Duration, id string) {
	sc.runAfter(wait, func() { sc.cancel(id) })
}

// TestCombinedFullQuotaUnreachableMachines: both teams use up their quota. Two running jobs
// are cancelled while their machines are unreachable or hang, and the leader is restarted.
// Guards against a leader that no longer counts the tasks of cancelled jobs toward the quota
// while they may still run.
func TestCombinedFullQuotaUnreachableMachines(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		ids := sc.fillQuotas()
		jobA, jobB := ids[0], ids[4]
		for _, name := range slices.Compact(append(sc.runningMachinesOf(jobA), sc.runningMachinesOf(jobB)...)) {
			if sc.intn(2) == 0 {
				sc.isolateMachines(name)
			} else {
				sc.hangMachine(name, sc.randomDuration(3*time.Second, 30*time.Second))
			}
		}
		sc.cancelAfter(sc.randomDuration(0, 3*time.Second), jobA)
		sc.cancelAfter(sc.randomDuration(0, 3*time.Second), jobB)
		time.Sleep(sc.randomDuration(0, 4*time.Second))
		sc.restartLeader(sc.randomDuration(100*time.Millisecond, 3*time.Second))
		sc.sleepPastCancelDeadline()
		sc.checkCancelsConfirmed(jobA, jobB)
		sc.cancelAll(ids)
	})
}

// TestCombinedFullQuotaFailover: both teams use up their quota when the leader is killed.
// Machines of two running jobs are cut off, partly in one direction only, and the jobs are
// cancelled during or after the failover. Guards against a new leader that does not count the
// tasks of these jobs toward the quota while they may still run.
func TestCombinedFullQuotaFailover(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		ids := sc.fillQuotas()
		jobA, jobB := ids[2], ids[3]
		for i, name := range slices.Compact(append(sc.runningMachinesOf(jobA), sc.runningMachinesOf(jobB)...)) {
			switch i % 3 {
			case 0:
				sc.isolateMachines(name)
			case 1:
				sc.worker(name).BlockOutgoing(true)
			default:
				sc.worker(name).BlockIncoming(true)
			}
		}
		oldLeader := sc.awaitLeader("")
		sc.killNode(oldLeader)
		sc.cancelAfter(sc.randomDuration(0, 4*time.Second), jobA)
		sc.cancelAfter(sc.randomDuration(0, 9*time.Second), jobB)
		time.Sleep(sc.randomDuration(100*time.Millisecond, 4*time.Second))
		sc.startNode(nodeNumber(oldLeader))
		sc.awaitLeader("")
		sc.sleepPastCancelDeadline()
		sc.checkCancelsConfirmed(jobA, jobB)
		sc.cancelAll(ids)
	})
}

// TestCombinedCancelDuringFailover: jobs are cancelled in the seconds around the leader's
// crash and the election of the next one. Guards against a new leader that misses a
// cancellation recorded while it reads the open jobs.
func TestCombinedCancelDuringFailover(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		var ids []string
		for n := range 6 {
			ids = append(ids, sc.submitNext(longJob(alternatingTeam(n), alternatingKind(n/4), 2, 120)))
		}
		sc.waitAllTasksRunning(ids[0])
		oldLeader := sc.awaitLeader("")
		for _, id := range ids {
			sc.runAfter(sc.randomDuration(0, 6*time.Second), func() { sc.cancel(id); sc.queryAllNodes(id) })
		}
		time.Sleep(sc.randomDuration(0, time.Second))
		sc.killNode(oldLeader)
		time.Sleep(sc.randomDuration(50*time.Millisecond, 5*time.Second))
		sc.startNode(nodeNumber(oldLeader))
		sc.awaitLeader("")
		sc.sleepPastCancelDeadline()
		sc.checkCancelsConfirmed(ids...)
	})
}

// TestCombinedCancelAtCompletion: cancellations, status queries and repeated submissions
// arrive just as a job's last task completes. Guards against a job that is reported as
// cancelled and later as done, or the other way round.
func TestCombinedCancelAtCompletion(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.rules.setOnDone(func(task workers.TaskID) {
			sc.users.goroutines.Go(func() {
				sc.pause(sc.randomDuration(0, 700*time.Millisecond))
				if sc.intn(3) > 0 {
					sc.cancel(task.Job)
				}
				sc.queryAllNodes(task.Job)
			})
		})
		var ids []string
		for n := range 12 {
			job := testJob(0, alternatingTeam(n), alternatingKind(n), 1+n%3)
			job.ExpectedS = 4 + float64(n)
			ids = append(ids, sc.submitNext(job))
		}
		time.Sleep(50 * time.Second)
		statusCounts := sc.countStatuses(ids)
		sc.checkFaultsOccurred(statusCounts[jobs.StatusDone] > 0 && statusCounts[jobs.StatusCancelled] > 0, "final statuses %v", statusCounts)
	})
}

// TestCombinedDelayedCommands: machines hang for seconds, so that commands to them or their
// replies are delayed, and then resume. Jobs that run there are cancelled meanwhile, and their
// tasks must stop within cancel_s.
func TestCombinedDelayedCommands(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		var ids []string
		for n := range 4 {
			ids = append(ids, sc.submitNext(longJob(alternatingTeam(n), alternatingKind(n/2), 3, 90)))
		}
		hungMachines := 0
		for _, id := range ids {
			sc.waitAllTasksRunning(id)
			sc.hangMachine(sc.runningMachinesOf(id)[0], sc.randomDuration(time.Second, 16*time.Second))
			hungMachines++
			sc.cancelAfter(sc.randomDuration(0, 3*time.Second), id)
		}
		for n := range 4 {
			sc.submitNext(testJob(0, alternatingTeam(n), jobs.KindArray, 3))
		}
		if sc.intn(2) == 0 {
			sc.restartLeader(sc.randomDuration(100*time.Millisecond, 3*time.Second))
		}
		sc.sleepPastCancelDeadline()
		sc.checkFaultsOccurred(hungMachines == 4, "%d machines hung", hungMachines)
	})
}
