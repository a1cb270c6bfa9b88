package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
)

// poolRefusals are the pools of which the cloud had no machines, and until when it is
// not asked again.
type poolRefusals map[autoscaling.InstancePool]time.Time

func (p poolRefusals) refuse(pool autoscaling.InstancePool, now time.Time) {
	p[pool] = now.Add(constants.NoCapacityPause)
}

// nextRental names the next machines to rent, if any.
func (l *Leader) nextRental(now time.Time) (autoscaling.RentRequest, bool) {
	if l.deps.Catalog() == nil || !l.failover.recordsLoaded() {
		return autoscaling.RentRequest{}, false
	}
	return autoscaling.ScaleOut(l.scalingSnapshot(now), l.deps.Operator.Scaling.Spare)
}

// rent asks the cloud for machines.
func (l *Leader) rent(request autoscaling.RentRequest) {
	scaling := &l.scaling
	scaling.calls.begin()
	scaling.list.calledLast = false
	scaling.rentRequests++
	request.ID = fmt.Sprintf("r-%d-%d", l.term.number(), scaling.rentRequests)
	l.calls.queue(func(ctx context.Context) func() {
		names, err := l.deps.Cloud.Rent(ctx, request)
		return func() { l.rented(request, names, err, time.Now()) }
	})
}

// rented takes in the cloud's answer to a request.
func (l *Leader) rented(request autoscaling.RentRequest, names []string, err error, now time.Time) {
	pool := autoscaling.InstancePool{Type: request.MachineType, Zone: request.Zone, Spot: request.Spot}
	if errors.Is(err, autoscaling.ErrNoCapacity) {
		l.cloudFailed("rent", nil, now) // it has answered
		l.scaling.refused.refuse(pool, now)
		return
	}
	if l.cloudFailed("rent", err, now) {
		return
	}
	l.deps.Log.Info("machines rented", "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot, "requested", request.Count, "rented", len(names))
	for _, name := range names {
		if l.fleet.get(name) == nil {
			l.scaling.booting[name] = bootingMachine{pool, now, now}
		}
	}
	if len(names) < request.Count {
		l.scaling.refused.refuse(pool, now)
	}
}
