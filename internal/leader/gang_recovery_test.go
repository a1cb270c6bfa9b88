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
	spec := arraySpec("j-1", 2)
	spec.Kind, spec.SameZone, spec.GPUs = jobs.KindGang, true, 4
	j := addJob(t, l, spec, now)
	machine := addMachine(l, "m-1", "east", now)
	a := &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Job: "j-1"}, Number: 9}, Epoch: 1, FromEarlierTerm: true, RunSent: true, Committed: true}
	machine.agent.Attempts[a.ID] = a
	l.addAttempt(machine, a)
	l.stopIncompleteGang(j, now)
	if !a.StopRequested {
		t.Errorf("it waits on")
	}
}

// TestWaitingGangIsCompleted: a gang that loses a task before it runs gets a
// replacement under the same number, in the same zone; one that has run, or
// that is told that its mates are gone, starts anew as a whole.
func TestWaitingGangIsCompleted(t *testing.T) {
	for _, status := range []workers.TaskStatus{workers.StatusWaiting, workers.StatusRunning} {
		now := time.Now()
		l := testLeader(t)
		for i := range 3 {
			addMachine(l, fmt.Sprint("m-e", i), "east", now)
			addMachine(l, fmt.Sprint("m-w", i), "west", now)
		}
		spec := arraySpec("j-1", 2)
		spec.Kind, spec.SameZone, spec.GPUs = jobs.KindGang, true, 4
		j := addJob(t, l, spec, now)
		l.runSchedulingPass(now)
		epoch := commitAll(l, 100)
		seats := j.attempts.sorted()
		if len(seats) != 2 {
			t.Fatalf("%d of 2 placed", len(seats))
		}
		try := j.gang.attemptNumber
		for _, s := range seats {
			s.machine.agent.Commands(true, now)
			l.applyHeartbeat(s.machine, nextHeartbeat(l, s.machine, status, ""), false, now)
		}
		lost := seats[1].machine
		l.applyEvents(lost, lost.agent.MarkTerminated(), now)
		lost.lifecycle.leaving = true
		l.runSchedulingPass(now)
		commitAll(l, epoch)
		if status == workers.StatusRunning {
			if !seats[0].attempt.StopRequested || len(j.attempts) != 1 {
				t.Errorf("the rest of a running gang goes on: %v", j.attempts)
			}
			continue
		}
		again := j.attempts.sorted()
		if len(again) != 2 || seats[0].attempt.StopRequested || j.gang.replacingTask {
			t.Fatalf("not completed: %+v", again)
		}
		fresh := again[1]
		if fresh.attempt.ID.Number != try || fresh.machine == lost || fresh.machine.agent.Zone != seats[0].machine.agent.Zone || !fresh.attempt.StartAllowed {
			t.Errorf("replaced by %+v on %s", fresh.attempt, fresh.machine.agent.Name)
		}
		l.applyHeartbeat(seats[0].machine, nextHeartbeat(l, seats[0].machine, workers.StatusExited, "mates_gone"), false, now)
		if len(j.attempts) != 0 && !j.attempts.sorted()[0].attempt.StopRequested {
			t.Errorf("the replacement outlives its gang")
		}
	}
}
