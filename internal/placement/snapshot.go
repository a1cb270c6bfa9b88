package placement

import (
	"time"

	"thornnotch/internal/jobs"
)

// Snapshot is all that one pass looks at. The pass books what it places on the snapshot's
// machines, jobs and teams themselves: copying some thousand machines would take longer
// than most passes do.
type Snapshot struct {
	Now      time.Time
	Machines []*Machine
	Jobs     []*Job
	Teams    map[string]*Team
	// ReservedMachines is how many empty on-demand machines array tasks that may use spot
	// machines leave to gangs that can use no others.
	ReservedMachines int
	// StartRate is how many tasks of each class have been placed per second lately; a
	// class not named has had none.
	StartRate map[string]float64

	// exhaustive has all machines examined where a pass need not; tests compare both.
	exhaustive bool
}

// Team is one team's quota and what it uses, reserved slots included.
type Team struct {
	Name string
	// Guarantee and Limit are its quota; 0 means none. Memory is not limited.
	Guarantee, Limit Resources
	Used             Resources
	// Promised is the part of the limit that the pass keeps for a boosted gang, from jobs
	// whose priority is at least PromisedBelow.
	Promised      Resources
	PromisedBelow int
}

// Machine is a machine as placement sees it.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	// Schedulable tells whether new tasks may be placed here, AttemptCapacity how many at
	// most: the machine's record must hold them all.
	Schedulable     bool
	AttemptCapacity int
	Total           Resources
	RunningTasks    []RunningTask
	Reserved        []ReservedSlot
	// ImageWait tells how long an image has still to be fetched; an image not named is
	// not there.
	ImageWait map[string]time.Duration
	// FetchGBPerS is the image fetch rate in GB per second, ActiveFetches the number of
	// fetches under way.
	FetchGBPerS   float64
	ActiveFetches int

	usage machineUsage
	state machineState
}

// RunningTask is a task that occupies a machine.
type RunningTask struct {
	Job       *Job
	Index     int
	Attempt   uint64
	Resources Resources
	Stopping  bool // told to stop
	// Remaining is how long it is expected to go on, StopCost the work that stopping it
	// would throw away.
	Remaining, StopCost time.Duration
}

// ReservedSlot is room on a machine that is reserved for a pipeline.
type ReservedSlot struct {
	Pipeline  Pipeline
	Priority  int
	Resources Resources
	// Blocked is set while the job that it is for may not start yet.
	Blocked bool
}

// Pipeline is one team's jobs of one class, in submission order. Where users name the
// edges it is what ends in one job: that job, its team and class, and all jobs that it
// depends on.
type Pipeline struct {
	Team, Class string
	Downstream  string // the job that depends on the others, along named edges
}

// Job is a job with tasks to start.
type Job struct {
	Spec         *jobs.Spec
	Priority     int
	Order        uint64 // revision of its submission
	Submitted    time.Time
	Guaranteed   bool // fits its team's guarantee together with the team's earlier jobs
	WaitingTasks []int
	TasksByZone  map[string]int // tasks that may be on machines, by zone
	// AvoidMachines are machines, by name, that the job must not use.
	AvoidMachines map[string]bool
	// ReservedDownstreams are the jobs with slots reserved for them that depend on this
	// one, directly or through others.
	ReservedDownstreams map[string]bool
	// SinceLastStart is for how long none of its tasks has been placed.
	SinceLastStart time.Duration
	Blocked        bool // may not start now: in backoff, or an old attempt is not proven gone
	// ClaimedMachines are the machines that the last pass kept for the job; Draining is
	// set if these will have room for all of it.
	ClaimedMachines map[string]bool
	Draining        bool
	// Targets are the latest times after submission at which the job can start and still
	// meet one service-level objective, in rising order.
	Targets []time.Duration
	// Boost is set for a few gangs that have waited longest and are hard to place.
	Boost Boost
	// Late is set once no target can be met any more; Slack is the time left until the
	// next one (weighted by class) or, if late, the job's place among the late.
	Late  bool
	Slack time.Duration
	// TimeToTarget is the time left to the next target, not weighted; zero when late.
	TimeToTarget time.Duration

	state jobState
}

// Pipeline is the pipeline that the job belongs to by its team and class.
func (j *Job) Pipeline() Pipeline {
	return Pipeline{Team: j.Spec.Team, Class: j.Spec.Class}
}

// EdgePipeline is the pipeline that ends in the job by the edges that users name.
func (j *Job) EdgePipeline() Pipeline {
	return Pipeline{j.Spec.Team, j.Spec.Class, j.Spec.ID}
}

// Owns tells whether the job's tasks are the pipeline's own.
func (j *Job) Owns(pipeline Pipeline) bool {
	if pipeline.Downstream == "" {
		return pipeline == j.Pipeline()
	}
	return pipeline.Downstream == j.Spec.ID || j.ReservedDownstreams[pipeline.Downstream]
}

func (j *Job) isGang() bool { return j.Spec.Kind == jobs.KindGang }

// waitingResources is what all tasks of the job that still wait request together.
func (j *Job) waitingResources() Resources {
	return TaskResources(j.Spec).Times(len(j.WaitingTasks))
}
