package leader

import (
	"cmp"
	"slices"

	"thornnotch/internal/workers"
)

// placedAttempt is an attempt with the machine that it is on.
type placedAttempt struct {
	machine *machineState
	attempt *workers.Attempt
}

// taskAttempts are a job's attempts not proven gone or exited, by task. A task has no
// entry while it has none.
type taskAttempts map[int][]placedAttempt

// add notes an attempt.
func (t taskAttempts) add(machine *machineState, attempt *workers.Attempt) {
	task := attempt.ID.Task.Index
	t[task] = append(t[task], placedAttempt{machine, attempt})
}

// remove drops an attempt.
func (t taskAttempts) remove(attempt *workers.Attempt) {
	task := attempt.ID.Task.Index
	// A new slice: who removes attempts may be iterating over the present one.
	kept := t[task][:0:0]
	for _, placed := range t[task] {
		if placed.attempt != attempt {
			kept = append(kept, placed)
		}
	}
	if len(kept) == 0 {
		delete(t, task)
	} else {
		t[task] = kept
	}
}

// sorted lists all attempts, by task, then by machine.
func (t taskAttempts) sorted() (list []placedAttempt) {
	for _, placed := range t {
		list = append(list, placed...)
	}
	slices.SortFunc(list, func(a, b placedAttempt) int {
		return cmp.Or(
			cmp.Compare(a.attempt.ID.Task.Index, b.attempt.ID.Task.Index),
			cmp.Compare(a.machine.agent.Name, b.machine.agent.Name),
		)
	})
	return list
}

// runningTasks counts the tasks of which an attempt is seen to run.
func (t taskAttempts) runningTasks() (n int) {
	for _, placed := range t {
		if slices.ContainsFunc(placed, func(p placedAttempt) bool { return hasBegun(p.attempt) }) {
			n++
		}
	}
	return n
}

// countByZone counts the attempts in each zone.
func (t taskAttempts) countByZone() map[string]int {
	zones := make(map[string]int)
	for _, placed := range t {
		for _, p := range placed {
			zones[p.machine.agent.Zone]++
		}
	}
	return zones
}
