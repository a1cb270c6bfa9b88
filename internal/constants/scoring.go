package constants

import "time"

// Terms of a machine's score for a task, in seconds of delay that they are worth.
const (
	// OnDemandMachinePenalty keeps on-demand machines for jobs that can't use spot machines.
	OnDemandMachinePenalty = 4.0
	// ReservedSlotBonus has a job use the slots that are reserved for its pipeline before
	// other room.
	ReservedSlotBonus = 3.0
	// SpotSpreadPenalty spreads the tasks of job arrays that must fetch their image anyway
	// over more spot machines, up to a full one: the more machines have it, the sooner it
	// is there for the next tasks.
	SpotSpreadPenalty = 3.0
	// PartlyUsedBonus fills the machines that have the image one after the other.
	PartlyUsedBonus = 10.0
	// LastWholeMachinePenalty is the cost of breaking up the last whole machine for gangs
	// that can't use spot machines; it is divided by the number of such machines.
	LastWholeMachinePenalty = 30.0
	// LocalImageMaxWaitS is the wait for an image (seconds) up to which it counts as present.
	LocalImageMaxWaitS = 0.5
	// ClaimedMachineBonusS is by how much (seconds) another machine must be quicker before a
	// waiting gang leaves the machine that it has claimed.
	ClaimedMachineBonusS = 20.0
	// BoostedClaimBonusS is added to that for a boosted gang (seconds): it must finish with
	// the zone that it has begun to gather in.
	BoostedClaimBonusS = 300.0
	// DrainPenaltyS (seconds) puts a machine that must run empty first behind every machine
	// that has room for a waiting gang as soon as preempted tasks have ended: it is longer
	// than any other delay.
	DrainPenaltyS = 1e6
)

// Machines kept whole for gangs.
const (
	// GangReserveHorizon is how far ahead gangs are expected when whole machines are kept
	// for them: about the time that other machines need to become free.
	GangReserveHorizon = 45 * time.Second
	// GangReserveMaxAim is the longest expected start for which machines are kept: gangs
	// whose users accept a longer wait need none.
	GangReserveMaxAim = 100 * time.Second
	// GangReserveMaxShare is the largest part of all on-demand machines that is kept (ratio).
	GangReserveMaxShare = 0.5
	// MaxDrainingShare is the largest part of all machines that drains for gangs at a time
	// (ratio): each stands half empty meanwhile. The first gang always gets its own.
	MaxDrainingShare = 0.04
)
