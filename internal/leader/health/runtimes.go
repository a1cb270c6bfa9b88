package health

import (
	"slices"
	"time"

	"thornnotch/internal/constants"
)

// Runtimes holds the run times of a job's finished tasks, to detect slow machines.
//
// A machine may start to run its tasks much more slowly than others. Heartbeats report no
// progress and users' estimates are often wrong by half, so a task is compared with the other
// tasks of its job instead. The paper on speculative slot reservation (see package
// reservations) proposes to run a second copy of a slow task (section IV-C), which the protocol
// forbids. Here the tasks of a slow machine are saved, stopped and started elsewhere, and the
// machine gets no new tasks for a while.
type Runtimes struct {
	samples []time.Duration // the latest run times, oldest first
	// median caches the median of the samples; zero means that it must be recomputed.
	median time.Duration
}

// Add adds the run time of a finished task.
func (r *Runtimes) Add(ran time.Duration) {
	if len(r.samples) >= constants.MaxRuntimeSamples {
		r.samples = r.samples[1:]
	}
	r.samples = append(r.samples, ran)
	r.median = 0
}

// Samples returns the number of run times.
func (r *Runtimes) Samples() int { return len(r.samples) }

// Median returns the median run time of a job with the given number of tasks. It reports false
// until enough of them are done, because the first tasks to finish are the shortest ones.
func (r *Runtimes) Median(tasks int) (time.Duration, bool) {
	if len(r.samples) < constants.MinRuntimeSamples || 2*len(r.samples) < min(tasks, constants.MaxRuntimeSamples) {
		return 0, false
	}
	if r.median == 0 {
		sorted := slices.Clone(r.samples)
		slices.Sort(sorted)
		r.median = sorted[len(sorted)/2]
	}
	return r.median, true
}

// SlowSignals rates how strongly the run time of one of the job's tasks suggests that its
// machine is slow: 0 if the run time is ordinary, 1 if slowness is likely, 2 if it is nearly
// certain.
func (r *Runtimes) SlowSignals(ran time.Duration, tasks int) int {
	median, ok := r.Median(tasks)
	if !ok || median <= 0 {
		return 0
	}
	switch ratio := float64(ran) / float64(median); {
	case ratio > constants.StragglerCertainRatio:
		return 2
	case ratio > constants.StragglerLikelyRatio:
		return 1
	}
	return 0
}
