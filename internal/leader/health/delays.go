package health

import "time"

// TaskDelays are the tasks of a job that must wait before they are tried again.
type TaskDelays struct{ delays []taskDelay }

type taskDelay struct {
	task  int
	until time.Time
}

// Add has a task wait until then.
func (d *TaskDelays) Add(task int, until time.Time) {
	d.delays = append(d.delays, taskDelay{task, until})
}

// Waiting tells whether a task has to wait. Delays that are over are dropped.
func (d *TaskDelays) Waiting(task int, now time.Time) bool {
	kept := d.delays[:0]
	found := false
	for _, delay := range d.delays {
		if now.Before(delay.until) {
			kept = append(kept, delay)
			found = found || delay.task == task
		}
	}
	d.delays = kept
	return found
}

// Empty tells whether no delay is listed; those that are over count until Waiting drops
// them.
func (d *TaskDelays) Empty() bool { return len(d.delays) == 0 }
