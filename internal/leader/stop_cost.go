package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// estimateStopCost estimates an attempt's remaining run time and the loss from stopping it,
// as time during which its resources are wasted.
func estimateStopCost(spec *jobs.Spec, attempt *workers.Attempt, now time.Time) (remaining, loss time.Duration) {
	expected := time.Duration(spec.ExpectedS * float64(time.Second))
	restart := constants.RestartCost
	if spec.Kind == jobs.KindGang {
		// The whole gang restarts, and whole machines are harder to find again.
		restart *= constants.GangRestartFactor * time.Duration(spec.Tasks)
	}
	if attempt.RunningSince.IsZero() {
		return expected, restart
	}
	ran := now.Sub(attempt.RunningSince)
	remaining = max(expected-ran, constants.MinRemainingEstimate)
	if spec.CheckpointIntervalS > 0 {
		loss = time.Duration(spec.CheckpointSaveS*float64(time.Second)) + constants.StopGrace
	} else {
		loss = ran
	}
	if ran < constants.StartCountsAfter {
		loss += constants.EarlyStopCost
	}
	return remaining, loss + restart
}
