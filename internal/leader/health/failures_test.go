package health

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/constants"
)

// TestOneTaskThatFailsEverywhere: a task with a mistake in a job that does well
// otherwise must not have machine after machine given back.
func TestOneTaskThatFailsEverywhere(t *testing.T) {
	history := FailureHistory{succeeded: true}
	now := time.Unix(1000, 0)
	blamed := 0
	for i := range 20 {
		pause, taskOnly := history.Record(fmt.Sprint("m-", i), 7, time.Second, false, now)
		if taskOnly != (i >= constants.FaultyTaskMachines) || taskOnly && pause != constants.RetryMax {
			t.Fatalf("failure %d: pause %v, task only %v", i, pause, taskOnly)
		}
		blamed += len(history.TakeFaultyMachines(nil, now))
		now = now.Add(time.Second)
	}
	if blamed != constants.FaultyTaskMachines {
		t.Errorf("%d machines are held guilty of one task's failures", blamed)
	}
}

// TestMachineIsBlamedByLongerRunsElsewhere: what failed on one machine and runs
// clearly longer on another was the first machine's fault, told once; a run that is
// hardly longer, or on the same machine, proves nothing.
func TestMachineIsBlamedByLongerRunsElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	failedAfter := 2 * time.Second
	enough := failedAfter + constants.FailureAttributionMargin + time.Millisecond
	tests := []struct {
		name   string
		runs   map[string]time.Duration
		after  time.Duration
		blamed int
	}{
		{"nothing runs elsewhere", nil, 0, 0},
		{"hardly longer elsewhere", map[string]time.Duration{"m-2": failedAfter + constants.FailureAttributionMargin}, 0, 0},
		{"longer on the same machine", map[string]time.Duration{"m-1": enough}, 0, 0},
		{"clearly longer elsewhere", map[string]time.Duration{"m-2": enough}, 0, 1},
		{"the failure is too old to count", map[string]time.Duration{"m-2": enough}, constants.FailureWindow, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var history FailureHistory
			history.Record("m-1", 0, failedAfter, false, now)
			at := now.Add(test.after)
			if got := history.TakeFaultyMachines(test.runs, at); len(got) != test.blamed {
				t.Errorf("blamed: %v, want %d", got, test.blamed)
			}
			if got := history.TakeFaultyMachines(test.runs, at); len(got) != 0 {
				t.Errorf("blamed again: %v", got)
			}
		})
	}
}

// TestFaultyJobIsTriedSeldom: a job that fails on several machines is tried after
// pauses that double up to a bound; tasks that fail together count once, and a
// success ends it.
func TestFaultyJobIsTriedSeldom(t *testing.T) {
	now := time.Unix(1000, 0)
	var history FailureHistory
	for i := range constants.FaultyJobMachines - 1 {
		if pause, _ := history.Record(fmt.Sprint("m-", i), i, time.Second, false, now); pause != constants.RetryBase || history.JobIsFaulty() {
			t.Fatalf("failure %d: pause %v, faulty %v", i, pause, history.JobIsFaulty())
		}
	}
	want := constants.RetryBase
	for round := range 12 {
		want = min(2*want, constants.RetryMax)
		if pause, _ := history.Record("m-x", round, time.Second, false, now); pause != want || !history.JobIsFaulty() {
			t.Fatalf("round %d: pause %v, want %v, faulty %v", round, pause, want, history.JobIsFaulty())
		}
		if pause, _ := history.Record("m-y", round, time.Second, true, now); pause != want {
			t.Fatalf("round %d: a failure of the same round raised the pause to %v", round, pause)
		}
	}
	history.RecordSuccess()
	if history.JobIsFaulty() {
		t.Error("a job that succeeded is still taken for faulty")
	}
}

// TestTaskDelays: only the delayed task waits, and no longer than it has to.
func TestTaskDelays(t *testing.T) {
	now := time.Unix(1000, 0)
	var delays TaskDelays
	delays.Add(3, now.Add(time.Second))
	if !delays.Waiting(3, now) || delays.Waiting(4, now) {
		t.Error("the wrong task waits")
	}
	if delays.Waiting(3, now.Add(time.Second)) || len(delays.delays) != 0 {
		t.Error("the delay never ends")
	}
}
