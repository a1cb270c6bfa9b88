package leader

import (
	"testing"

	"thornnotch/internal/workers"
)

// TestAttemptsMayBeRemovedWhileIterating: stopping an attempt may remove it at once, and
// who stops all attempts of a task must meet each.
func TestAttemptsMayBeRemovedWhileIterating(t *testing.T) {
	machine := &machineState{agent: workers.NewAgent("m-1")}
	attempts := make(taskAttempts)
	for number := range uint64(3) {
		attempts.add(machine, &workers.Attempt{ID: workers.AttemptID{Number: number}})
	}
	var met []uint64
	for _, placed := range attempts[0] {
		met = append(met, placed.attempt.ID.Number)
		attempts.remove(placed.attempt)
	}
	if len(met) != 3 || met[0] != 0 || met[1] != 1 || met[2] != 2 || len(attempts) != 0 {
		t.Errorf("met %v, left %v", met, attempts)
	}
}

// TestAttemptsAreSorted: by task, then by machine.
func TestAttemptsAreSorted(t *testing.T) {
	first, second := &machineState{agent: workers.NewAgent("m-1")}, &machineState{agent: workers.NewAgent("m-2")}
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
			t.Errorf("place %d: task %d on %s", i, got.attempt.ID.Task.Index, got.machine.agent.Name)
		}
	}
}
