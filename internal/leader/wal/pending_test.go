package wal

import (
	"slices"
	"testing"
)

// TestSplitCompletionsAreToldOnceAllStand: where completions don't fit into one transaction,
// nobody is told of any before the last of them stands.
func TestSplitCompletionsAreToldOnceAllStand(t *testing.T) {
	const tasks = 2000
	store := newFakeStore()
	writer := NewWriter(1, Limits{ValueBytes: 600, TxnOps: 4}, Head{}, 0)
	var completed []int
	for task := range tasks {
		completed = append(completed, task)
	}
	told := false
	writer.TasksDone("j-1", completed, func() { told = true })

	transactions := 0
	for ; writer.Pending(); transactions++ {
		if told {
			t.Fatalf("told after %d transactions, with more to come", transactions)
		}
		commitNext(t, store, writer, nil)
	}
	if !told || transactions < 2 {
		t.Errorf("told %v after %d transactions", told, transactions)
	}
	state, _, err := Read(store.failoverRows())
	if err != nil || !slices.Equal(state.Done["j-1"], completed) {
		t.Errorf("%d completions are read, %v", len(state.Done["j-1"]), err)
	}
}

// TestNeitherStartNorEndIsRecorded: an attempt that ends before its start was written leaves
// no trace, and its start is never told to stand.
func TestNeitherStartNorEndIsRecorded(t *testing.T) {
	writer := NewWriter(1, Limits{ValueBytes: 600, TxnOps: 4}, Head{}, 0)
	attempt := Attempt{Task: "j-1/0", Number: 1, Epoch: 1}
	writer.AttemptPlaced("m-1", attempt, "j-1", JobUse{Team: "x"}, func() { t.Error("the start is told to stand") })
	writer.AttemptGone("m-1", attempt)
	store := newFakeStore()
	commitNext(t, store, writer, nil)
	state, _, err := Read(store.failoverRows())
	if err != nil || len(state.Machines["m-1"].Attempts) != 0 {
		t.Errorf("%+v, %v", state.Machines["m-1"], err)
	}
}
