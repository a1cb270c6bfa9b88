package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// estimateStopCost estimates how long an attempt goes on, and what stopping it throws
// away, in seconds of the room that it takes.
func (l *Leader) estimateStopCost(j *jobState, a *workers.Attempt, now time.Time) (left, loss time.Duration) {
	expect := time.Duration(j.spec.ExpectedS * float64(time.Second))
	again := constants.RestartCost
	if j.spec.Kind == jobs.KindGang {
		// The whole gang goes, and finds whole machines again less easily.
		again *= constants.GangRestartFactor * time.Duration(j.spec.Tasks)
	}
	if a.RunningSince.IsZero() {
		return expect, again
	}
	ran := now.Sub(a.RunningSince)
	left = max(expect-ran, 5*time.Second)
	if j.spec.CheckpointIntervalS > 0 {
		loss = time.Duration(j.spec.SaveS*float64(time.Second)) + constants.StopGrace
	} else {
		loss = ran
	}
	if ran < constants.StartCountsAfter {
		loss += constants.EarlyStopCost
	}
	return left, loss + again
}
