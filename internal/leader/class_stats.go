package leader

import (
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// classStats is how the jobs of each class have come and fared of late.
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

// fade has what was counted count for less after some time.
func (s *classStats) fade(elapsed time.Duration) {
	s.arrivals.fade(elapsed)
	s.placementRates.fade(elapsed)
}

// classArrivals counts the jobs of each class, older ones for less.
type classArrivals map[string]float64

func (a classArrivals) add(class string) { a[class]++ }

// fade has what has come count for less after some time.
func (a classArrivals) fade(elapsed time.Duration) {
	for class := range a {
		a[class] *= 1 - elapsed.Seconds()/constants.ArrivalWindow.Seconds()
	}
}

// share is how many jobs of a class come, against the most frequent class.
func (a classArrivals) share(class string) float64 {
	most := 0.0
	for _, count := range a {
		most = max(most, count)
	}
	if most <= 0 {
		return 1
	}
	return max(a[class], 0) / most
}

// placementRates are the tasks of each class that are placed a second, older ones counted
// for less.
type placementRates map[string]float64

func (r placementRates) add(class string) { r[class] += 1 / constants.StartRateWindow.Seconds() }

// fade has what was placed count for less after some time.
func (r placementRates) fade(elapsed time.Duration) {
	for class := range r {
		r[class] *= 1 - elapsed.Seconds()/constants.StartRateWindow.Seconds()
	}
}

// runtimeRatios is, by class, how long tasks ran lately against what their owners
// expected.
type runtimeRatios map[string]float64

// record takes in how long a task of a job ran.
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

// expected is how long a job's tasks are expected to run: as its owner says, corrected
// within bounds by how the class has kept to that lately.
func (r runtimeRatios) expected(spec *jobs.Spec) time.Duration {
	ratio := 1.0
	if observed, ok := r[spec.Class]; ok {
		ratio = min(max(observed, 1/constants.MaxRuntimeRatio), constants.MaxRuntimeRatio)
	}
	return config.Seconds(spec.ExpectedS * ratio)
}
