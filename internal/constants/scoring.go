package constants

import "time"

// Terms of a machine's score for a task, in seconds of delay. A lower score is better.
const (
	// OnDemandMachinePenaltyS keeps on-demand machines free for jobs that can't use spot
	// machines.
	OnDemandMachinePenaltyS = 4.0
	// ReservedSlotBonusS makes a job prefer the slots that are reserved for its pipeline.
	ReservedSlotBonusS = 3.0
	// SpotSpreadPenaltyS is the penalty of a fully used spot machine for a task of an array
	// that must fetch its image there. It spreads the image over more machines, where later
	// tasks of the array find it.
	SpotSpreadPenaltyS = 3.0
	// UnusedCapacityPenaltyS is the penalty of an empty machine, compared with a fully used
	// one, for a task of an array, unless SpotSpreadPenaltyS applies. It fills machines one
	// after another and leaves others whole for gangs.
	UnusedCapacityPenaltyS = 10.0
	// LastWholeMachinePenaltyS divided by the number of empty on-demand machines is the penalty
	// of placing an array's task that could use a spot machine on one of them, since gangs that
	// can't use spot machines need them whole.
	LastWholeMachinePenaltyS = 30.0
	// LocalImageMaxWaitS plus the time since the job's last start is the longest wait for an
	// image, in seconds, on the machines that the tasks of an array get first. Other machines
	// are used only after all jobs of the same rank have been considered.
	LocalImageMaxWaitS = 0.5
	// ClaimedMachineBonusS is how much sooner, in seconds, another machine must be empty for
	// a waiting gang to give up a machine that it has claimed.
	ClaimedMachineBonusS = 20.0
	// BoostedClaimBonusS is added to ClaimedMachineBonusS for a boosted gang, in seconds. The
	// gang must not abandon the zone in which it has started to claim machines.
	BoostedClaimBonusS = 300.0
	// DrainPenaltyS is the penalty, in seconds, of a machine that has to drain first. It
	// exceeds any other delay, so a gang prefers every machine that is free as soon as
	// preempted tasks have ended.
	DrainPenaltyS = 1e6
)

// Empty machines that are kept free for gangs.
const (
	// GangReserveHorizon is the period for which arriving gangs are predicted: about the time
	// until other machines become free.
	GangReserveHorizon = 45 * time.Second
	// GangReserveMaxWait is the longest wait objective for which machines are kept free. Gangs
	// whose users accept a longer wait do not need it.
	GangReserveMaxWait = 100 * time.Second
	// GangReserveMaxShare is the largest fraction of the on-demand machines that is kept free.
	GangReserveMaxShare = 0.5
	// MaxDrainingShare is the largest fraction of all machines that drain for gangs at a time,
	// as each is about half empty meanwhile. The first gang may always drain its machines.
	MaxDrainingShare = 0.04
)
