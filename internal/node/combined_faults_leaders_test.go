package node

import (
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
)

// Changes of the leader that meet with another fault.

// TestCombinedLeaderEndsMachinesAway: a leader ends while machines with long tasks
// can't be reached, or don't hear the new leader's answers.
func TestCombinedLeaderEndsMachinesAway(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		array := sc.submitNext(longJob("a", jobs.KindArray, 6, 60))
		gang := sc.submitNext(longJob("b", jobs.KindGang, 3, 60))
		sc.waitRunning(array, gang)
		sc.isolateMachines(sc.machinesOf(array)[0])
		deaf := sc.machinesOf(gang)[0]
		sc.after(sc.duration(0, time.Second), func() { sc.worker(deaf).CutIncoming(true) })
		old := sc.leader()
		time.Sleep(sc.duration(0, 2*time.Second))
		sc.restartNode(old, sc.duration(50*time.Millisecond, 4*time.Second))
		sc.nextLeader("")
		time.Sleep(sc.duration(2*time.Second, 25*time.Second))
		sc.checkTookPlace(len(sc.machinesOf(array)) > 0, "no long task runs")
	})
}

// TestCombinedHandOverAndBack: controllers hand over and back, all end, and one
// returns, also within a second.
func TestCombinedHandOverAndBack(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.submitNext(longJob("a", jobs.KindArray, 5, 50))
		sc.submitNext(longJob("b", jobs.KindGang, 3, 40))
		ends := 0
		for range 3 {
			sc.restartLeader(sc.duration(20*time.Millisecond, 3*time.Second))
			ends++
			time.Sleep(sc.duration(0, 4*time.Second))
			sc.submitNext(testJob(0, "a", jobs.KindArray, 2))
		}
		ends += len(sc.nodes)
		sc.killAllNodes()
		time.Sleep(sc.duration(20*time.Millisecond, 900*time.Millisecond))
		sc.startNode(sc.intn(3))
		time.Sleep(sc.duration(time.Second, 8*time.Second))
		sc.checkTookPlace(ends == 6, "%d ends", ends)
	})
}

// TestCombinedLeadersChangeAndOutage: leaders change ten times in two minutes, also
// inside an outage.
func TestCombinedLeadersChangeAndOutage(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.submitNext(longJob("a", jobs.KindArray, 5, 100))
		sc.submitNext(longJob("b", jobs.KindGang, 3, 70))
		begun, changes := time.Now(), 0
		for n := range 10 {
			if n == 4 {
				sc.state.SetOutage(true)
			}
			name := sc.leader()
			if name == "" {
				name = nodeName(n % 3)
			}
			if sc.nodes[name] != nil {
				sc.restartNode(name, sc.duration(50*time.Millisecond, 2*time.Second))
				changes++
			}
			time.Sleep(sc.duration(time.Second, 8*time.Second))
			if n == 6 {
				sc.state.SetOutage(false)
				sc.submitNext(testJob(0, "a", jobs.KindArray, 2))
			}
		}
		sc.checkTookPlace(changes == 10 && time.Since(begun) < 2*time.Minute, "%d changes in %v", changes, time.Since(begun))
	})
}

// TestCombinedTasksEndApart: jobs of two or three tasks end far apart across a change
// of leader. What has ended stays so: no task runs a second time.
func TestCombinedTasksEndApart(t *testing.T) {
	tasksEndApart := func(s *site) {
		s.taskDuration = func(job *jobs.Spec, index int) time.Duration {
			if job.Kind == jobs.KindGang {
				index = 0 // they end together
			}
			return time.Duration(job.ExpectedS*float64(time.Second)) + time.Duration(index)*18*time.Second
		}
	}
	runScenario(t, tasksEndApart, func(sc *scenario) {
		var ids []string
		for n := range 4 {
			job := testJob(0, teamOf(n), jobs.KindArray, 2+n%2)
			job.ExpectedS = 4
			ids = append(ids, sc.submitNext(job))
		}
		sc.waitRunning(ids[0])
		sc.state.SetFate(sc.slowWrites(600*time.Millisecond, 1300*time.Millisecond))
		ended := 0
		for range 3 {
			before := sc.tasksDone(ids)
			sc.waitFor(40*time.Second, "an end", func() bool { return sc.tasksDone(ids) > before })
			ended = sc.tasksDone(ids)
			time.Sleep(sc.duration(0, time.Second))
			sc.restartLeader(sc.duration(100*time.Millisecond, 4*time.Second))
			sc.nextLeader("")
		}
		sc.state.SetFate(nil)
		sc.checkTookPlace(ended > 0 && ended < 10, "%d tasks had ended", ended)
		time.Sleep(60 * time.Second)
		for task, times := range sc.rules.allCompletions() {
			if slices.Contains(ids, task.Job) && times != 1 {
				sc.t.Errorf("task %v ended %d times", task, times)
			}
		}
	})
}

// slowWrites has writes lag, so that a leader ends between a task's heartbeat and its
// record.
func (sc *scenario) slowWrites(least, most time.Duration) func(node string, writes int) simulator.Fate {
	return func(_ string, writes int) simulator.Fate {
		if writes == 0 {
			return simulator.Fate{}
		}
		return simulator.Fate{Slow: sc.duration(least, most)}
	}
}

// tasksDone is how many tasks of these jobs are done.
func (sc *scenario) tasksDone(ids []string) (done int) {
	for task := range sc.rules.allCompletions() {
		if slices.Contains(ids, task.Job) {
			done++
		}
	}
	return done
}

// TestCombinedAllAway: all controllers are away for longer than lease_s.
func TestCombinedAllAway(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		id := sc.submitNext(longJob("a", jobs.KindArray, 6, 30))
		sc.waitRunning(id)
		sc.after(sc.duration(0, 2*time.Second), func() { sc.cancelAt(sc.intn(3), id) })
		time.Sleep(sc.duration(0, 2*time.Second))
		sc.killAllNodes()
		time.Sleep(sc.duration(13*time.Second, 40*time.Second))
		left := len(sc.rules.runningTasks())
		sc.checkTookPlace(left == 0, "%d tasks outlived their leases", left)
		for _, i := range []int{1, 2, 0} {
			sc.startNode(i)
			time.Sleep(sc.duration(0, time.Second))
		}
	})
}

// TestCombinedLeaderAlone: a leader is cut from the state service and from the other
// controllers while workers and users still reach it, and jobs are cancelled
// through the new one.
func TestCombinedLeaderAlone(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		var ids []string
		for n := range 4 {
			ids = append(ids, sc.submitNext(longJob(teamOf(n), jobs.KindArray, 3, 120)))
		}
		sc.waitRunning(ids...)
		old := sc.nextLeader("")
		sc.isolate(old)
		next := nodeNumber(sc.nextLeader(old))
		for _, id := range ids {
			sc.after(sc.duration(0, 15*time.Second), func() {
				sc.cancelAtUntilAnswered(next, id, 200*time.Millisecond)
				sc.queryAllNodes(id)
			})
		}
		time.Sleep(sc.duration(10*time.Second, 40*time.Second))
		sc.heal()
		sc.waitCancelledGone()
		sc.checkCancelled(ids...)
	})
}
