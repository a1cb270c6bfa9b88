package constants

import "time"

// Failed tasks: attribution of failures to machines or jobs.
const (
	// MinTaskRetryDelay and MaxTaskRetryDelay bound the backoff before a failed task is
	// retried. It doubles with each consecutive failure.
	MinTaskRetryDelay = 1 * time.Second
	MaxTaskRetryDelay = 60 * time.Second
	// FaultyMachineMinJobs is the number of different jobs that must have failed on a machine
	// for it to count as faulty if none of them has run longer elsewhere.
	FaultyMachineMinJobs = 3
	// FaultyJobMinMachines is the number of machines on which a job without any success must
	// fail to count as faulty. Faulty machines are rare, so a job is unlikely to run on three
	// of them before it runs on a healthy one.
	FaultyJobMinMachines = 3
	// FaultyTaskMaxFailures is the number of failures of a task, normally each on a different
	// machine, above which the task itself counts as faulty if other tasks of its job succeed.
	FaultyTaskMaxFailures = 3
	// FailureAttributionMargin is how much longer than the failed task another task of the
	// job must have run elsewhere for the failure to be attributed to the machine. It covers
	// heartbeat delays and the variation in when a faulty job fails.
	FailureAttributionMargin = 3 * time.Second
	// SuspectMachinePause is how long a machine gets no tasks after a failure of unknown
	// cause. Meanwhile other tasks of the job run past the point of failure.
	SuspectMachinePause = 8 * time.Second
	// FailureWindow is the period for which a failure counts against a machine.
	FailureWindow = 60 * time.Second
	// AvoidMachineFor is how long a job avoids a machine after failing on it.
	AvoidMachineFor = 60 * time.Second
)

// Stragglers: machines that run their tasks slowly.
const (
	// MaxRuntimeSamples is the maximum number of run times kept per job.
	MaxRuntimeSamples = 64
	// MinRuntimeSamples is the minimum number of run times from which a median is taken. For a
	// large job the minimum is half the number of its tasks or half of MaxRuntimeSamples,
	// whichever is smaller.
	MinRuntimeSamples = 2
	// StragglerLikelyRatio and StragglerCertainRatio are the ratios of a task's run time to
	// the median of its job above which the task gives one signal, or two, against its
	// machine. Run times normally differ by less than half between the tasks of a job and by
	// a tenth between machines.
	StragglerLikelyRatio  = 1.7
	StragglerCertainRatio = 2.3
	// StragglerSignals is the number of signals at which a machine counts as a straggler.
	StragglerSignals = 2
	// StragglerSignalWindow is how long the signal of a finished task counts.
	StragglerSignalWindow = 60 * time.Second
	// StragglerPause is how long a straggler gets no new tasks the first time. The pause
	// doubles each time, up to MaxStragglerPause.
	StragglerPause    = 45 * time.Second
	MaxStragglerPause = 5 * time.Minute
)
