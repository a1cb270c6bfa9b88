package leader

import (
	"context"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// instanceList tracks the reading of the cloud's paged list of instances.
type instanceList struct {
	completedAt time.Time // when the last page of the last complete list was read
	nextPage    string    // start of the next page; empty if no list is being read
	// lastCallWasPage is set if the last call to the cloud was for a list page. Calls that
	// return machines don't count.
	lastCallWasPage bool
}

// due reports whether a page must be read now: the next page of a list that is being read, or
// the first page of a new list.
func (i *instanceList) due(interval time.Duration, now time.Time) bool {
	return i.nextPage != "" || now.Sub(i.completedAt) > interval
}

// recordPage records that a page was read, and the start of the next one, which is empty
// after the last page.
func (i *instanceList) recordPage(next string, now time.Time) {
	i.nextPage = next
	if next == "" {
		i.completedAt = now
	}
}

// listInterval returns the pause between two complete reads of the list. It is at least the
// lag of the list, because reading it more often returns nothing new.
func (l *Leader) listInterval() time.Duration {
	return max(config.Seconds(l.deps.Settings.Params.Cloud.ListLagS), constants.MinInstanceListInterval)
}

// requestInstancePage queues a call that reads the next page of the cloud's list.
func (l *Leader) requestInstancePage() {
	scaling := &l.scaling
	scaling.calls.begin()
	scaling.list.lastCallWasPage = true
	from := scaling.list.nextPage
	l.calls.queue(func(ctx context.Context) func() {
		instances, next, err := l.deps.Cloud.List(ctx, from)
		return func() {
			now := time.Now()
			if l.cloudCallFailed("list", err, now) {
				return
			}
			scaling.list.recordPage(next, now)
			l.applyInstancePage(instances, now)
		}
	})
}

// applyInstancePage applies a page of the cloud's list. The list lags and may return to an
// older state, so a machine that is missing from it may still exist.
func (l *Leader) applyInstancePage(instances []autoscaling.Instance, now time.Time) {
	for _, instance := range instances {
		if !l.scaling.isTerminated(instance.Name) {
			l.applyInstance(instance, now)
		}
	}
}

// instanceFailed is the status of an instance that will never be usable.
const instanceFailed = "failed"

// applyInstance applies one entry of the cloud's list. A failed instance is returned.
func (l *Leader) applyInstance(instance autoscaling.Instance, now time.Time) {
	machine := l.fleet.get(instance.Name)
	switch {
	case instance.Status == instanceFailed:
		if machine == nil {
			machine = l.fleet.getOrAdd(instance.Name, now)
			machine.worker.MachineType, machine.worker.Zone, machine.worker.Spot = instance.MachineType, instance.Zone, instance.Spot
		}
		delete(l.scaling.booting, instance.Name)
		if !machine.lifecycle.isLeaving() {
			l.beginLeaving(machine, "failed", now)
		}
	case machine != nil:
		if machine.worker.Endpoint == "" {
			machine.worker.Endpoint = instance.Endpoint
		}
	default:
		l.scaling.booting.addListed(instance, now)
	}
}
