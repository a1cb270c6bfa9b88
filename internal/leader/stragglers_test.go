package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// TestTasksOfSlowMachineAreMoved checks that a machine whose tasks take much longer than the
// other tasks of their job is marked slow and its tasks are moved away, and that ordinary
// differences have no effect.
func TestTasksOfSlowMachineAreMoved(t *testing.T) {
	start := time.Now()
	l := testLeader(t)
	slow := addMachine(l, "m-bad", "east", start)
	job := addJob(t, l, arraySpec("j-1", 6), start)
	for i := range 2 {
		attempt := &workers.Attempt{
			ID: workers.AttemptID{Task: workers.TaskID{Job: "j-1", Index: i}, Number: uint64(i + 1)}, Epoch: 1,
			Committed: true, StartAllowed: true, RunSent: true, Status: workers.StatusRunning, RunningSince: start,
		}
		slow.worker.Attempts[attempt.ID] = attempt
		l.addAttempt(slow, attempt)
	}
	for _, seconds := range []int{24, 30, 35} {
		job.runtimes.Add(time.Duration(seconds) * time.Second)
	}
	slow.worker.LastMessageAt = start.Add(45 * time.Second)
	l.detectStragglers(start.Add(45 * time.Second))
	if slow.health.Slow(start.Add(45 * time.Second)) {
		t.Fatalf("a machine is marked slow at 1.5 times the median run time")
	}
	now := start.Add(55 * time.Second)
	slow.worker.LastMessageAt = now
	l.detectStragglers(now)
	if !slow.health.Slow(now) || slow.schedulable(now) {
		t.Fatalf("slow machine not detected")
	}
	for _, attempt := range slow.worker.SortedAttempts() {
		if !attempt.StopRequested || attempt.GraceS < job.spec.CheckpointSaveS {
			t.Errorf("%v is not stopped with time to save", attempt.ID)
		}
	}
	if !slow.schedulable(now.Add(constants.StragglerPause + time.Second)) {
		t.Errorf("the machine is not schedulable after the pause")
	}
}

// TestPartialRunsAreNotSampled guards against an incident: after a failover, the run times of
// tasks that had been running before it were measured too short, which made all other tasks of
// their jobs seem slow.
func TestPartialRunsAreNotSampled(t *testing.T) {
	start := time.Now()
	l := testLeader(t)
	machine := addMachine(l, "m-1", "east", start)
	open := addJob(t, l, arraySpec("j-1", 4), start)
	open.fromEarlierTerm = true
	restarted := addJob(t, l, arraySpec("j-2", 4), start)
	restarted.restartedTasks[0] = true
	for _, job := range []*jobState{open, restarted} {
		l.recordTaskRuntime(machine, job, &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Job: job.spec.ID}}, RunningSince: start}, start.Add(time.Second))
		if job.runtimes.Samples() != 0 {
			t.Errorf("%s: a partial run was sampled as a whole one", job.spec.ID)
		}
	}
}

// TestSilentMachinesAreNotSlow guards against machines that are wrongly marked slow after a
// zone partition, as found with 2,100 machines: tasks behind the partition seemed to keep
// running, so their machines were marked slow and got no tasks for 45 s after it had healed.
// Tasks that had ended meanwhile seemed to have run all that time.
func TestSilentMachinesAreNotSlow(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		t.Run(fmt.Sprint("partitioned ", partitioned), func(t *testing.T) {
			now := time.Now()
			l := testLeader(t)
			useUnavailableStore(t, l)
			machineA, machineB := addMachine(l, "m-a", "east", now), addMachine(l, "m-b", "west", now)
			job := addJob(t, l, arraySpec("j-1", 8), now)
			l.runSchedulingPass(now)
			commitPending(l, 100)
			for _, machine := range []*machineState{machineA, machineB} {
				machine.worker.Commands(true, now)
				l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusRunning, ""), false, now)
			}
			// The tasks of m-a end after 10 s, those of m-b after 60 s.
			for range 5 {
				now = now.Add(2 * time.Second)
				l.applyHeartbeat(machineA, nextHeartbeat(l, machineA, workers.StatusRunning, ""), false, now)
				l.applyHeartbeat(machineB, nextHeartbeat(l, machineB, workers.StatusRunning, ""), false, now)
			}
			l.applyHeartbeat(machineA, nextHeartbeat(l, machineA, workers.StatusExited, workers.CauseDone), false, now)
			if _, ok := job.runtimes.Median(8); !ok {
				t.Fatal("no median run time")
			}
			for range 50 {
				now = now.Add(time.Second)
				if !partitioned {
					l.applyHeartbeat(machineB, nextHeartbeat(l, machineB, workers.StatusRunning, ""), false, now)
				}
				l.detectStragglers(now)
			}
			l.applyHeartbeat(machineB, nextHeartbeat(l, machineB, workers.StatusExited, workers.CauseDone), false, now)
			l.detectStragglers(now)
			if slow := machineB.health.Slow(now); slow == partitioned {
				t.Errorf("machine marked slow: %v, want true only without a partition", slow)
			}
		})
	}
}
