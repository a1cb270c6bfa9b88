// Package reservations implements speculative slot reservation: when a task of an upstream job
// finishes, its slot is reserved for a task of the pipeline's next job, so that the pipeline
// does not lose its slots to other jobs at each barrier. "Paper" refers to "Speculative Slot
// Reservation: Enforcing Service Isolation for Dependent Data-Parallel Computations";
// docs/design.md lists the differences from it.
package reservations

import (
	"time"

	"thornnotch/internal/placement"
)

// Options configures slot reservation, from the operators' settings.
type Options struct {
	Enabled bool
	// Alpha is the shape α of the Pareto distribution that task run times are assumed to
	// follow; P is the probability that all tasks of a phase finish before the deadline
	// (paper, IV-B).
	Alpha, P float64
	// Threshold is a fraction of a phase's tasks, from 0 to 1. Further slots are pre-reserved
	// once more than this fraction has finished (R in the paper, III-B).
	Threshold float64
}

// Reservation is a slot on a machine that is reserved for a pipeline.
type Reservation struct {
	Machine    string
	Pipeline   placement.Pipeline
	Upstream   string // the job whose phase made the reservation
	Downstream string // the job that the slot is reserved for
	Priority   int    // of the downstream job (paper, III-B, "Support of priority scheduling")
	Resources  placement.Resources
	ExpiresAt  time.Time
}

// Downstream is a job that slots are reserved for.
type Downstream struct {
	Pipeline      placement.Pipeline
	Job           string
	Tasks         int // 0 if unknown
	Priority      int
	TaskResources placement.Resources
}

// tasksOrDefault returns the job's number of tasks n or, if it is unknown, that of the upstream
// job, m (paper, III-B, case 1).
func (d Downstream) tasksOrDefault(upstreamTasks int) int {
	if d.Tasks == 0 {
		return upstreamTasks
	}
	return d.Tasks
}

// FinishedTask describes the end of one task of an upstream job.
type FinishedTask struct {
	Job               string
	Tasks             int       // number of tasks of the upstream job: m in the paper
	UpstreamStartedAt time.Time // when the upstream job's first task started
	Runtime           time.Duration
	Machine           string
	// Downstreams contains the downstream jobs that have not started yet, in the order in
	// which they get slots. If users declare dependencies, there may be several.
	Downstreams []Downstream
	// Fits reports whether a task of the downstream job can and may use the freed slot.
	Fits func(Downstream) bool
	Now  time.Time
}
