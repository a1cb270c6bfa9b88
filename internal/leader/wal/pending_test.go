package wal

import (
	"slices"
	"testing"
)

// TestSplitCompletionsReportedOnceAllCommitted checks that, if completions don't fit into one
// transaction, none is reported as committed before the last of them is.
func TestSplitCompletionsReportedOnceAllCommitted(t *testing.T) {
	const tasks = 2000
	store := newFakeStore()
	writer := NewWriter(1, Limits{ValueBytes: 600, TxnOps: 4}, Head{}, 0)
	var completed []int
	for task := range tasks {
		completed = append(completed, task)
	}
	reported := false
	writer.TasksDone("j-1", completed, func() { reported = true })

	transactions := 0
	for ; writer.HasUncommitted(); transactions++ {
		if reported {
			t.Fatalf("reported as committed after %d transactions, with changes still pending", transactions)
		}
		commitNext(t, store, writer, nil)
	}
	if !reported || transactions < 2 {
		t.Errorf("reported %v after %d transactions, want true after at least 2", reported, transactions)
	}
	state, _, err := Replay(store.failoverRows())
	if err != nil || !slices.Equal(state.Done["j-1"], completed) {
		t.Errorf("%d completions read, error %v", len(state.Done["j-1"]), err)
	}
}

// TestAttemptGoneBeforeStartWritten checks that an attempt that ends before its start is
// written is not recorded, and its start is never reported as committed.
func TestAttemptGoneBeforeStartWritten(t *testing.T) {
	writer := NewWriter(1, Limits{ValueBytes: 600, TxnOps: 4}, Head{}, 0)
	attempt := Attempt{Task: "j-1/0", Number: 1, Epoch: 1}
	writer.AttemptPlaced("m-1", attempt, "j-1", JobUsage{Team: "x"}, func() { t.Error("the start was reported as committed") })
	writer.AttemptGone("m-1", attempt)
	store := newFakeStore()
	commitNext(t, store, writer, nil)
	state, _, err := Replay(store.failoverRows())
	if err != nil || len(state.Machines["m-1"].Attempts) != 0 {
		t.Errorf("machine %+v, error %v", state.Machines["m-1"], err)
	}
}
