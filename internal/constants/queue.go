package constants

import "time"

// The order of jobs within a priority.
const (
	// LateSlack is the slack of a job that has just missed its last objective.
	LateSlack = 90 * time.Second
	// LateSlackDecay is the number of seconds of further delay that reduce the slack of a late
	// job by one second.
	LateSlackDecay = 2
)

// Large gangs, which starve more easily than other jobs.
const (
	// GangBoostAfter is how long a gang waits before it may be boosted above all other jobs.
	// Draining whole machines for it takes most of the four minutes that users accept.
	GangBoostAfter = 60 * time.Second
	// MaxBoostedGangs is the maximum number of gangs that are boosted at a time.
	MaxBoostedGangs = 4
	// LargeGangLateAfter is the wait after which one of the largest gangs of a class counts
	// as late. It is slightly less than the four minutes that users accept.
	LargeGangLateAfter = 210 * time.Second
	// LargeGangLateShare is the fraction of late gangs above which a class's largest gangs
	// are preferred to other jobs of the same priority.
	LargeGangLateShare = 0.4
	// LargeGangCriticalShare is the fraction of late gangs above which a class's largest gangs
	// are preferred to all other jobs. The users' limit is one half.
	LargeGangCriticalShare = 0.55
	// LargeGangWaitDecay is the factor by which each new observation reduces the weight of
	// the earlier ones.
	LargeGangWaitDecay = 0.9
	// LargeGangPriorOnTime is the number of on-time gangs that the counts of a class start
	// with. It keeps a single late gang from triggering a boost.
	LargeGangPriorOnTime = 3.0
)
