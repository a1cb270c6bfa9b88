package leader

import (
	"math"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// TestClassShare: against the most frequent class, and 1 for all before any job came.
func TestClassShare(t *testing.T) {
	arrivals := make(classArrivals)
	if got := arrivals.share("x"); got != 1 {
		t.Errorf("before any job: %v", got)
	}
	for range 4 {
		arrivals.add("x")
	}
	arrivals.add("y")
	for class, want := range map[string]float64{"x": 1, "y": 0.25, "z": 0} {
		if got := arrivals.share(class); got != want {
			t.Errorf("share of %s: %v, want %v", class, got, want)
		}
	}
	arrivals.fade(constants.ArrivalWindow / 4)
	if got := arrivals["x"]; math.Abs(got-3) > 1e-9 {
		t.Errorf("4 jobs count as %v after a quarter of the window, want 3", got)
	}
}

// TestPlacementRates: what is placed steadily settles at its rate.
func TestPlacementRates(t *testing.T) {
	rates := make(placementRates)
	for range 200 {
		rates.fade(time.Second)
		for range 3 {
			rates.add("x")
		}
	}
	if got := rates["x"]; math.Abs(got-3) > 0.01 {
		t.Errorf("3 placed a second are shown as %v", got)
	}
}

// TestExpectationsAreCorrected: owners' estimates are often wrong; what the class
// showed lately corrects them, within bounds.
func TestExpectationsAreCorrected(t *testing.T) {
	ratios := make(runtimeRatios)
	spec := &jobs.Spec{Class: "x", ExpectedS: 10}
	if got := ratios.expected(spec); got != 10*time.Second {
		t.Errorf("at first %v", got)
	}
	for range 100 {
		ratios.record(spec, 15*time.Second)
	}
	if off := ratios.expected(spec) - 15*time.Second; off.Abs() > 100*time.Millisecond {
		t.Errorf("corrected to %v", ratios.expected(spec))
	}
	for range 100 {
		ratios.record(spec, 900*time.Second)
	}
	if got := ratios.expected(spec); got > 31*time.Second {
		t.Errorf("without bounds: %v", got)
	}
}

// TestRuntimeRatiosNeedAnExpectation: a job whose owner expects nothing tells nothing of
// its class.
func TestRuntimeRatiosNeedAnExpectation(t *testing.T) {
	ratios := make(runtimeRatios)
	ratios.record(&jobs.Spec{Class: "x"}, time.Minute)
	if len(ratios) != 0 {
		t.Errorf("recorded: %v", ratios)
	}
}
