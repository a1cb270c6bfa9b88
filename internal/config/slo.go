package config

// Kinds of service-level objectives. Others are ignored: new ones may come.
const (
	SLOWait       = "wait"      // a job's tasks started within a time
	SLOCompletion = "finished"  // a job done within a time
	SLODeadline   = "deadline"  // a job done by so many times its due time
	SLOGuarantee  = "guarantee" // what fits its team's guarantee started within a time
)

// SLO is one service-level objective of the users.
type SLO struct {
	// Kind is one of the SLO constants, or unknown here.
	Kind string `toml:"kind"`
	// Class is the class of jobs that it is about; SLOGuarantee has none.
	Class string `toml:"class"`
	// WithinS is the time, in seconds, of all kinds but SLODeadline.
	WithinS float64 `toml:"within_s"`
	// Share is the part of the jobs, or of the tasks, for which it is to be met, above 0
	// and at most 1.
	Share *float64 `toml:"share"`
	// DueTimeFactor is SLODeadline's; see DueFactor.
	DueTimeFactor *float64 `toml:"times"`
}

// DueFactor is by how many times its due time a job is to be done, for SLODeadline.
func (o SLO) DueFactor() float64 {
	if o.DueTimeFactor == nil {
		return 1
	}
	return *o.DueTimeFactor
}
