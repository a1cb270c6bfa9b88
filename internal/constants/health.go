package constants

import "time"

// Failed tasks: whether the machine or the job is at fault.
const (
	// RetryBase and RetryMax bound the pause before a failed task is tried again; it
	// doubles with each failure in a row.
	RetryBase = 1 * time.Second
	RetryMax  = 60 * time.Second
	// FaultyMachineJobs is the number of different jobs that must have failed on a machine
	// for it to count as faulty while none of them has done better elsewhere.
	FaultyMachineJobs = 3
	// FaultyJobMachines is the number of machines that a job must fail on, and succeed on
	// none, to count as faulty itself: faulty machines are few, so a job rarely meets three
	// of them before any other.
	FaultyJobMachines = 3
	// FaultyTaskMachines is the number of machines that a single task may fail on, while
	// others of its job succeed, before the task counts as faulty.
	FaultyTaskMachines = 3
	// FailureAttributionMargin is how much longer than the failed task another task of the
	// job must have run elsewhere to show that the job does well there: the way of a
	// heartbeat and the spread of run times before a faulty job fails.
	FailureAttributionMargin = 3 * time.Second
	// SuspectMachinePause is how long a machine gets no tasks after a failure of unknown
	// cause: long enough for other tasks of the job to run past that point.
	SuspectMachinePause = 8 * time.Second
	// FailureWindow is how long a failure is held against a machine.
	FailureWindow = 60 * time.Second
	// AvoidFor is how long a machine is avoided after a failure on it.
	AvoidFor = 60 * time.Second
)

// Stragglers: machines that run their tasks slowly.
const (
	// MaxRuntimeSamples is the number of run times kept for a job.
	MaxRuntimeSamples = 64
	// MinRuntimeSamples is the number of run times needed before they are compared.
	MinRuntimeSamples = 2
	// StragglerLikelyRatio and StragglerCertainRatio are how many times the typical run time
	// of its job a task must take to count as one signal, or as two, against its machine.
	// Tasks of one job differ by less than half, machines by a tenth.
	StragglerLikelyRatio  = 1.7
	StragglerCertainRatio = 2.3
	// StragglerSignals is the number of signals that make a machine a straggler.
	StragglerSignals = 2
	// StragglerSignalWindow is how long the signal of a finished task counts.
	StragglerSignalWindow = 60 * time.Second
	// StragglerPause is how long a straggler gets no tasks the first time; it doubles each
	// time, up to MaxStragglerPause.
	StragglerPause    = 45 * time.Second
	MaxStragglerPause = 5 * time.Minute
)
