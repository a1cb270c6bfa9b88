package leader

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
)

// pagedCloud is a cloud client that lists many machines and records the calls in order.
type pagedCloud struct {
	machines int
	calls    []string
	failing  bool
}

func (c *pagedCloud) Rent(context.Context, autoscaling.RentRequest) ([]string, error) {
	c.calls = append(c.calls, "rent")
	return nil, autoscaling.ErrNoCapacity
}

func (c *pagedCloud) Return(context.Context, []string) error {
	c.calls = append(c.calls, "return")
	return nil
}

func (c *pagedCloud) List(_ context.Context, from string) (instances []autoscaling.Instance, next string, err error) {
	if c.failing {
		return nil, "", autoscaling.ErrUnavailable
	}
	c.calls = append(c.calls, "page")
	for i := range c.machines {
		name := fmt.Sprintf("m-%06d", i)
		if name > from && len(instances) < constants.InstanceListPageSize {
			instances = append(instances, autoscaling.Instance{Name: name, MachineType: "g4", Zone: "east", Status: "running"})
			next = name
		}
	}
	if next == fmt.Sprintf("m-%06d", c.machines-1) {
		next = ""
	}
	return instances, next, nil
}

// countPages returns the number of page requests among the calls, and checks that there are
// no two in a row.
func countPages(t *testing.T, calls []string) (pages int) {
	t.Helper()
	for i, call := range calls {
		if call != "page" {
			continue
		}
		pages++
		if i > 0 && calls[i-1] == "page" {
			t.Errorf("two page requests in a row while machines are needed: %v", calls)
		}
	}
	return pages
}

// TestRentingContinuesBetweenPages guards against jobs that wait for machines while a long
// list is read: the list of a large fleet takes many calls, and the cloud allows few per
// second. Renting must continue between two pages, a failed call must not restart the list,
// and the list must be read to its end.
func TestRentingContinuesBetweenPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeader(t)
		useUnavailableStore(t, l)
		cloud := &pagedCloud{machines: 4000}
		l.deps.Cloud = cloud
		l.teams[0].MaxGPUs = 100000
		for i := range 400 {
			addJob(t, l, arraySpec(fmt.Sprintf("j-%06d", i), 100), time.Now())
		}
		for step := range 40 {
			cloud.failing = step == 5
			l.scale(time.Now())
			runUntilIdle(t, l)
			time.Sleep(time.Second)
			clear(l.scaling.unavailable)
			if !l.scaling.list.completedAt.IsZero() {
				break
			}
		}
		pages := countPages(t, cloud.calls)
		if want := cloud.machines / constants.InstanceListPageSize; pages != want {
			t.Errorf("%d pages read, want %d: %v", pages, want, cloud.calls)
		}
		if !slices.Contains(cloud.calls, "rent") || l.scaling.list.completedAt.IsZero() {
			t.Errorf("list completed at %v, calls %v, want a complete list and at least one rent request", l.scaling.list.completedAt, cloud.calls)
		}
		if n := len(l.scaling.booting); n != cloud.machines {
			t.Errorf("%d machines known, want %d", n, cloud.machines)
		}
	})
}

// TestReturnOfUnreachableZoneIsDelayed guards against a past failure: a zone was unreachable
// for 45 s, and all its machines were returned after 37 s.
func TestReturnOfUnreachableZoneIsDelayed(t *testing.T) {
	start := time.Unix(1000, 0)
	l := testLeader(t)
	for i := range 4 {
		addMachine(l, fmt.Sprint("m-e", i), "east", start)
		addMachine(l, fmt.Sprint("m-w", i), "west", start)
	}
	now := start.Add(l.lease + constants.SilentReturnAfter + time.Second)
	for i := range 4 {
		l.fleet.get(fmt.Sprint("m-w", i)).worker.LastMessageAt = now
	}
	l.fleet.get("m-w0").worker.LastMessageAt = start // a single machine of zone west failed
	l.retireMachines(now)
	for name, machine := range l.fleet.byName {
		if want := name == "m-w0"; machine.lifecycle.leaving != want {
			t.Errorf("%s: leaving %v, want %v", name, machine.lifecycle.leaving, want)
		}
	}
	snapshot := l.scalingSnapshot(now)
	if !snapshot.Unavailable[autoscaling.InstancePool{Type: "g4", Zone: "east"}] || snapshot.Unavailable[autoscaling.InstancePool{Type: "g4", Zone: "west"}] {
		t.Errorf("unavailable pools: %v, want those of the unreachable zone", snapshot.Unavailable)
	}
	if n := snapshot.Machines[autoscaling.InstancePool{Type: "g4", Zone: "east"}]; n != 0 {
		t.Errorf("%d silent machines are counted as usable, want 0", n)
	}
	// The network partition ends: three of the four machines report before the last one does.
	healed := now.Add(20 * time.Second)
	for i := range 3 {
		l.fleet.get(fmt.Sprint("m-e", i)).worker.LastMessageAt = healed
	}
	l.retireMachines(healed.Add(time.Second))
	if l.fleet.get("m-e3").lifecycle.leaving {
		t.Errorf("the last machine is returned as soon as the others report again")
	}
	l.retireMachines(healed.Add(constants.UnreachableZoneRecovery + l.lease + constants.SilentReturnAfter))
	if !l.fleet.get("m-e3").lifecycle.leaving {
		t.Errorf("a machine that stays silent after the others report again is never returned")
	}
	for i := range 4 {
		machine := l.fleet.get(fmt.Sprint("m-e", i))
		machine.worker.LastMessageAt, machine.lifecycle.leaving = start, false
	}
	l.retireMachines(start.Add(l.lease + constants.UnreachableZoneReturnAfter + time.Second))
	if !l.fleet.get("m-e0").lifecycle.leaving {
		t.Errorf("the machines of a zone that stays unreachable are never returned")
	}
}

// TestIdleMachinesAreKeptAfterFailover guards against a past failure: a new leader knew idle
// machines only from the cloud's list, mistook their age for the time that they had been
// booting, and returned 19 of them at once.
func TestIdleMachinesAreKeptAfterFailover(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.applyInstancePage([]autoscaling.Instance{
		{Name: "m-1", MachineType: "g4", Zone: "east", Status: "running", AgeS: 400},
		{Name: "m-2", MachineType: "g4", Zone: "east", Status: "starting", AgeS: 400},
	}, now)
	if names := l.machinesToReturn(now.Add(2 * time.Second)); len(names) != 0 {
		t.Errorf("returned before they had time to report: %v", names)
	}
	addMachine(l, "m-1", "east", now.Add(3*time.Second))
	if names := l.machinesToReturn(now.Add(l.lease + 5*time.Second)); len(names) != 1 || names[0] != "m-2" {
		t.Errorf("returned: %v, want only the machine that never registered", names)
	}
}

// TestCloudOutageBackoff guards against a past failure: during an outage of the cloud the
// leader made two calls per second and logged every failure.
func TestCloudOutageBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	l := testLeader(t)
	calls := 0
	for at := now; at.Before(now.Add(time.Minute)); at = at.Add(constants.TickInterval) {
		if at.Before(l.scaling.calls.retryAt) {
			continue
		}
		calls++
		l.cloudCallFailed("rent", autoscaling.ErrUnavailable, at)
	}
	if calls > 20 {
		t.Errorf("%d calls in a minute of an outage, want at most 20", calls)
	}
	if l.cloudCallFailed("rent", nil, now) || l.scaling.calls.backoff != 0 {
		t.Errorf("a successful call does not reset the backoff")
	}
}
