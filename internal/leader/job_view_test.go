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

// TestWaitingTasksOfAnArray: whatever is placed, lost, done and delayed, placement is
// shown the first tasks that wait, in order: those that are not done, have no attempt and
// need not wait before they are tried again.
func TestWaitingTasksOfAnArray(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		spec := arraySpec("j-1", rapid.IntRange(1, 2*constants.MaxWaitingTasks).Draw(rt, "tasks"))
		job := newJobState(&spec, 1, now, now)
		machine := &machineState{agent: workers.NewAgent("m-1")}
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
				job.progress.mayWaitFrom(task)
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
				rt.Fatalf("shown %v, want %v", job.view.WaitingTasks, want)
			}
		}
	})
}

// waitingTasks looks at all tasks of an array for those that placement is to be shown.
func waitingTasks(job *jobState, delayedUntil map[int]time.Time, now time.Time) (waiting []int) {
	for task := range job.spec.Tasks {
		if !job.progress.isDone(task) && len(job.attempts[task]) == 0 && !now.Before(delayedUntil[task]) {
			waiting = append(waiting, task)
		}
	}
	return waiting[:min(len(waiting), constants.MaxWaitingTasks)]
}

// TestWaitingTasksOfAGang: all at once while it has no attempts, none while some of them
// are not gone, and the lost one alone while it may be replaced.
func TestWaitingTasksOfAGang(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := gangOfTwo("j-1")
	gang := newJobState(&spec, 1, now, now)
	machine := &machineState{agent: workers.NewAgent("m-1")}
	shown := func() []int {
		gang.markStale()
		gang.refreshView(1, now)
		return gang.view.WaitingTasks
	}
	if got := shown(); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("at first %v", got)
	}
	attempt := &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Job: "j-1", Index: 0}}}
	gang.attempts.add(machine, attempt)
	if got := shown(); len(got) != 0 {
		t.Errorf("while one attempt is not gone %v", got)
	}
	gang.gang.replacingTask = true
	if got := shown(); !slices.Equal(got, []int{1}) {
		t.Errorf("while a task may be replaced %v", got)
	}
	gang.attempts.remove(attempt)
	if got := shown(); !slices.Equal(got, []int{0, 1}) || gang.gang.replacingTask {
		t.Errorf("after the last is gone %v, replacing %v", got, gang.gang.replacingTask)
	}
	gang.progress.completeAll()
	if got := shown(); len(got) != 0 {
		t.Errorf("after the end %v", got)
	}
}

// TestStopCost: what stopping a task throws away is its work unless it saves it, and a
// gang is dearer than its tasks.
func TestStopCost(t *testing.T) {
	now := time.Unix(1000, 0)
	running := &workers.Attempt{RunningSince: now.Add(-time.Minute)}
	spec := jobs.Spec{ExpectedS: 100, Tasks: 4, Kind: jobs.KindArray}
	saving, gang, overdue := spec, spec, spec
	saving.CheckpointIntervalS, saving.SaveS = 5, 2
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
			t.Errorf("%s: %v left and %v lost, want %v and %v", c.name, remaining, loss, c.remaining, c.loss)
		}
	}
}
