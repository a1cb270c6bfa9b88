package leader

import (
	"cmp"
	"slices"

	"thornnotch/internal/workers"
)

// placedAttempt is an attempt and the machine it is placed on.
type placedAttempt struct {
	machine *machineState
	attempt *workers.Attempt
}

// taskAttempts holds a job's attempts, by task index, that are not known to be gone or to
// have exited. A task without attempts has no entry.
type taskAttempts map[int][]placedAttempt

// add adds an attempt of a task on a machine.
func (t taskAttempts) add(machine *machineState, attempt *workers.Attempt) {
	task := attempt.ID.Task.Index
	t[task] = append(t[task], placedAttempt{machine, attempt})
}

// remove removes an attempt.
func (t taskAttempts) remove(attempt *workers.Attempt) {
	task := attempt.ID.Task.Index
	// Filters into a new slice, as the caller may be iterating over the current one.
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

// sorted returns all attempts, sorted by task, then by machine.
func (t taskAttempts) sorted() (list []placedAttempt) {
	for _, placed := range t {
		list = append(list, placed...)
	}
	slices.SortFunc(list, func(a, b placedAttempt) int {
		return cmp.Or(
			cmp.Compare(a.attempt.ID.Task.Index, b.attempt.ID.Task.Index),
			cmp.Compare(a.machine.worker.Name, b.machine.worker.Name),
		)
	})
	return list
}

// runningTasks counts the tasks that have an attempt running or saving.
func (t taskAttempts) runningTasks() (n int) {
	for _, placed := range t {
		if slices.ContainsFunc(placed, func(p placedAttempt) bool { return isRunningOrSaving(p.attempt) }) {
			n++
		}
	}
	return n
}

// countByZone returns the number of attempts in each zone.
func (t taskAttempts) countByZone() map[string]int {
	zones := make(map[string]int)
	for _, placed := range t {
		for _, p := range placed {
			zones[p.machine.worker.Zone]++
		}
	}
	return zones
}
