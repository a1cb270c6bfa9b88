package leader

import (
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// classStats holds recent statistics for each job class.
type classStats struct {
	arrivals       classArrivals
	placementRates placementRates
	runtimeRatios  runtimeRatios
	gangWaits      gangWaits
}

func newClassStats() classStats {
	return classStats{
		arrivals:       make(classArrivals),
		placementRates: make(placementRates),
		runtimeRatios:  make(runtimeRatios),
		gangWaits:      make(gangWaits),
	}
}

// decay reduces the weight of earlier arrivals and placements for the time elapsed since the
// last call.
func (s *classStats) decay(elapsed time.Duration) {
	s.arrivals.decay(elapsed)
	s.placementRates.decay(elapsed)
}

// classArrivals counts the jobs of each class. Counts decay, so older jobs weigh less.
type classArrivals map[string]float64

func (a classArrivals) add(class string) { a[class]++ }

// decay reduces all counts by the fraction elapsed/ArrivalCountTimeConstant.
func (a classArrivals) decay(elapsed time.Duration) {
	for class := range a {
		a[class] *= 1 - elapsed.Seconds()/constants.ArrivalCountTimeConstant.Seconds()
	}
}

// relativeCount returns the number of jobs of a class relative to that of the most frequent
// class. It returns 1 if no jobs have been counted yet.
func (a classArrivals) relativeCount(class string) float64 {
	maxCount := 0.0
	for _, count := range a {
		maxCount = max(maxCount, count)
	}
	if maxCount <= 0 {
		return 1
	}
	return max(a[class], 0) / maxCount
}

// placementRates estimates how many tasks of each class are placed per second. Older
// placements weigh less.
type placementRates map[string]float64

func (r placementRates) add(class string) {
	r[class] += 1 / constants.PlacementRateTimeConstant.Seconds()
}

// decay reduces all rates by the fraction elapsed/PlacementRateTimeConstant.
func (r placementRates) decay(elapsed time.Duration) {
	for class := range r {
		r[class] *= 1 - elapsed.Seconds()/constants.PlacementRateTimeConstant.Seconds()
	}
}

// runtimeRatios is a moving average, by class, of how long tasks ran relative to their owners'
// estimates.
type runtimeRatios map[string]float64

// record updates the average of the job's class with the run time of one of the job's tasks.
// Jobs without an estimate are ignored.
func (r runtimeRatios) record(spec *jobs.Spec, ran time.Duration) {
	if spec.ExpectedS <= 0 {
		return
	}
	ratio := ran.Seconds() / spec.ExpectedS
	previous, ok := r[spec.Class]
	if !ok {
		previous = ratio
	}
	r[spec.Class] = previous + (ratio-previous)*constants.RuntimeRatioWeight
}

// expectedRuntime returns the expected run time of the job's tasks: the owner's estimate,
// corrected by the recent ratio of its class. The correction is bounded in both directions.
func (r runtimeRatios) expectedRuntime(spec *jobs.Spec) time.Duration {
	ratio := 1.0
	if observed, ok := r[spec.Class]; ok {
		ratio = min(max(observed, 1/constants.MaxRuntimeRatio), constants.MaxRuntimeRatio)
	}
	return config.Seconds(spec.ExpectedS * ratio)
}
