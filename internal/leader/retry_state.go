package leader

import (
	"time"

	"thornnotch/internal/leader/health"
)

// retryState restricts when and where a job's tasks may be retried.
type retryState struct {
	notBefore time.Time // end of the whole job's backoff; zero if there is none
	// delays holds back single tasks that fail repeatedly while the job's other tasks
	// succeed.
	delays health.TaskDelays
	avoid  map[string]time.Time // when the job may use each avoided machine again, by name
}

// backingOff reports whether the whole job is in backoff.
func (r *retryState) backingOff(now time.Time) bool { return now.Before(r.notBefore) }

// waitUntil extends the job's backoff to until; it never shortens it.
func (r *retryState) waitUntil(until time.Time) {
	if until.After(r.notBefore) {
		r.notBefore = until
	}
}

// clearElapsedBackoff clears an elapsed backoff and reports whether there was one.
func (r *retryState) clearElapsedBackoff(now time.Time) bool {
	if r.notBefore.IsZero() || !now.After(r.notBefore) {
		return false
	}
	r.notBefore = time.Time{}
	return true
}

// avoidMachine excludes a machine from the job's placements until the given time.
func (r *retryState) avoidMachine(name string, until time.Time) { r.avoid[name] = until }

// machinesToAvoid returns the set of machines that the job must avoid, or nil if there are
// none. It removes expired entries.
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

// changesWithTime reports whether any entry may expire, so that the job's view has to be
// refreshed even if the job itself has not changed.
func (r *retryState) changesWithTime() bool { return len(r.avoid) > 0 || !r.delays.Empty() }
