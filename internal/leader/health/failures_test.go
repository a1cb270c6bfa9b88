package health

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/constants"
)

// TestFaultyTaskBlamesFewMachines guards against returning machine after machine for a single
// faulty task of a job whose other tasks succeed.
func TestFaultyTaskBlamesFewMachines(t *testing.T) {
	history := FailureHistory{succeeded: true}
	now := time.Unix(1000, 0)
	blamed := 0
	for i := range 20 {
		pause, taskOnly := history.Record(fmt.Sprint("m-", i), 7, time.Second, false, now)
		if taskOnly != (i >= constants.FaultyTaskMaxFailures) || taskOnly && pause != constants.MaxTaskRetryDelay {
			t.Fatalf("failure %d: pause %v, task only %v", i, pause, taskOnly)
		}
		blamed += len(history.TakeFaultyMachines(nil, now))
		now = now.Add(time.Second)
	}
	if blamed != constants.FaultyTaskMaxFailures {
		t.Errorf("%d machines are blamed for one task's failures, want FaultyTaskMaxFailures", blamed)
	}
}

// TestMachineIsBlamedByLongerRunsElsewhere checks that a machine is blamed, once, for a failure
// if the job runs clearly longer on another machine. A run that is hardly longer, or on the
// same machine, has no effect.
func TestMachineIsBlamedByLongerRunsElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	failedAfter := 2 * time.Second
	enough := failedAfter + constants.FailureAttributionMargin + time.Millisecond
	cases := []struct {
		name   string
		runs   map[string]time.Duration
		after  time.Duration
		blamed int
	}{
		{"nothing runs elsewhere", nil, 0, 0},
		{"longer elsewhere by only the margin", map[string]time.Duration{"m-2": failedAfter + constants.FailureAttributionMargin}, 0, 0},
		{"longer on the same machine", map[string]time.Duration{"m-1": enough}, 0, 0},
		{"clearly longer elsewhere", map[string]time.Duration{"m-2": enough}, 0, 1},
		{"failure outside the window", map[string]time.Duration{"m-2": enough}, constants.FailureWindow, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var history FailureHistory
			history.Record("m-1", 0, failedAfter, false, now)
			at := now.Add(test.after)
			if got := history.TakeFaultyMachines(test.runs, at); len(got) != test.blamed {
				t.Errorf("blamed machines %v, want %d", got, test.blamed)
			}
			if got := history.TakeFaultyMachines(test.runs, at); len(got) != 0 {
				t.Errorf("machines blamed again: %v", got)
			}
		})
	}
}

// TestFaultyJobBacksOff checks that the pause before retries of a job that fails on several
// machines doubles up to a bound, that tasks failing in the same round count once, and that a
// success ends the backoff.
func TestFaultyJobBacksOff(t *testing.T) {
	now := time.Unix(1000, 0)
	var history FailureHistory
	for i := range constants.FaultyJobMinMachines - 1 {
		if pause, _ := history.Record(fmt.Sprint("m-", i), i, time.Second, false, now); pause != constants.MinTaskRetryDelay || history.JobIsFaulty() {
			t.Fatalf("failure %d: pause %v, faulty %v", i, pause, history.JobIsFaulty())
		}
	}
	want := constants.MinTaskRetryDelay
	for round := range 12 {
		want = min(2*want, constants.MaxTaskRetryDelay)
		if pause, _ := history.Record("m-x", round, time.Second, false, now); pause != want || !history.JobIsFaulty() {
			t.Fatalf("round %d: pause %v, want %v, faulty %v", round, pause, want, history.JobIsFaulty())
		}
		if pause, _ := history.Record("m-y", round, time.Second, true, now); pause != want {
			t.Fatalf("round %d: a second failure in the round changed the pause to %v", round, pause)
		}
	}
	history.RecordSuccess()
	if history.JobIsFaulty() {
		t.Error("a job that succeeded still counts as faulty")
	}
}

// TestOnlyDelayedTaskWaits checks that only the delayed task waits, and only until its time.
func TestOnlyDelayedTaskWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	var delays TaskDelays
	delays.Add(3, now.Add(time.Second))
	if !delays.IsDelayed(3, now) || delays.IsDelayed(4, now) {
		t.Error("task 3 is not delayed, or task 4 is")
	}
	if delays.IsDelayed(3, now.Add(time.Second)) || len(delays.delays) != 0 {
		t.Error("the delay does not end")
	}
}
