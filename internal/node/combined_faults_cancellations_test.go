package node

import (
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// Cancellations that meet with another fault.

// fillQuotas fills both teams up to their limits with long tasks: three jobs of team a,
// two of team b. More jobs wait for room.
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
	sc.waitRunning(ids...)
	for n := range 4 {
		sc.submitNext(testJob(0, teamOf(n), jobs.KindArray, 4))
	}
	return ids
}

// hangFor has a machine stand still from now on for a while.
func (sc *scenario) hangFor(machine string, duration time.Duration) {
	sc.worker(machine).SetHanging(true)
	sc.after(duration, func() { sc.worker(machine).SetHanging(false) })
}

// cancelAfter has a user cancel a job after a while.
func (sc *scenario) cancelAfter(wait time.Duration, id string) {
	sc.after(wait, func() { sc.cancel(id) })
}

// TestCombinedLimitCancelHang: every team is at its limit while jobs are cancelled
// whose machines are cut off or hang, and the leader changes.
func TestCombinedLimitCancelHang(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		ids := sc.fillQuotas()
		first, last := ids[0], ids[4]
		for _, name := range slices.Compact(append(sc.machinesOf(first), sc.machinesOf(last)...)) {
			if sc.intn(2) == 0 {
				sc.isolateMachines(name)
			} else {
				sc.hangFor(name, sc.duration(3*time.Second, 30*time.Second))
			}
		}
		sc.cancelAfter(sc.duration(0, 3*time.Second), first)
		sc.cancelAfter(sc.duration(0, 3*time.Second), last)
		time.Sleep(sc.duration(0, 4*time.Second))
		sc.restartLeader(sc.duration(100*time.Millisecond, 3*time.Second))
		sc.waitCancelledGone()
		sc.checkCancelled(first, last)
		sc.cancelAll(ids)
	})
}

// TestCombinedLimitLeaderChangesCancel: a team is at its limit when the leader
// changes, some of its machines can't be asked, and a cancellation falls into
// that spell.
func TestCombinedLimitLeaderChangesCancel(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		ids := sc.fillQuotas()
		ofTeamA, ofTeamB := ids[2], ids[3]
		for i, name := range slices.Compact(append(sc.machinesOf(ofTeamA), sc.machinesOf(ofTeamB)...)) {
			switch i % 3 {
			case 0:
				sc.isolateMachines(name)
			case 1:
				sc.worker(name).CutOutgoing(true)
			default:
				sc.worker(name).CutIncoming(true)
			}
		}
		old := sc.nextLeader("")
		sc.killNode(old)
		sc.cancelAfter(sc.duration(0, 4*time.Second), ofTeamA)
		sc.cancelAfter(sc.duration(0, 9*time.Second), ofTeamB)
		time.Sleep(sc.duration(100*time.Millisecond, 4*time.Second))
		sc.startNode(nodeNumber(old))
		sc.nextLeader("")
		sc.waitCancelledGone()
		sc.checkCancelled(ofTeamA, ofTeamB)
		sc.cancelAll(ids)
	})
}

// TestCombinedCancelWhileHandingOver: jobs are cancelled in the seconds in which one
// controller's work changes hands.
func TestCombinedCancelWhileHandingOver(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		var ids []string
		for n := range 6 {
			ids = append(ids, sc.submitNext(longJob(teamOf(n), kindOf(n/4), 2, 120)))
		}
		sc.waitRunning(ids[0])
		old := sc.nextLeader("")
		for _, id := range ids {
			sc.after(sc.duration(0, 6*time.Second), func() { sc.cancel(id); sc.queryAllNodes(id) })
		}
		time.Sleep(sc.duration(0, time.Second))
		sc.killNode(old)
		time.Sleep(sc.duration(50*time.Millisecond, 5*time.Second))
		sc.startNode(nodeNumber(old))
		sc.nextLeader("")
		sc.waitCancelledGone()
		sc.checkCancelled(ids...)
	})
}

// TestCombinedCancelAtTheEnd: a cancellation, a question or a repeated submission
// meets the end of a job's last task.
func TestCombinedCancelAtTheEnd(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.rules.callOnDone(func(task workers.TaskID) {
			sc.users.goroutines.Go(func() {
				sc.pause(sc.duration(0, 700*time.Millisecond))
				if sc.intn(3) > 0 {
					sc.cancel(task.Job)
				}
				sc.queryAllNodes(task.Job)
			})
		})
		var ids []string
		for n := range 12 {
			job := testJob(0, teamOf(n), kindOf(n), 1+n%3)
			job.ExpectedS = 4 + float64(n)
			ids = append(ids, sc.submitNext(job))
		}
		time.Sleep(50 * time.Second)
		outcomes := sc.countStatuses(ids)
		sc.checkTookPlace(outcomes[jobs.StatusDone] > 0 && outcomes[jobs.StatusCancelled] > 0, "outcomes %v", outcomes)
	})
}

// TestCombinedCommandHeldUp: a command or its answer is held up for seconds, and the
// machine then goes on.
func TestCombinedCommandHeldUp(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		var ids []string
		for n := range 4 {
			ids = append(ids, sc.submitNext(longJob(teamOf(n), kindOf(n/2), 3, 90)))
		}
		hung := 0
		for _, id := range ids {
			sc.waitRunning(id)
			sc.hangFor(sc.machinesOf(id)[0], sc.duration(time.Second, 16*time.Second))
			hung++
			sc.cancelAfter(sc.duration(0, 3*time.Second), id)
		}
		for n := range 4 {
			sc.submitNext(testJob(0, teamOf(n), jobs.KindArray, 3))
		}
		if sc.intn(2) == 0 {
			sc.restartLeader(sc.duration(100*time.Millisecond, 3*time.Second))
		}
		sc.waitCancelledGone()
		sc.checkTookPlace(hung == 4, "%d machines hung", hung)
	})
}
