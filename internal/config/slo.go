package config

// Kinds of service-level objectives. Unknown kinds are ignored, since the platform may add new
// ones.
const (
	SLOWait       = "wait"      // the tasks of a job start within a time
	SLOCompletion = "finished"  // a job completes within a time
	SLODeadline   = "deadline"  // a job completes within a multiple of its deadline
	SLOGuarantee  = "guarantee" // tasks within the team's guarantee start within a time
)

// SLO is a service-level objective.
type SLO struct {
	// Kind is one of the SLO constants or an unknown kind.
	Kind string `toml:"kind"`
	// Class is the class of the jobs that the objective applies to; not used by SLOGuarantee.
	Class string `toml:"class"`
	// WithinS is the time in seconds; not used by SLODeadline.
	WithinS float64 `toml:"within_s"`
	// Share is the fraction of jobs or tasks that must meet the objective, greater than 0 and
	// at most 1.
	Share *float64 `toml:"share"`
	// DeadlineMultiple is the multiple of the job's deadline for SLODeadline; 1 if nil.
	DeadlineMultiple *float64 `toml:"times"`
}

// DeadlineFactor returns the multiple of its deadline within which a job must complete to meet
// an objective of kind SLODeadline.
func (o SLO) DeadlineFactor() float64 {
	if o.DeadlineMultiple == nil {
		return 1
	}
	return *o.DeadlineMultiple
}
