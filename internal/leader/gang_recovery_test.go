package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// TestPartOfAGangEndsWithItsTerm: what an earlier term had placed of a gang that
// lacks tasks can't be completed and must not wait on.
func TestPartOfAGangEndsWithItsTerm(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	gang := addJob(t, l, gangOfTwo("j-1"), now)
	machine := addMachine(l, "m-1", "east", now)
	attempt := &workers.Attempt{
		ID:    workers.AttemptID{Task: workers.TaskID{Job: "j-1"}, Number: 9},
		Epoch: 1, FromEarlierTerm: true, RunSent: true, Committed: true,
	}
	machine.agent.Attempts[attempt.ID] = attempt
	l.addAttempt(machine, attempt)
	l.stopIncompleteGang(gang, now)
	if !attempt.StopRequested {
		t.Errorf("it waits on")
	}
}

// gangOfTwo is a job of two tasks that need a whole machine each.
func gangOfTwo(id string) jobs.Spec {
	spec := arraySpec(id, 2)
	spec.Kind, spec.SameZone, spec.GPUs = jobs.KindGang, true, 4
	return spec
}

// gangThatLosesATask places a gang on machines of two zones, has its tasks reported in a
// state, and its second machine terminated; a pass and a commit follow.
func gangThatLosesATask(t *testing.T, status workers.TaskStatus, now time.Time) (l *Leader, gang *jobState, placed []placedAttempt) {
	t.Helper()
	l = testLeader(t)
	for i := range 3 {
		addMachine(l, fmt.Sprint("m-e", i), "east", now)
		addMachine(l, fmt.Sprint("m-w", i), "west", now)
	}
	gang = addJob(t, l, gangOfTwo("j-1"), now)
	l.runSchedulingPass(now)
	revision := commitAll(l, 100)
	placed = gang.attempts.sorted()
	if len(placed) != 2 {
		t.Fatalf("%d of 2 placed", len(placed))
	}
	for _, p := range placed {
		if p.attempt.ID.Number != gang.gang.attemptNumber {
			t.Fatalf("attempt %d of a gang whose number is %d", p.attempt.ID.Number, gang.gang.attemptNumber)
		}
		p.machine.agent.Commands(true, now)
		l.applyHeartbeat(p.machine, nextHeartbeat(l, p.machine, status, ""), false, now)
	}
	lost := placed[1].machine
	l.applyEvents(lost, lost.agent.MarkTerminated(), now)
	lost.lifecycle.leaving = true
	l.runSchedulingPass(now)
	commitAll(l, revision)
	return l, gang, placed
}

// TestWaitingGangIsCompleted: a gang that loses a task before it runs gets a
// replacement under the same number, in the same zone; one that has run, or
// that is told that its mates are gone, starts anew as a whole.
func TestWaitingGangIsCompleted(t *testing.T) {
	t.Run(string(workers.StatusWaiting), func(t *testing.T) {
		now := time.Now()
		l, gang, placed := gangThatLosesATask(t, workers.StatusWaiting, now)
		rest, lost := placed[0], placed[1]
		completed := gang.attempts.sorted()
		if len(completed) != 2 || rest.attempt.StopRequested || gang.gang.replacingTask {
			t.Fatalf("not completed: %+v", completed)
		}
		replacement := completed[1]
		if replacement.attempt.ID.Number != rest.attempt.ID.Number || replacement.machine == lost.machine ||
			replacement.machine.agent.Zone != rest.machine.agent.Zone || !replacement.attempt.StartAllowed {
			t.Errorf("replaced by %+v on %s", replacement.attempt, replacement.machine.agent.Name)
		}
		l.applyHeartbeat(rest.machine, nextHeartbeat(l, rest.machine, workers.StatusExited, workers.CauseGangLost), false, now)
		if len(gang.attempts) != 0 && !gang.attempts.sorted()[0].attempt.StopRequested {
			t.Errorf("the replacement outlives its gang")
		}
	})
	t.Run(string(workers.StatusRunning), func(t *testing.T) {
		_, gang, placed := gangThatLosesATask(t, workers.StatusRunning, time.Now())
		if !placed[0].attempt.StopRequested || len(gang.attempts) != 1 {
			t.Errorf("the rest of a running gang goes on: %v", gang.attempts)
		}
	})
}
