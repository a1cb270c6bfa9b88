package leader

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// TestArrayWaitingTasks checks that after any sequence of placed, lost, completed and delayed
// tasks, the job's view lists the first waiting tasks in order: those that are not done, have
// no attempt and are not delayed by a retry.
func TestArrayWaitingTasks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		spec := arraySpec("j-1", rapid.IntRange(1, 2*constants.MaxWaitingTasksPerJob).Draw(rt, "tasks"))
		job := newJobState(&spec, 1, now, now)
		machine := &machineState{worker: workers.NewWorker("m-1")}
		delayedUntil := make(map[int]time.Time)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			task := rapid.IntRange(0, spec.Tasks-1).Draw(rt, "task")
			switch rapid.SampledFrom([]string{"place", "lose", "complete", "delay", "time"}).Draw(rt, "step") {
			case "place":
				job.attempts.add(machine, &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Job: "j-1", Index: task}}})
			case "lose":
				for _, placed := range slices.Clone(job.attempts[task]) {
					job.attempts.remove(placed.attempt)
				}
				job.progress.lowerFirstWaiting(task)
			case "complete":
				job.progress.complete(task)
			case "delay":
				delayedUntil[task] = now.Add(10 * time.Second)
				job.retry.delays.Add(task, delayedUntil[task])
			case "time":
				now = now.Add(7 * time.Second)
			}
			job.markStale()
			job.refreshView(1, now)
			if want := waitingTasks(job, delayedUntil, now); !slices.Equal(job.view.WaitingTasks, want) {
				rt.Fatalf("waiting tasks %v, want %v", job.view.WaitingTasks, want)
			}
		}
	})
}

// waitingTasks returns the expected waiting tasks by a scan of the whole array.
func waitingTasks(job *jobState, delayedUntil map[int]time.Time, now time.Time) (waiting []int) {
	for task := range job.spec.Tasks {
		if !job.progress.isDone(task) && len(job.attempts[task]) == 0 && !now.Before(delayedUntil[task]) {
			waiting = append(waiting, task)
		}
	}
	return waiting[:min(len(waiting), constants.MaxWaitingTasksPerJob)]
}

// TestGangWaitingTasks checks that all tasks of a gang wait while it has no attempts, none
// while some attempts are not gone, and only the lost one while it may be replaced.
func TestGangWaitingTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := twoTaskGang("j-1")
	gang := newJobState(&spec, 1, now, now)
	machine := &machineState{worker: workers.NewWorker("m-1")}
	refreshed := func() []int {
		gang.markStale()
		gang.refreshView(1, now)
		return gang.view.WaitingTasks
	}
	if got := refreshed(); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("waiting tasks before any placement: %v", got)
	}
	attempt := &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Job: "j-1", Index: 0}}}
	gang.attempts.add(machine, attempt)
	if got := refreshed(); len(got) != 0 {
		t.Errorf("waiting tasks while an attempt is not gone: %v", got)
	}
	gang.gang.replacingTask = true
	if got := refreshed(); !slices.Equal(got, []int{1}) {
		t.Errorf("waiting tasks while a task may be replaced: %v", got)
	}
	gang.attempts.remove(attempt)
	if got := refreshed(); !slices.Equal(got, []int{0, 1}) || gang.gang.replacingTask {
		t.Errorf("waiting tasks after the last attempt is gone: %v, replacing a task: %v", got, gang.gang.replacingTask)
	}
	gang.progress.completeAll()
	if got := refreshed(); len(got) != 0 {
		t.Errorf("waiting tasks after completion: %v", got)
	}
}

// TestStopCost checks that stopping a task that can't save its progress loses all its work,
// and stopping a gang costs more than stopping single tasks.
func TestStopCost(t *testing.T) {
	now := time.Unix(1000, 0)
	running := &workers.Attempt{RunningSince: now.Add(-time.Minute)}
	spec := jobs.Spec{ExpectedS: 100, Tasks: 4, Kind: jobs.KindArray}
	saving, gang, overdue := spec, spec, spec
	saving.CheckpointIntervalS, saving.CheckpointSaveS = 5, 2
	gang.Kind = jobs.KindGang
	overdue.ExpectedS = 20
	for _, c := range []struct {
		name            string
		spec            jobs.Spec
		attempt         *workers.Attempt
		remaining, loss time.Duration
	}{
		{"not started", spec, &workers.Attempt{}, 100 * time.Second, constants.RestartCost},
		{"saves nothing", spec, running, 40 * time.Second, time.Minute + constants.RestartCost},
		{"saves", saving, running, 40 * time.Second, 2*time.Second + constants.StopGrace + constants.RestartCost},
		{"gang", gang, running, 40 * time.Second, time.Minute + 4*constants.GangRestartFactor*constants.RestartCost},
		{"overdue", overdue, running, constants.MinRemainingEstimate, time.Minute + constants.RestartCost},
		{
			"just started", spec, &workers.Attempt{RunningSince: now.Add(-time.Second)}, 99 * time.Second,
			time.Second + constants.EarlyStopCost + constants.RestartCost,
		},
	} {
		if remaining, loss := estimateStopCost(&c.spec, c.attempt, now); remaining != c.remaining || loss != c.loss {
			t.Errorf("%s: remaining time %v and loss %v, want %v and %v", c.name, remaining, loss, c.remaining, c.loss)
		}
	}
}
