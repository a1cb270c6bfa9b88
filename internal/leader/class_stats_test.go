package leader

import (
	"math"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// TestRelativeClassCount checks that counts are relative to the most frequent class, and are 1
// for every class before any job has arrived, and that counts decay with time.
func TestRelativeClassCount(t *testing.T) {
	arrivals := make(classArrivals)
	if got := arrivals.relativeCount("x"); got != 1 {
		t.Errorf("relative count before any job has arrived: %v, want 1", got)
	}
	for range 4 {
		arrivals.add("x")
	}
	arrivals.add("y")
	for class, want := range map[string]float64{"x": 1, "y": 0.25, "z": 0} {
		if got := arrivals.relativeCount(class); got != want {
			t.Errorf("relative count of class %s: %v, want %v", class, got, want)
		}
	}
	arrivals.decay(constants.ArrivalCountTimeConstant / 4)
	if got := arrivals["x"]; math.Abs(got-3) > 1e-9 {
		t.Errorf("count of 4 jobs after a quarter of ArrivalCountTimeConstant: %v, want 3", got)
	}
}

// TestPlacementRatesConverge checks that at a steady rate of placements the estimate converges
// to that rate.
func TestPlacementRatesConverge(t *testing.T) {
	rates := make(placementRates)
	for range 200 {
		rates.decay(time.Second)
		for range 3 {
			rates.add("x")
		}
	}
	if got := rates["x"]; math.Abs(got-3) > 0.01 {
		t.Errorf("rate of 3 placements per second: %v, want about 3", got)
	}
}

// TestExpectedRuntimeCorrection checks that recent run times of a class correct owners'
// estimates, which are often wrong, within bounds.
func TestExpectedRuntimeCorrection(t *testing.T) {
	ratios := make(runtimeRatios)
	spec := &jobs.Spec{Class: "x", ExpectedS: 10}
	if got := ratios.expectedRuntime(spec); got != 10*time.Second {
		t.Errorf("expected run time without observations: %v, want 10s", got)
	}
	for range 100 {
		ratios.record(spec, 15*time.Second)
	}
	if deviation := ratios.expectedRuntime(spec) - 15*time.Second; deviation.Abs() > 100*time.Millisecond {
		t.Errorf("corrected run time: %v, want about 15s", ratios.expectedRuntime(spec))
	}
	for range 100 {
		ratios.record(spec, 900*time.Second)
	}
	if got := ratios.expectedRuntime(spec); got > 31*time.Second {
		t.Errorf("corrected run time exceeds its bound: %v, want at most 31s", got)
	}
}

// TestRuntimeRatiosIgnoreJobsWithoutEstimate checks that run times of a job without an
// estimate are not recorded for its class.
func TestRuntimeRatiosIgnoreJobsWithoutEstimate(t *testing.T) {
	ratios := make(runtimeRatios)
	ratios.record(&jobs.Spec{Class: "x"}, time.Minute)
	if len(ratios) != 0 {
		t.Errorf("ratios recorded without an estimate: %v", ratios)
	}
}
