package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// estimateStopCost estimates how long an attempt goes on, and what stopping it throws
// away, in time of the resources that it takes.
func estimateStopCost(spec *jobs.Spec, attempt *workers.Attempt, now time.Time) (remaining, loss time.Duration) {
	expected := time.Duration(spec.ExpectedS * float64(time.Second))
	restart := constants.RestartCost
	if spec.Kind == jobs.KindGang {
		// The whole gang goes, and finds whole machines again less easily.
		restart *= constants.GangRestartFactor * time.Duration(spec.Tasks)
	}
	if attempt.RunningSince.IsZero() {
		return expected, restart
	}
	ran := now.Sub(attempt.RunningSince)
	remaining = max(expected-ran, constants.MinRemainingEstimate)
	if spec.CheckpointIntervalS > 0 {
		loss = time.Duration(spec.SaveS*float64(time.Second)) + constants.StopGrace
	} else {
		loss = ran
	}
	if ran < constants.StartCountsAfter {
		loss += constants.EarlyStopCost
	}
	return remaining, loss + restart
}
