package constants

import "time"

// Placement passes.
const (
	// MinPassInterval is the least time between two placement passes: short compared with a
	// heartbeat interval, long enough to batch a burst of heartbeats.
	MinPassInterval = 60 * time.Millisecond
	// PassIntervalFactor times the duration of the last pass is the least time between two
	// where that is more: placement then takes a quarter of the processor at most.
	PassIntervalFactor = 4
	// MaxPassInterval bounds the time between two passes, whatever the last one took.
	MaxPassInterval = 1200 * time.Millisecond
	// MaxViewAge is how old a machine's view for placement may be: estimates of the time
	// left change with time alone.
	MaxViewAge = 2 * time.Second
	// ViewAgeBaseMachines is the fleet up to which MaxViewAge holds (machines). Beyond it
	// the age grows with the fleet, so that as many views are rebuilt each second.
	ViewAgeBaseMachines = 2000
	// MaxPreemptionAttempts is how many waiting jobs one pass tries to make room for.
	MaxPreemptionAttempts = 32
	// MaxWaitingTasks bounds how many waiting tasks of a job one pass looks at.
	MaxWaitingTasks = 400
	// ResourceTolerance forgives rounding in sums of decimal amounts (in units of the amount).
	ResourceTolerance = 1e-6
)

// The cost of preemption.
const (
	// RestartCost is what a stopped task loses beside the time to save: it queues again and
	// may have to fetch its image anew.
	RestartCost = 10 * time.Second
	// GangRestartFactor multiplies RestartCost for gangs, which need whole machines at once.
	GangRestartFactor = 3
	// StartCountsAfter is how long a task must run for its start to count (protocol).
	StartCountsAfter = 30 * time.Second
	// EarlyStopCost is the extra cost of stopping a task before StartCountsAfter.
	EarlyStopCost = 5 * time.Second
	// MinRemainingEstimate is how long a task is at least expected to go on that has run for
	// as long as its owner expects.
	MinRemainingEstimate = 5 * time.Second
	// StopWeight is what a second of a whole machine's lost work weighs against a second of
	// waiting for an image there (ratio).
	StopWeight = 8.0
)

// Estimates of run times and arrivals.
const (
	// MaxRuntimeRatio is the largest factor by which run times are assumed to differ from
	// what owners expect, either way.
	MaxRuntimeRatio = 3.0
	// RuntimeRatioWeight is the weight of the newest run time in the moving average (ratio).
	RuntimeRatioWeight = 0.1
	// ArrivalWindow is how far back the jobs of each class are counted.
	ArrivalWindow = 5 * time.Minute
	// StartRateWindow is how far back the placed tasks of each class are counted to predict
	// how soon those that wait will be placed: a few run times of short tasks.
	StartRateWindow = 30 * time.Second
)

// Dependencies between jobs.
const (
	// ChainStep is the time between the end of a job and the start of its downstream job
	// that is not run time: a heartbeat, two records and a command.
	ChainStep = 3 * time.Second
	// MaxFinalReads bounds the final records of upstream jobs that are read at once.
	MaxFinalReads = 6
	// FinalReadRetry is the pause after such a read has failed.
	FinalReadRetry = 500 * time.Millisecond
)

// Speculative slot reservation.
const (
	// HoldAlpha, HoldP and HoldThreshold are the defaults of the operator settings alpha, p
	// and threshold (paper, section IV).
	HoldAlpha     = 1.6
	HoldP         = 0.4
	HoldThreshold = 0.8
	// MaxDownstreams is how many of a job's downstream jobs are considered when its tasks
	// end: a job may have thousands, and holds for a few take all the room that it leaves.
	MaxDownstreams = 64
	// MaxReservationDeadline bounds the deadline D of the paper, which grows without bound
	// (and out of a Duration) as P approaches 1.
	MaxReservationDeadline = 24 * time.Hour
	// ReservationPhaseRetention is how long a phase is remembered after its deadline: a
	// task that finishes late must not be taken for the first finisher of a new phase.
	ReservationPhaseRetention = time.Hour
)
