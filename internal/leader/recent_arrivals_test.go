package leader

import (
	"testing"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// TestRecentArrivals checks that arrivals count only within the window, and that only gangs
// that qualify for the gang reserve add to the expected machines.
func TestRecentArrivals(t *testing.T) {
	now := time.Unix(10_000, 0)
	catalog := &autoscaling.Catalog{MachineTypes: []autoscaling.MachineType{
		{CPUs: 8, MemoryGB: 64}, // no GPUs, so it does not fit the gang
		{CPUs: 32, GPUs: 4, MemoryGB: 256},
	}}
	gang := autoscaling.Demand{Tasks: 6, TaskResources: placement.Resources{CPUs: 1, GPUs: 2, MemoryGB: 1}} // fills 3 machines
	var recent recentArrivals
	recent.add(arrival{at: now.Add(-constants.ArrivalRateWindow - 1), demand: gang, forGangReserve: true}, now)
	if len(recent) != 0 {
		t.Fatal("an arrival before the window was added")
	}
	recent.add(arrival{at: now, demand: gang}, now)
	if got := recent.expectedGangMachines(catalog, now); got != 0 {
		t.Errorf("%d machines expected for a job that does not qualify for the gang reserve, want 0", got)
	}
	gangs := int(constants.ArrivalRateWindow / constants.GangReserveHorizon)
	for range gangs {
		recent.add(arrival{at: now, demand: gang, forGangReserve: true}, now)
	}
	want := int((time.Duration(3*gangs)*constants.GangReserveHorizon + constants.ArrivalRateWindow - 1) / constants.ArrivalRateWindow)
	if got := recent.expectedGangMachines(catalog, now); got != want {
		t.Errorf("%d machines expected for %d gangs of 3 machines in the window, want %d", got, gangs, want)
	}
	now = now.Add(constants.ArrivalRateWindow + 1)
	if got := recent.expectedGangMachines(catalog, now); got != 0 {
		t.Errorf("%d machines expected after the window, want 0", got)
	}
	if recent.prune(now); len(recent) != 0 {
		t.Errorf("%d arrivals left after the window, want 0", len(recent))
	}
}
