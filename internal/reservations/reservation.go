// Package reservations is speculative slot reservation: when a task of an upstream job
// finishes, its slot is reserved for a task of the pipeline's next job, so that the
// pipeline does not lose its place to other jobs at each barrier. "Paper" means
// "Speculative Slot Reservation: Enforcing Service Isolation for Dependent Data-Parallel
// Computations"; docs/design.md tells what is kept of it and what is changed.
package reservations

import (
	"time"

	"thornnotch/internal/placement"
)

// Options are the operators' settings.
type Options struct {
	Enabled bool
	// Alpha is the shape α of the Pareto distribution that task run times are taken to
	// follow, P the probability that all tasks of a phase finish before the deadline
	// (paper, IV-B).
	Alpha, P float64
	// Threshold is the fraction of a phase's tasks that must have finished before further
	// slots are pre-reserved (R in the paper, III-B).
	Threshold float64
}

// Reservation is a slot on one machine reserved for a pipeline.
type Reservation struct {
	Machine    string
	Pipeline   placement.Pipeline
	Upstream   string // the job whose phase it was made for
	Downstream string // the job that it is for
	Priority   int    // the downstream's (paper, III-B, "Support of priority scheduling")
	Resources  placement.Resources
	ExpiresAt  time.Time
}

// Downstream is a job that slots are reserved for.
type Downstream struct {
	Pipeline      placement.Pipeline
	Job           string
	Tasks         int // 0: not known
	Priority      int
	TaskResources placement.Resources
}

// tasksOr is the job's number of tasks n; if not known, that of the upstream, m, is
// assumed (paper, III-B, case 1).
func (d Downstream) tasksOr(upstreamTasks int) int {
	if d.Tasks == 0 {
		return upstreamTasks
	}
	return d.Tasks
}

// TaskFinish is the end of one task of an upstream job.
type TaskFinish struct {
	Job               string
	Tasks             int       // of the upstream job: m in the paper
	UpstreamStartedAt time.Time // when the upstream's first task started
	Runtime           time.Duration
	Machine           string
	// Downstreams are the jobs after this one that still wait to start, the first one to
	// be served first: along edges that users name there may be several.
	Downstreams []Downstream
	// Fits tells whether a task of the downstream can and may take the freed slot.
	Fits func(Downstream) bool
	Now  time.Time
}
