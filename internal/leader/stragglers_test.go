package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// TestSlowMachine: a machine whose tasks take much longer than their siblings
// elsewhere loses them to others; ordinary differences do not count.
func TestSlowMachine(t *testing.T) {
	t0 := time.Now()
	l := testLeader(t)
	bad := addMachine(l, "m-bad", "east", t0)
	j := addJob(t, l, arraySpec("j-1", 6), t0)
	for i := range 2 {
		a := &workers.Attempt{
			ID: workers.AttemptID{Task: workers.TaskID{Job: "j-1", Index: i}, Number: uint64(i + 1)}, Epoch: 1,
			Committed: true, StartAllowed: true, RunSent: true, Status: workers.StatusRunning, RunningSince: t0,
		}
		bad.agent.Attempts[a.ID] = a
		l.addAttempt(bad, a)
	}
	for _, s := range []int{24, 30, 35} {
		j.runtimes.Add(time.Duration(s) * time.Second)
	}
	bad.agent.LastHeartbeat = t0.Add(45 * time.Second)
	l.detectStragglers(t0.Add(45 * time.Second))
	if bad.health.Slow(t0.Add(45 * time.Second)) {
		t.Fatalf("half as long again is taken for slow")
	}
	now := t0.Add(55 * time.Second)
	bad.agent.LastHeartbeat = now
	l.detectStragglers(now)
	if !bad.health.Slow(now) || bad.schedulable(now) {
		t.Fatalf("a slow machine is not found")
	}
	for _, a := range bad.agent.SortedAttempts() {
		if !a.StopRequested || a.GraceS < j.spec.SaveS {
			t.Errorf("%v is not saved and stopped", a.ID)
		}
	}
	if !bad.schedulable(now.Add(constants.StragglerPause + time.Second)) {
		t.Errorf("it gets no second chance")
	}
}

// TestPaceNeedsWholeRuns guards against an incident: after a takeover, tasks
// that had long been running seemed to finish early, and all others of their
// jobs seemed slow.
func TestPaceNeedsWholeRuns(t *testing.T) {
	t0 := time.Now()
	l := testLeader(t)
	machine := addMachine(l, "m-1", "east", t0)
	j := addJob(t, l, arraySpec("j-1", 4), t0)
	j.fromEarlierTerm = true
	old := addJob(t, l, arraySpec("j-2", 4), t0)
	old.restartedTasks[0] = true
	for _, x := range []*jobState{j, old} {
		l.noteStragglerSignal(machine, x, &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Job: x.spec.ID}}, RunningSince: t0}, t0.Add(time.Second))
		if x.runtimes.Samples() != 0 {
			t.Errorf("%s: a part of a run is taken for a whole one", x.spec.ID)
		}
	}
}

// TestSilentMachinesAreNotSlow guards against what the zone day at 2,100
// machines showed: behind a cut, tasks seemed to run on for ever, so their
// machines were taken for slow and got no work for 45 s after the cut had
// healed; and tasks that had ended meanwhile seemed to have run all the time.
func TestSilentMachinesAreNotSlow(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("cut ", cut), func(t *testing.T) {
			now := time.Now()
			l := testLeader(t)
			offline(t, l)
			a, b := addMachine(l, "m-a", "east", now), addMachine(l, "m-b", "west", now)
			j := addJob(t, l, arraySpec("j-1", 8), now)
			l.runSchedulingPass(now)
			commitAll(l, 100)
			for _, machine := range []*machineState{a, b} {
				machine.agent.Commands(true, now)
				l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusRunning, ""), false, now)
			}
			// One machine's tasks end after 10 s, the other's go on for 60.
			for range 5 {
				now = now.Add(2 * time.Second)
				l.applyHeartbeat(a, nextHeartbeat(l, a, workers.StatusRunning, ""), false, now)
				l.applyHeartbeat(b, nextHeartbeat(l, b, workers.StatusRunning, ""), false, now)
			}
			l.applyHeartbeat(a, nextHeartbeat(l, a, workers.StatusExited, workers.CauseDone), false, now)
			if _, ok := j.runtimes.Typical(8); !ok {
				t.Fatal("no run times to compare with")
			}
			for range 50 {
				now = now.Add(time.Second)
				if !cut {
					l.applyHeartbeat(b, nextHeartbeat(l, b, workers.StatusRunning, ""), false, now)
				}
				l.detectStragglers(now)
			}
			l.applyHeartbeat(b, nextHeartbeat(l, b, workers.StatusExited, workers.CauseDone), false, now)
			l.detectStragglers(now)
			if slow := b.health.Slow(now); slow == cut {
				t.Errorf("slow: %v", slow)
			}
		})
	}
}
