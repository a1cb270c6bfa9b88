package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// TestIncompleteGangFromEarlierTermIsStopped checks that the attempts of a gang that an
// earlier term placed only in part are stopped. Such a gang can't be completed and would wait
// forever.
func TestIncompleteGangFromEarlierTermIsStopped(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	gang := addJob(t, l, twoTaskGang("j-1"), now)
	machine := addMachine(l, "m-1", "east", now)
	attempt := &workers.Attempt{
		ID:    workers.AttemptID{Task: workers.TaskID{Job: "j-1"}, Number: 9},
		Epoch: 1, FromEarlierTerm: true, RunSent: true, Committed: true,
	}
	machine.worker.Attempts[attempt.ID] = attempt
	l.addAttempt(machine, attempt)
	l.stopIncompleteGang(gang, now)
	if !attempt.StopRequested {
		t.Errorf("the attempt is not stopped")
	}
}

// twoTaskGang returns a gang of two tasks that need a whole machine each.
func twoTaskGang(id string) jobs.Spec {
	spec := arraySpec(id, 2)
	spec.Kind, spec.SameZone, spec.GPUs = jobs.KindGang, true, 4
	return spec
}

// loseGangTask places a gang on a fleet of two zones, reports its tasks in the given status
// and terminates the machine of its second task. It then runs a scheduling pass and commits.
func loseGangTask(t *testing.T, status workers.TaskStatus, now time.Time) (l *Leader, gang *jobState, placed []placedAttempt) {
	t.Helper()
	l = testLeader(t)
	for i := range 3 {
		addMachine(l, fmt.Sprint("m-e", i), "east", now)
		addMachine(l, fmt.Sprint("m-w", i), "west", now)
	}
	gang = addJob(t, l, twoTaskGang("j-1"), now)
	l.runSchedulingPass(now)
	revision := commitPending(l, 100)
	placed = gang.attempts.sorted()
	if len(placed) != 2 {
		t.Fatalf("%d of 2 tasks placed", len(placed))
	}
	for _, p := range placed {
		if p.attempt.ID.Number != gang.gang.attemptNumber {
			t.Fatalf("attempt number %d, but the gang's number is %d", p.attempt.ID.Number, gang.gang.attemptNumber)
		}
		p.machine.worker.Commands(true, now)
		l.applyHeartbeat(p.machine, nextHeartbeat(l, p.machine, status, ""), false, now)
	}
	lost := placed[1].machine
	l.applyEvents(lost, lost.worker.MarkTerminated(), now)
	lost.lifecycle.leaving = true
	l.runSchedulingPass(now)
	commitPending(l, revision)
	return l, gang, placed
}

// TestLostTaskOfWaitingGangIsReplaced checks that a gang that loses a task before it starts
// gets a replacement under the same attempt number and in the same zone. A gang that has
// started, or whose tasks report that others are lost, restarts as a whole.
func TestLostTaskOfWaitingGangIsReplaced(t *testing.T) {
	t.Run(string(workers.StatusWaiting), func(t *testing.T) {
		now := time.Now()
		l, gang, placed := loseGangTask(t, workers.StatusWaiting, now)
		survivor, lost := placed[0], placed[1]
		repaired := gang.attempts.sorted()
		if len(repaired) != 2 || survivor.attempt.StopRequested || gang.gang.replacingTask {
			t.Fatalf("the lost task is not replaced: %+v", repaired)
		}
		replacement := repaired[1]
		if replacement.attempt.ID.Number != survivor.attempt.ID.Number || replacement.machine == lost.machine ||
			replacement.machine.worker.Zone != survivor.machine.worker.Zone || !replacement.attempt.StartAllowed {
			t.Errorf("wrong replacement %+v on %s", replacement.attempt, replacement.machine.worker.Name)
		}
		l.applyHeartbeat(survivor.machine, nextHeartbeat(l, survivor.machine, workers.StatusExited, workers.CauseGangLost), false, now)
		if len(gang.attempts) != 0 && !gang.attempts.sorted()[0].attempt.StopRequested {
			t.Errorf("the replacement is not stopped with its gang")
		}
	})
	t.Run(string(workers.StatusRunning), func(t *testing.T) {
		_, gang, placed := loseGangTask(t, workers.StatusRunning, time.Now())
		if !placed[0].attempt.StopRequested || len(gang.attempts) != 1 {
			t.Errorf("the other task of a running gang is not stopped: %v", gang.attempts)
		}
	})
}
