package autoscaling

import (
	"math"
	"time"

	"thornnotch/internal/constants"
)

// DesiredCapacity is the number of machines of one type that should be rented.
type DesiredCapacity struct {
	// OnDemand is the number of machines for tasks that can't use spot machines. Total
	// also includes the machines for all other tasks.
	OnDemand, Total float64
	// OverflowShare is the fraction of the missing spot machines to replace by on-demand
	// ones, from 0 to 1.
	OverflowShare float64
}

// DesiredCapacityFor returns the desired capacity of a machine type: the machines that the current
// demand needs, plus spare ones for jobs that arrive before another machine could boot. Jobs
// arrive at random, so the deviation from the mean grows with the square root of the recent
// arrivals; without recent arrivals there are no spare machines. spare is the number of spare
// machines in units of this square root. Tasks that could use spot machines justify on-demand
// ones only in part (OverflowShare): the higher the on-demand price, the more of these tasks
// wait for spot machines. The spare on-demand machines are multiplied by the same share.
func DesiredCapacityFor(s Snapshot, machineType MachineType, spare float64) DesiredCapacity {
	onDemand, spot := s.machinesNeeded(s.Demand, machineType)
	recentOnDemand, recentSpot := s.machinesNeeded(s.RecentArrivals, machineType)
	share := overflowShare(machineType)
	// bootShare is the boot time as a fraction of the arrival window.
	bootShare := 0.0
	if s.ArrivalWindow > 0 {
		bootShare = machineType.BootS / s.ArrivalWindow.Seconds()
	}
	desired := DesiredCapacity{
		OnDemand:      math.Ceil(onDemand + spare*share*math.Sqrt(recentOnDemand*bootShare)),
		OverflowShare: share,
	}
	desired.Total = desired.OnDemand + math.Ceil(spot+spare*math.Sqrt(recentSpot*bootShare))
	return desired
}

// overflowShare returns the OverflowShare of a machine type. It is proportional to the ratio
// of the spot price to the on-demand price, at most 1, and 1 if either price is unknown.
func overflowShare(machineType MachineType) float64 {
	if machineType.OnDemandPrice > 0 && machineType.SpotPrice > 0 {
		return min(1, constants.OverflowPriceFactor*machineType.SpotPrice/machineType.OnDemandPrice)
	}
	return 1
}

// overflow returns how many on-demand machines to rent in place of missing spot machines,
// given the present number of spot machines.
func (d DesiredCapacity) overflow(spot int) int {
	return int(math.Ceil(max(0, d.Total-d.OnDemand-float64(spot)) * d.OverflowShare))
}

// CapacityWindow tracks the maximum of the desired capacity over a sliding time window, so that
// no machines are returned in a short lull.
type CapacityWindow struct {
	window  time.Duration
	samples []capacitySample
}

type capacitySample struct {
	at      time.Time
	desired map[string]DesiredCapacity // by machine type
}

// NewCapacityWindow returns an empty window of the given length.
func NewCapacityWindow(window time.Duration) *CapacityWindow { return &CapacityWindow{window: window} }

// Add records the current desired capacity by machine type, and returns the maximum of the
// window by machine type.
func (w *CapacityWindow) Add(now time.Time, desired map[string]DesiredCapacity) map[string]DesiredCapacity {
	w.samples = append(w.samples, capacitySample{now, desired})
	for len(w.samples) > 0 && now.Sub(w.samples[0].at) > w.window {
		w.samples = w.samples[1:]
	}
	greatest := make(map[string]DesiredCapacity)
	for _, sample := range w.samples {
		for typeName, capacity := range sample.desired {
			greatest[typeName] = DesiredCapacity{
				OnDemand:      max(greatest[typeName].OnDemand, capacity.OnDemand),
				Total:         max(greatest[typeName].Total, capacity.Total),
				OverflowShare: capacity.OverflowShare, // the latest
			}
		}
	}
	return greatest
}
