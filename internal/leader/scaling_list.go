package leader

import (
	"context"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// instanceList is how far the cloud's list of instances has been read.
type instanceList struct {
	completedAt time.Time // when the last page came in
	nextPage    string    // where the next page begins while a list is being read
	// calledLast is set if the last call to the cloud, returns aside, was for a page.
	calledLast bool
}

// due tells whether a page is to be read: the next one, or the first of a new list.
func (i *instanceList) due(interval time.Duration, now time.Time) bool {
	return i.nextPage != "" || now.Sub(i.completedAt) > interval
}

// pageRead takes in where the next page begins; the last page has none.
func (i *instanceList) pageRead(next string, now time.Time) {
	i.nextPage = next
	if next == "" {
		i.completedAt = now
	}
}

// listInterval is the pause between two lists. The list lags, so it need not be read
// more often than it changes.
func (l *Leader) listInterval() time.Duration {
	return max(config.Seconds(l.deps.Settings.Params.Cloud.ListLagS), constants.MinListInterval)
}

// listPage reads the next page of the cloud's list.
func (l *Leader) listPage() {
	scaling := &l.scaling
	scaling.calls.begin()
	scaling.list.calledLast = true
	from := scaling.list.nextPage
	l.calls.queue(func(ctx context.Context) func() {
		instances, next, err := l.deps.Cloud.List(ctx, from)
		return func() {
			now := time.Now()
			if l.cloudFailed("list", err, now) {
				return
			}
			scaling.list.pageRead(next, now)
			l.machinesListed(instances, now)
		}
	})
}

// machinesListed takes in a page of the cloud's list. It lags and may go backwards: what
// is absent from it proves nothing.
func (l *Leader) machinesListed(instances []autoscaling.Instance, now time.Time) {
	for _, instance := range instances {
		if !l.scaling.isTerminated(instance.Name) {
			l.machineListed(instance, now)
		}
	}
}

// instanceFailed is the status of an instance that will not come up any more.
const instanceFailed = "failed"

func (l *Leader) machineListed(instance autoscaling.Instance, now time.Time) {
	machine := l.fleet.get(instance.Name)
	switch {
	case instance.Status == instanceFailed:
		if machine == nil {
			machine = l.fleet.getOrAdd(instance.Name, now)
			machine.agent.MachineType, machine.agent.Zone, machine.agent.Spot = instance.MachineType, instance.Zone, instance.Spot
		}
		delete(l.scaling.booting, instance.Name)
		if !machine.lifecycle.isLeaving() {
			l.beginLeaving(machine, "failed", now)
		}
	case machine != nil:
		if machine.agent.Endpoint == "" {
			machine.agent.Endpoint = instance.Endpoint
		}
	default:
		l.scaling.booting.listed(instance, now)
	}
}
