package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
)

// unavailablePools maps the pools that recently had no capacity to the time until which no
// machines are requested from them.
type unavailablePools map[autoscaling.InstancePool]time.Time

// markUnavailable excludes a pool from rent requests for NoCapacityBackoff.
func (p unavailablePools) markUnavailable(pool autoscaling.InstancePool, now time.Time) {
	p[pool] = now.Add(constants.NoCapacityBackoff)
}

// nextRentRequest returns the next rent request, if more machines are needed.
func (l *Leader) nextRentRequest(now time.Time) (autoscaling.RentRequest, bool) {
	if l.deps.Catalog() == nil || !l.failover.recordsLoaded() {
		return autoscaling.RentRequest{}, false
	}
	return autoscaling.ScaleOut(l.scalingSnapshot(now), l.deps.Operator.Scaling.ScaleOutSpare)
}

// rent queues a rent request to the cloud.
func (l *Leader) rent(request autoscaling.RentRequest) {
	scaling := &l.scaling
	scaling.calls.begin()
	scaling.list.lastCallWasPage = false
	scaling.rentRequests++
	request.ID = fmt.Sprintf("r-%d-%d", l.term.number(), scaling.rentRequests)
	l.calls.queue(func(ctx context.Context) func() {
		names, err := l.deps.Cloud.Rent(ctx, request)
		return func() { l.applyRentResult(request, names, err, time.Now()) }
	})
}

// applyRentResult applies the cloud's response to a rent request.
func (l *Leader) applyRentResult(request autoscaling.RentRequest, names []string, err error, now time.Time) {
	pool := autoscaling.InstancePool{Type: request.MachineType, Zone: request.Zone, Spot: request.Spot}
	if errors.Is(err, autoscaling.ErrNoCapacity) {
		l.cloudCallFailed("rent", nil, now) // the cloud has answered, so this is no outage
		l.scaling.unavailable.markUnavailable(pool, now)
		return
	}
	if l.cloudCallFailed("rent", err, now) {
		return
	}
	l.deps.Log.Info("machines rented", "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot, "requested", request.Count, "rented", len(names))
	for _, name := range names {
		if l.fleet.get(name) == nil {
			l.scaling.booting[name] = bootingMachine{pool, now, now}
		}
	}
	if len(names) < request.Count {
		l.scaling.unavailable.markUnavailable(pool, now)
	}
}
