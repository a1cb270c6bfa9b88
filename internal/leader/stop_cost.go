package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// estimateStopCost estimates how long an attempt goes on, and what stopping it throws
// away, in seconds of the room that it takes.
func (l *Leader) estimateStopCost(job *jobState, attempt *workers.Attempt, now time.Time) (left, loss time.Duration) {
	expect := time.Duration(job.spec.ExpectedS * float64(time.Second))
	again := constants.RestartCost
	if job.spec.Kind == jobs.KindGang {
		// The whole gang goes, and finds whole machines again less easily.
		again *= constants.GangRestartFactor * time.Duration(job.spec.Tasks)
	}
	if attempt.RunningSince.IsZero() {
		return expect, again
	}
	ran := now.Sub(attempt.RunningSince)
	left = max(expect-ran, 5*time.Second)
	if job.spec.CheckpointIntervalS > 0 {
		loss = time.Duration(job.spec.SaveS*float64(time.Second)) + constants.StopGrace
	} else {
		loss = ran
	}
	if ran < constants.StartCountsAfter {
		loss += constants.EarlyStopCost
	}
	return left, loss + again
}
