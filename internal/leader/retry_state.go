package leader

import (
	"time"

	"thornnotch/internal/leader/health"
)

// retryState is when and where a job's tasks may be tried again.
type retryState struct {
	notBefore time.Time // none of its tasks before then; zero if nothing holds it back
	// delays are the tasks that must wait after failing again and again while the
	// others do well.
	delays health.TaskDelays
	avoid  map[string]time.Time // machines to avoid, until when
}

// backingOff tells whether the whole job has to wait.
func (r *retryState) backingOff(now time.Time) bool { return now.Before(r.notBefore) }

// waitUntil has the whole job wait until then, at least.
func (r *retryState) waitUntil(until time.Time) {
	if until.After(r.notBefore) {
		r.notBefore = until
	}
}

// resume ends a wait that is over; it tells whether one was.
func (r *retryState) resume(now time.Time) bool {
	if r.notBefore.IsZero() || !now.After(r.notBefore) {
		return false
	}
	r.notBefore = time.Time{}
	return true
}

// avoidMachine keeps the job from a machine until then.
func (r *retryState) avoidMachine(name string, until time.Time) { r.avoid[name] = until }

// machinesToAvoid names the machines that the job avoids, nil if there are none. Those
// that it need not avoid any longer are dropped.
func (r *retryState) machinesToAvoid(now time.Time) map[string]bool {
	var names map[string]bool
	for name, until := range r.avoid {
		if now.After(until) {
			delete(r.avoid, name)
			continue
		}
		if names == nil {
			names = make(map[string]bool)
		}
		names[name] = true
	}
	return names
}

// changesWithTime tells whether anything here ends by itself, so that the job's view may
// change although nothing has happened to the job.
func (r *retryState) changesWithTime() bool { return len(r.avoid) > 0 || !r.delays.Empty() }
