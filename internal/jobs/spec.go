package jobs

import "regexp"

// Kinds of jobs.
const (
	// KindArray is a job array: independent tasks, each of which runs to completion.
	KindArray = "sweep"
	// KindGang is a gang: all tasks run at the same time or none does.
	KindGang = "gang"
	// KindService is a job array whose tasks run until the job is cancelled. The
	// protocol's page does not name it, its users send it (docs/questions.md).
	KindService = "service"
)

// Priority classes of jobs, highest first.
const (
	PriorityClassProduction = "production"
	PriorityClassUrgent     = "urgent"
	PriorityClassStandard   = "standard"
	PriorityClassIdle       = "idle"
)

// Statuses of a job as users see them. Done and cancelled are final: they never change.
const (
	// StatusPending is an accepted job of which no task runs.
	StatusPending = "pending"
	// StatusRunning is an open job of which a task runs.
	StatusRunning = "running"
	// StatusDone is a job whose tasks are all done.
	StatusDone = "done"
	// StatusCancelled is a job that its user cancelled, or that depended on one that was.
	StatusCancelled = "aborted"
)

// Wire names of a specification's fields, as users are told of them in errors. They are the
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
	fieldSaveS               = "stashS"
	fieldDueS                = "dueS"
	// FieldDependsOn is exported as whether these jobs exist is checked outside this package.
	FieldDependsOn = "waitsOn"
)

// Spec is a job as users submit it and as it is recorded.
type Spec struct {
	// ID is "j-" and digits, chosen by the user; a repeated submission bears the same one.
	ID string `json:"nameId"`
	// Class is the class of jobs that the settings' service-level objectives name.
	Class string `json:"workload"`
	// Team is the team whose quota counts.
	Team string `json:"owner"`
	// Kind is one of the Kind constants.
	Kind string `json:"shape"`
	// PriorityClass is one of the PriorityClass constants.
	PriorityClass string `json:"urgency"`
	// Tasks is the number of tasks; they are numbered from 0.
	Tasks int `json:"pieces"`
	// CPUs, GPUs and MemoryGB are what each task takes of its machine.
	CPUs     float64 `json:"vcpus"`
	GPUs     float64 `json:"accelerators"`
	MemoryGB float64 `json:"ramGb"`
	// Image is what a machine must have fetched before a task starts on it; ImageGB is
	// its size in GB.
	Image   string  `json:"bundle"`
	ImageGB float64 `json:"imageGb"`
	// MachineTypes are the allowed machine types; nil allows any.
	MachineTypes []string `json:"rigTypes,omitempty"`
	// Zone is the only allowed zone; empty allows any.
	Zone string `json:"hall,omitempty"`
	// SameZone demands that all tasks are in one zone.
	SameZone bool `json:"samePlace,omitempty"`
	// SpreadZones demands that at most half of the tasks, rounded up, are in one zone.
	SpreadZones bool `json:"apart,omitempty"`
	// AllowSpot allows spot machines.
	AllowSpot bool `json:"loaners,omitempty"`
	// ExpectedS is the user's estimate of a task's run time, in seconds, without the
	// image fetch.
	ExpectedS float64 `json:"expectS"`
	// CheckpointIntervalS is the progress, in seconds, after which a task saves a
	// checkpoint by itself; 0: it never saves, also not when it is stopped.
	CheckpointIntervalS float64 `json:"snapshotS"`
	// SaveS is how long, in seconds, a task takes to save when it is stopped.
	SaveS float64 `json:"stashS"`
	// DueS is when the job should be done, in seconds from its submission; nil: no deadline.
	DueS *float64 `json:"dueS,omitempty"`
	// DependsOn are the jobs that must be done before any task of this one starts,
	// each once.
	DependsOn []string `json:"waitsOn,omitempty"`
}

// submission is a Spec on the wire, before its check. It has pointers so that a missing
// field differs from a zero one.
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
	SaveS               *float64 `json:"stashS"`
	DueS                *float64 `json:"dueS"`
	DependsOn           []string `json:"waitsOn"`
}

var idPattern = regexp.MustCompile(`^j-[0-9]{1,20}$`)

// ValidID reports whether id has the form of a job ID.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Priority orders priority classes: the higher one is scheduled first. A class that is not
// known counts as PriorityClassIdle.
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

func knownKind(kind string) bool {
	return kind == KindArray || kind == KindGang || kind == KindService
}

func knownPriorityClass(class string) bool {
	return class == PriorityClassIdle || Priority(class) > 0
}
