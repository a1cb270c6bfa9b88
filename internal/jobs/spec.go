package jobs

import "regexp"

// Job kinds.
const (
	// KindArray is a job array: independent tasks, each of which runs to completion.
	KindArray = "sweep"
	// KindGang is a gang: all tasks run at the same time or none does.
	KindGang = "gang"
	// KindService is a job array whose tasks run until the job is cancelled. The protocol's
	// page doesn't define it, but users submit it (docs/questions.md).
	KindService = "service"
)

// Priority classes, highest first.
const (
	PriorityClassProduction = "production"
	PriorityClassUrgent     = "urgent"
	PriorityClassStandard   = "standard"
	PriorityClassIdle       = "idle"
)

// Job statuses as reported to users. Done and cancelled are final: they never change.
const (
	// StatusPending is an open job without running tasks.
	StatusPending = "pending"
	// StatusRunning is an open job with at least one running task.
	StatusRunning = "running"
	// StatusDone is a job whose tasks are all done.
	StatusDone = "done"
	// StatusCancelled is a job that a user cancelled, or that depends on a cancelled one.
	StatusCancelled = "aborted"
)

// Wire names of the fields of a specification, as reported to users in errors. They equal the
// JSON tags of Spec and submission.
const (
	fieldID                  = "nameId"
	fieldClass               = "workload"
	fieldTeam                = "owner"
	fieldKind                = "shape"
	fieldPriorityClass       = "urgency"
	fieldTasks               = "pieces"
	fieldCPUs                = "vcpus"
	fieldGPUs                = "accelerators"
	fieldMemoryGB            = "ramGb"
	fieldImage               = "bundle"
	fieldImageGB             = "imageGb"
	fieldMachineTypes        = "rigTypes"
	fieldZone                = "hall"
	fieldSameZone            = "samePlace"
	fieldSpreadZones         = "apart"
	fieldAllowSpot           = "loaners"
	fieldExpectedS           = "expectS"
	fieldCheckpointIntervalS = "snapshotS"
	fieldCheckpointSaveS     = "stashS"
	fieldDeadlineS           = "dueS"
	// FieldDependsOn is exported because package userapi checks whether the dependencies exist.
	FieldDependsOn = "waitsOn"
)

// Spec is the specification of a job, as submitted and as recorded.
type Spec struct {
	// ID is "j-" and digits, chosen by the user. Repeated submissions of a job have the same
	// ID.
	ID string `json:"nameId"`
	// Class is the class of jobs to which the service-level objectives in the settings refer.
	Class string `json:"workload"`
	// Team is the team whose quota the job uses.
	Team string `json:"owner"`
	// Kind is one of the Kind constants.
	Kind string `json:"shape"`
	// PriorityClass is one of the PriorityClass constants.
	PriorityClass string `json:"urgency"`
	// Tasks is the number of tasks. They are numbered from 0.
	Tasks int `json:"pieces"`
	// CPUs, GPUs and MemoryGB are the resources that each task occupies on its machine.
	CPUs     float64 `json:"vcpus"`
	GPUs     float64 `json:"accelerators"`
	MemoryGB float64 `json:"ramGb"`
	// Image must be fetched by a machine before it can start a task; ImageGB is its size in
	// GB.
	Image   string  `json:"bundle"`
	ImageGB float64 `json:"imageGb"`
	// MachineTypes are the allowed machine types; nil allows any.
	MachineTypes []string `json:"rigTypes,omitempty"`
	// Zone is the only allowed zone; empty allows any.
	Zone string `json:"hall,omitempty"`
	// SameZone requires all tasks to run in one zone.
	SameZone bool `json:"samePlace,omitempty"`
	// SpreadZones requires that at most half of the tasks, rounded up, run in any one zone.
	SpreadZones bool `json:"apart,omitempty"`
	// AllowSpot allows the tasks to run on spot machines.
	AllowSpot bool `json:"loaners,omitempty"`
	// ExpectedS is the user's estimate of the run time of a task, in seconds, without the
	// image fetch.
	ExpectedS float64 `json:"expectS"`
	// CheckpointIntervalS is the progress, in seconds, after which a task saves a checkpoint.
	// 0 means that the task never saves one, not even when it is stopped.
	CheckpointIntervalS float64 `json:"snapshotS"`
	// CheckpointSaveS is how long a task takes to save a checkpoint when it is stopped, in
	// seconds.
	CheckpointSaveS float64 `json:"stashS"`
	// DeadlineS is the job's deadline in seconds after its submission; nil means none.
	DeadlineS *float64 `json:"dueS,omitempty"`
	// DependsOn lists the jobs that must be done before any task of this one starts, without
	// duplicates.
	DependsOn []string `json:"waitsOn,omitempty"`
}

// submission is a decoded but not yet validated Spec. Its fields are pointers, to distinguish
// missing fields from zero values.
type submission struct {
	ID                  *string  `json:"nameId"`
	Class               *string  `json:"workload"`
	Team                *string  `json:"owner"`
	Kind                *string  `json:"shape"`
	PriorityClass       *string  `json:"urgency"`
	Tasks               *int     `json:"pieces"`
	CPUs                *float64 `json:"vcpus"`
	GPUs                *float64 `json:"accelerators"`
	MemoryGB            *float64 `json:"ramGb"`
	Image               *string  `json:"bundle"`
	ImageGB             *float64 `json:"imageGb"`
	MachineTypes        []string `json:"rigTypes"`
	Zone                *string  `json:"hall"`
	SameZone            *bool    `json:"samePlace"`
	SpreadZones         *bool    `json:"apart"`
	AllowSpot           *bool    `json:"loaners"`
	ExpectedS           *float64 `json:"expectS"`
	CheckpointIntervalS *float64 `json:"snapshotS"`
	CheckpointSaveS     *float64 `json:"stashS"`
	DeadlineS           *float64 `json:"dueS"`
	DependsOn           []string `json:"waitsOn"`
}

var idPattern = regexp.MustCompile(`^j-[0-9]{1,20}$`)

// ValidID reports whether id has the form of a job ID.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Priority returns the priority of the jobs of a priority class: jobs of higher priority are
// scheduled first. An unknown class has the priority of PriorityClassIdle.
func Priority(class string) int {
	switch class {
	case PriorityClassProduction:
		return 3
	case PriorityClassUrgent:
		return 2
	case PriorityClassStandard:
		return 1
	}
	return 0
}

func validKind(kind string) bool {
	return kind == KindArray || kind == KindGang || kind == KindService
}

func validPriorityClass(class string) bool {
	return class == PriorityClassIdle || Priority(class) > 0
}
