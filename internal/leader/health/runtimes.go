package health

import (
	"slices"
	"time"

	"thornnotch/internal/constants"
)

// Runtimes is what a job's finished tasks tell of its run time.
//
// A machine may come to run its tasks much slower than others. Heartbeats tell no
// progress and owners' estimates are often wrong by half, so what shows it is
// the comparison with the other tasks of the same job. The paper runs a second
// copy of a slow task (section IV-C), which the protocol forbids; here the
// tasks of a machine that is found slow are saved, stopped and started
// elsewhere, and the machine gets no new ones for a while.
type Runtimes struct {
	samples []time.Duration // the latest, oldest first
	// median is that of the samples, zero when it must be computed anew.
	median time.Duration
}

// Add takes in a finished task's run time.
func (r *Runtimes) Add(ran time.Duration) {
	if len(r.samples) >= constants.MaxRuntimeSamples {
		r.samples = r.samples[1:]
	}
	r.samples = append(r.samples, ran)
	r.median = 0
}

// Samples is how many run times are known.
func (r *Runtimes) Samples() int { return len(r.samples) }

// Typical is the median run time, once enough of the job's tasks are done: the
// first finishers are its shortest tasks.
func (r *Runtimes) Typical(tasks int) (time.Duration, bool) {
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

// SlowSignals is how strongly the run time so far of one of the job's tasks speaks
// against its machine: 0 for nothing out of the ordinary, 2 for a clear case.
func (r *Runtimes) SlowSignals(ran time.Duration, tasks int) int {
	typical, ok := r.Typical(tasks)
	if !ok || typical <= 0 {
		return 0
	}
	switch ratio := float64(ran) / float64(typical); {
	case ratio > constants.StragglerCertainRatio:
		return 2
	case ratio > constants.StragglerLikelyRatio:
		return 1
	}
	return 0
}
