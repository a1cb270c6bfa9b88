package constants

import "time"

// The order of jobs of equal priority.
const (
	// LateSlack is the slack of a job that has just missed its last objective.
	LateSlack = 90 * time.Second
	// LateSlackDecay is how many seconds of age reduce that slack by one second.
	LateSlackDecay = 2
)

// Large gangs, which starve more easily than other jobs.
const (
	// BoostAfter is how long a gang waits before it may be boosted above all others:
	// gathering whole machines takes most of the four minutes that users expect.
	BoostAfter = 60 * time.Second
	// MaxBoosted is how many gangs are boosted at once.
	MaxBoosted = 4
	// LargeGangLateAfter is the wait from which one of a class's largest gangs counts as
	// late: somewhat less than the four minutes that users expect.
	LargeGangLateAfter = 210 * time.Second
	// LargeGangLateShare is the part of late ones above which they are preferred to others
	// of their priority (ratio).
	LargeGangLateShare = 0.4
	// LargeGangCriticalShare is the part of late ones above which they are preferred to all
	// other jobs (ratio); the users' bound is a half.
	LargeGangCriticalShare = 0.55
	// LargeGangWaitDecay is the factor by which an observed wait loses weight with each
	// newer one.
	LargeGangWaitDecay = 0.9
	// LargeGangPriorOnTime is how many gangs are assumed to have started in time before any
	// was observed.
	LargeGangPriorOnTime = 3.0
)
