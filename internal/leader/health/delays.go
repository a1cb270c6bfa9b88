package health

import "time"

// TaskDelays holds the tasks of a job that may not be retried before a given time.
type TaskDelays struct{ delays []taskDelay }

type taskDelay struct {
	task  int
	until time.Time
}

// Add delays a task until the given time.
func (d *TaskDelays) Add(task int, until time.Time) {
	d.delays = append(d.delays, taskDelay{task, until})
}

// IsDelayed reports whether a task is delayed. It removes expired delays.
func (d *TaskDelays) IsDelayed(task int, now time.Time) bool {
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

// Empty reports whether there are no delays. Expired delays count until IsDelayed removes
// them.
func (d *TaskDelays) Empty() bool { return len(d.delays) == 0 }
