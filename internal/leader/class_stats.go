package leader

import (
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// classShare is how many jobs of a class come, against the most frequent class.
func (l *Leader) classShare(class string) float64 {
	most := 0.0
	for _, count := range l.arrivals {
		most = max(most, count)
	}
	if most <= 0 {
		return 1
	}
	return max(l.arrivals[class], 0) / most
}

// placementRates are the tasks of each class that are placed a second, older ones counted
// for less.
type placementRates map[string]float64

func (r placementRates) add(class string) { r[class] += 1 / constants.StartRateWindow.Seconds() }

func (r placementRates) fade(d time.Duration) {
	for class := range r {
		r[class] *= 1 - d.Seconds()/constants.StartRateWindow.Seconds()
	}
}

// expectedRuntime is how long a job's tasks are expected to run: as its owner says, by how
// the class has kept to that lately.
func (l *Leader) expectedRuntime(job *jobState) time.Duration {
	ratio := 1.0
	if observed, ok := l.runtimeRatios[job.spec.Class]; ok {
		ratio = min(max(observed, 1/constants.MaxRuntimeRatio), constants.MaxRuntimeRatio)
	}
	return config.Seconds(job.spec.ExpectedS * ratio)
}

// noteRuntime notes how long a task ran against what its owner expected.
func (l *Leader) noteRuntime(job *jobState, ran time.Duration) {
	if job.spec.ExpectedS <= 0 {
		return
	}
	ratio := ran.Seconds() / job.spec.ExpectedS
	was, ok := l.runtimeRatios[job.spec.Class]
	if !ok {
		was = ratio
	}
	l.runtimeRatios[job.spec.Class] = was + (ratio-was)*constants.RuntimeRatioWeight
}
