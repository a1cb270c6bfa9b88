package placement

import (
	"time"

	"thornnotch/internal/jobs"
)

// Snapshot is the input of a pass. The pass records its placements in the snapshot's machines,
// jobs and teams themselves: copying a few thousand machines would take longer than most
// passes.
type Snapshot struct {
	Now      time.Time
	Machines []*Machine
	Jobs     []*Job // with waiting tasks
	Teams    map[string]*Team
	// GangReserve is the number of empty on-demand machines that job arrays must leave to
	// gangs that can't use spot machines. It applies only to arrays that may use spot
	// machines.
	GangReserve int
	// StartRate is the recent number of placed tasks per second, by class. Classes without
	// placed tasks are absent.
	StartRate map[string]float64

	// exhaustive makes a pass examine all machines. Tests compare it with the pruned search.
	exhaustive bool
}

// Team is a team's quota and its usage, including reserved slots.
type Team struct {
	Name string
	// Guarantee and Limit are the quota; 0 means none. Memory is not limited.
	Guarantee, Limit Resources
	Used             Resources
	// Earmarked is the part of the limit that a pass keeps for a boosted gang. Jobs of a
	// priority below EarmarkMinPriority may still use it.
	Earmarked          Resources
	EarmarkMinPriority int
}

// Machine is a machine as a pass sees it.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	// Schedulable is set if new tasks may be placed on the machine. AttemptCapacity is the
	// maximum number of such tasks. It is limited because the machine's stored record must
	// hold all its attempts.
	Schedulable     bool
	AttemptCapacity int
	Total           Resources
	RunningTasks    []RunningTask
	Reserved        []ReservedSlot
	// ImageWait is the time until each image has been fetched. Images that are neither present
	// nor being fetched are absent.
	ImageWait map[string]time.Duration
	// FetchGBPerS is the image fetch rate in GB per second, ActiveFetches the number of
	// fetches in progress.
	FetchGBPerS   float64
	ActiveFetches int

	usage machineUsage
	state machineState
}

// RunningTask is a task that uses resources of a machine.
type RunningTask struct {
	Job       *Job   // nil if the job is unknown
	Index     int    // of the task within the job
	Attempt   uint64 // attempt number
	Resources Resources
	Stopping  bool // a stop was requested
	// Remaining is the expected time until the task ends, StopCost the work that stopping it
	// would lose.
	Remaining, StopCost time.Duration
}

// ReservedSlot is an amount of a machine's resources that is reserved for a pipeline.
type ReservedSlot struct {
	Pipeline  Pipeline
	Priority  int
	Resources Resources
	// Blocked is set while the job that the slot is reserved for may not start yet.
	Blocked bool
}

// Pipeline identifies jobs that share reservations. By default, these are one team's jobs of
// one class, in submission order. If users declare dependencies, they are the job named by
// Downstream, which determines the team and class, and all jobs that it depends on.
type Pipeline struct {
	Team, Class string
	Downstream  string // ID of the job that depends on the others; empty without declared dependencies
}

// Job is a job as a pass sees it.
type Job struct {
	Spec               *jobs.Spec
	Priority           int
	SubmissionRevision uint64 // revision of the job's record; ascending in the order of submission
	Submitted          time.Time
	Guaranteed         bool           // fits into its team's guarantee together with the team's earlier jobs
	WaitingTasks       []int          // indexes of the tasks to be placed
	TasksByZone        map[string]int // tasks that may be on machines, by zone
	// AvoidMachines names the machines that the job must not use.
	AvoidMachines map[string]bool
	// ReservedDownstreams names the jobs with reserved slots that depend on this one, directly
	// or indirectly.
	ReservedDownstreams map[string]bool
	// SinceLastStart is the time since a task of the job was last placed.
	SinceLastStart time.Duration
	BackingOff     bool // in backoff: no task of it may start now
	// ClaimedMachines names the machines that the previous pass claimed for the job.
	// AwaitingStops is set if they will have room for all of its waiting tasks once the
	// stopping tasks have ended.
	ClaimedMachines map[string]bool
	AwaitingStops   bool
	// Targets are the latest times after submission at which a start still meets a
	// service-level objective, in ascending order.
	Targets []time.Duration
	// Boost is set for a few gangs that have waited longest and are hard to place.
	Boost Boost
	// Late is set once no target can be met any more, and always for a job without targets.
	// Slack is the time left until the next target, weighted by class, or, for a late job, a
	// value that orders it among other jobs.
	Late  bool
	Slack time.Duration
	// TimeToTarget is the unweighted time left until the next target, or 0 if the job is late.
	TimeToTarget time.Duration

	state jobState
}

// Pipeline returns the pipeline of the job's team and class.
func (j *Job) Pipeline() Pipeline {
	return Pipeline{Team: j.Spec.Team, Class: j.Spec.Class}
}

// DependencyPipeline returns the pipeline of the job and the jobs that it depends on.
func (j *Job) DependencyPipeline() Pipeline {
	return Pipeline{j.Spec.Team, j.Spec.Class, j.Spec.ID}
}

// BelongsTo reports whether the job belongs to the pipeline.
func (j *Job) BelongsTo(pipeline Pipeline) bool {
	if pipeline.Downstream == "" {
		return pipeline == j.Pipeline()
	}
	return pipeline.Downstream == j.Spec.ID || j.ReservedDownstreams[pipeline.Downstream]
}

func (j *Job) isGang() bool { return j.Spec.Kind == jobs.KindGang }

// waitingResources returns the resources that all waiting tasks of the job request together.
func (j *Job) waitingResources() Resources {
	return TaskResources(j.Spec).Times(len(j.WaitingTasks))
}
