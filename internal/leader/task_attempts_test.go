package leader

import (
	"testing"

	"thornnotch/internal/workers"
)

// TestRemoveAttemptsWhileIterating checks that a loop over a task's attempts visits each one
// even if the loop removes them, because stopping an attempt may remove it immediately.
func TestRemoveAttemptsWhileIterating(t *testing.T) {
	machine := &machineState{worker: workers.NewWorker("m-1")}
	attempts := make(taskAttempts)
	for number := range uint64(3) {
		attempts.add(machine, &workers.Attempt{ID: workers.AttemptID{Number: number}})
	}
	var visited []uint64
	for _, placed := range attempts[0] {
		visited = append(visited, placed.attempt.ID.Number)
		attempts.remove(placed.attempt)
	}
	if len(visited) != 3 || visited[0] != 0 || visited[1] != 1 || visited[2] != 2 || len(attempts) != 0 {
		t.Errorf("visited %v, left %v, want 0, 1 and 2 visited and none left", visited, attempts)
	}
}

// TestSortedAttempts checks the order by task, then by machine.
func TestSortedAttempts(t *testing.T) {
	first, second := &machineState{worker: workers.NewWorker("m-1")}, &machineState{worker: workers.NewWorker("m-2")}
	attempts := make(taskAttempts)
	add := func(machine *machineState, task int) {
		attempts.add(machine, &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Index: task}}})
	}
	add(second, 1)
	add(second, 0)
	add(first, 1)
	sorted := attempts.sorted()
	want := []struct {
		machine *machineState
		task    int
	}{{second, 0}, {first, 1}, {second, 1}}
	for i, w := range want {
		if got := sorted[i]; got.machine != w.machine || got.attempt.ID.Task.Index != w.task {
			t.Errorf("position %d: task %d on %s", i, got.attempt.ID.Task.Index, got.machine.worker.Name)
		}
	}
}
