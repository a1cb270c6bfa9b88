package autoscaling

import (
	"math"
	"time"

	"thornnotch/internal/constants"
)

// DesiredCapacity is how many machines of one type are wanted.
type DesiredCapacity struct {
	// OnDemand is for what can't run on spot machines, Total that and the rest.
	OnDemand, Total float64
	// OverflowShare is the share of the spot machines that can't be had for which
	// on-demand ones are worth their price.
	OverflowShare float64
}

// DesiredFor adds spare machines to the present demand: for what may come before another
// machine could be up. Jobs come at random, so how far that strays from its mean grows
// with the square root of it, and where nothing has come for a while nothing need stand
// ready. Work that spot machines could do is worth an on-demand one only in part: the
// dearer it is, the longer that work had better wait for its turn.
func DesiredFor(s Snapshot, machineType MachineType, spare float64) DesiredCapacity {
	onDemand, spot := s.machinesFilled(s.Demand, machineType)
	recentOnDemand, recentSpot := s.machinesFilled(s.Recent, machineType)
	share := overflowShare(machineType)
	// bootShare is the part of the window that a machine takes to be up.
	bootShare := 0.0
	if s.Window > 0 {
		bootShare = machineType.BootS / s.Window.Seconds()
	}
	desired := DesiredCapacity{
		OnDemand:      math.Ceil(onDemand + spare*share*math.Sqrt(recentOnDemand*bootShare)),
		OverflowShare: share,
	}
	desired.Total = desired.OnDemand + math.Ceil(spot+spare*math.Sqrt(recentSpot*bootShare))
	return desired
}

// overflowShare weighs the price of spot machines against that of on-demand ones.
func overflowShare(machineType MachineType) float64 {
	if machineType.OnDemandPrice > 0 && machineType.SpotPrice > 0 {
		return min(1, constants.OverflowPriceFactor*machineType.SpotPrice/machineType.OnDemandPrice)
	}
	return 1
}

// overflow is how many on-demand machines are wanted in place of spot ones, of which
// there are this many.
func (d DesiredCapacity) overflow(spot int) int {
	return int(math.Ceil(max(0, d.Total-d.OnDemand-float64(spot)) * d.OverflowShare))
}

// DemandWindow remembers the greatest desired capacity of the last while, so that a short
// lull does not give machines back.
type DemandWindow struct {
	window  time.Duration
	samples []capacitySample
}

type capacitySample struct {
	at      time.Time
	desired map[string]DesiredCapacity // by machine type
}

// NewDemandWindow remembers for the given time.
func NewDemandWindow(window time.Duration) *DemandWindow { return &DemandWindow{window: window} }

// Add adds the present desired capacity, by machine type, and returns the greatest of the
// window.
func (w *DemandWindow) Add(now time.Time, desired map[string]DesiredCapacity) map[string]DesiredCapacity {
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
