package constants

import "time"

// Placement passes.
const (
	// MinPassInterval is the minimum time between two placement passes: short compared with a
	// heartbeat interval, but long enough to batch a burst of heartbeats.
	MinPassInterval = 60 * time.Millisecond
	// PassIntervalFactor times the duration of the last pass replaces MinPassInterval if it is
	// longer. It limits placement to a quarter of the CPU time.
	PassIntervalFactor = 4
	// MaxPassInterval is the upper limit of the minimum time between two passes, however long
	// the last pass took.
	MaxPassInterval = 1200 * time.Millisecond
	// MaxMachineViewAge is the age at which the placement view of an unchanged machine is
	// rebuilt, because the remaining run times in it change over time.
	MaxMachineViewAge = 2 * time.Second
	// MachineViewAgeBaseFleet is the number of machines up to which MaxMachineViewAge applies.
	// For larger fleets the age grows with the fleet, so that the rebuilds per second stay the
	// same.
	MachineViewAgeBaseFleet = 2000
	// MaxPreemptionAttempts is the maximum number of waiting jobs for which one pass looks for
	// tasks to preempt or machines to drain.
	MaxPreemptionAttempts = 32
	// MaxWaitingTasksPerJob is the maximum number of waiting tasks per array or service that one
	// pass considers.
	MaxWaitingTasksPerJob = 400
	// ResourceTolerance is the tolerance for rounding errors in sums of decimal amounts, in
	// the unit of the amount.
	ResourceTolerance = 1e-6
)

// The cost of preemption.
const (
	// RestartCost is the time that a stopped task loses in addition to saving its state or
	// repeating its work: it queues again and may have to fetch its image again.
	RestartCost = 10 * time.Second
	// GangRestartFactor times the number of tasks multiplies RestartCost for gangs. All tasks
	// of a gang restart, and it needs several whole machines at once.
	GangRestartFactor = 3
	// StartCountsAfter is how long a task must run for its start to count (protocol).
	StartCountsAfter = 30 * time.Second
	// EarlyStopCost is the additional cost of stopping a task before StartCountsAfter.
	EarlyStopCost = 5 * time.Second
	// MinRemainingEstimate is the minimum estimate of a task's remaining run time, used when
	// the task has run for as long as expected.
	MinRemainingEstimate = 5 * time.Second
	// StopLossWeight is the weight, when tasks are preempted, of each second for which a whole
	// machine's work is lost or waits for an image. Without preemption, a second of waiting
	// for an image has a weight of 1.
	StopLossWeight = 8.0
)

// Estimates of run times and arrivals.
const (
	// MaxRuntimeRatio is the largest factor by which run times are assumed to differ from
	// the expected ones, in either direction.
	MaxRuntimeRatio = 3.0
	// RuntimeRatioWeight is the weight of the latest run time in the moving average, from 0
	// to 1.
	RuntimeRatioWeight = 0.1
	// ArrivalCountTimeConstant is the time constant with which the count of arrived jobs of a
	// class decays.
	ArrivalCountTimeConstant = 5 * time.Minute
	// PlacementRateTimeConstant is the time constant with which the placement rate of a class
	// decays. The rate predicts how soon waiting tasks are placed. The time constant spans a
	// few run times of short tasks.
	PlacementRateTimeConstant = 30 * time.Second
)

// Dependencies between jobs.
const (
	// DownstreamStartDelay is the time between the end of a job and the start of its
	// downstream job. It covers a heartbeat, the writes of two records and a command.
	DownstreamStartDelay = 3 * time.Second
	// MaxFinalRecordReads is the maximum number of concurrent reads of upstream jobs' final
	// records.
	MaxFinalRecordReads = 6
	// FinalRecordRetryDelay is the delay before a failed read of a final record is retried.
	FinalRecordRetryDelay = 500 * time.Millisecond
)

// Speculative slot reservation.
const (
	// DefaultReservationAlpha, DefaultReservationP and DefaultReservationThreshold are the
	// defaults of the operator settings holds.alpha, holds.p and holds.threshold (paper,
	// section IV).
	DefaultReservationAlpha     = 1.6
	DefaultReservationP         = 0.4
	DefaultReservationThreshold = 0.8
	// MaxDownstreams is the maximum number of downstream jobs for which slots are considered
	// when a task of a job finishes. A job may have thousands, but reservations for a few
	// take all the slots that it frees.
	MaxDownstreams = 64
	// MaxReservationDeadline limits the deadline D of the paper, which otherwise overflows a
	// time.Duration as P approaches 1.
	MaxReservationDeadline = 24 * time.Hour
	// ReservationPhaseRetention is how long a phase is kept after its deadline, so that a
	// task that finishes late is not taken for the first one of a new phase.
	ReservationPhaseRetention = time.Hour
)
