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

// pagedCloud lists many machines and notes the calls in their order.
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

func (c *pagedCloud) List(_ context.Context, from string) (hosts []autoscaling.Instance, next string, err error) {
	if c.failing {
		return nil, "", autoscaling.ErrRejected
	}
	c.calls = append(c.calls, "page")
	for i := range c.machines {
		name := fmt.Sprintf("m-%06d", i)
		if name > from && len(hosts) < constants.InstanceListPage {
			hosts = append(hosts, autoscaling.Instance{Name: name, MachineType: "g4", Zone: "east", Status: "running"})
			next = name
		}
	}
	if next == fmt.Sprintf("m-%06d", c.machines-1) {
		next = ""
	}
	return hosts, next, nil
}

// countPages counts the pages read among calls to the cloud, and checks that no two come
// in a row.
func countPages(t *testing.T, calls []string) (pages int) {
	t.Helper()
	for i, call := range calls {
		if call != "page" {
			continue
		}
		pages++
		if i > 0 && calls[i-1] == "page" {
			t.Errorf("two pages in a row while machines are needed: %v", calls)
		}
	}
	return pages
}

// TestRentingGoesOnBetweenPages: the list of a large fleet takes many calls, and the
// cloud takes few a second. A job that needs machines does not wait for the last
// page, a call that fails does not begin the list anew, and the list comes to its end.
func TestRentingGoesOnBetweenPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeader(t)
		offline(t, l)
		cloud := &pagedCloud{machines: 4000}
		l.deps.Cloud = cloud
		l.teams[0].MaxGPUs = 100000
		for i := range 400 {
			addJob(t, l, arraySpec(fmt.Sprintf("j-%06d", i), 100), time.Now())
		}
		for step := range 40 {
			cloud.failing = step == 5
			l.scale(time.Now())
			runUntilQuiet(t, l)
			time.Sleep(time.Second)
			clear(l.scaling.refused)
			if !l.scaling.list.completedAt.IsZero() {
				break
			}
		}
		pages := countPages(t, cloud.calls)
		if want := cloud.machines / constants.InstanceListPage; pages != want {
			t.Errorf("%d pages read, want %d: %v", pages, want, cloud.calls)
		}
		if !slices.Contains(cloud.calls, "rent") || l.scaling.list.completedAt.IsZero() {
			t.Errorf("list over at %v, calls %v", l.scaling.list.completedAt, cloud.calls)
		}
		if n := len(l.scaling.booting); n != cloud.machines {
			t.Errorf("%d machines known of %d", n, cloud.machines)
		}
	})
}

// TestDarkZoneIsWaitedFor guards against an incident: a zone was cut off for
// 45 s, and all its machines were given up after 37.
func TestDarkZoneIsWaitedFor(t *testing.T) {
	t0 := time.Unix(1000, 0)
	l := testLeader(t)
	for i := range 4 {
		addMachine(l, fmt.Sprint("m-e", i), "east", t0)
		addMachine(l, fmt.Sprint("m-w", i), "west", t0)
	}
	now := t0.Add(l.lease + constants.SilentReturnAfter + time.Second)
	for i := range 4 {
		l.fleet.get(fmt.Sprint("m-w", i)).agent.LastHeartbeat = now
	}
	l.fleet.get("m-w0").agent.LastHeartbeat = t0 // one machine of the other zone died
	l.retireMachines(now)
	for name, machine := range l.fleet.byName {
		if want := name == "m-w0"; machine.lifecycle.leaving != want {
			t.Errorf("%s: leaving %v, want %v", name, machine.lifecycle.leaving, want)
		}
	}
	v := l.scalingSnapshot(now)
	if !v.Refused[autoscaling.InstancePool{Type: "g4", Zone: "east"}] || v.Refused[autoscaling.InstancePool{Type: "g4", Zone: "west"}] {
		t.Errorf("renting in a zone that can't be reached: %v", v.Refused)
	}
	if n := v.Machines[autoscaling.InstancePool{Type: "g4", Zone: "east"}]; n != 0 {
		t.Errorf("%d silent machines are counted on", n)
	}
	// The cut heals: three of the four are back a few seconds before the last.
	back := now.Add(20 * time.Second)
	for i := range 3 {
		l.fleet.get(fmt.Sprint("m-e", i)).agent.LastHeartbeat = back
	}
	l.retireMachines(back.Add(time.Second))
	if l.fleet.get("m-e3").lifecycle.leaving {
		t.Errorf("the last one is given up as the cut heals")
	}
	l.retireMachines(back.Add(constants.UnreachableHold + l.lease + constants.SilentReturnAfter))
	if !l.fleet.get("m-e3").lifecycle.leaving {
		t.Errorf("one that does not come back with the others is never given up")
	}
	for i := range 4 {
		machine := l.fleet.get(fmt.Sprint("m-e", i))
		machine.agent.LastHeartbeat, machine.lifecycle.leaving = t0, false
	}
	l.retireMachines(t0.Add(l.lease + constants.UnreachableReturnAfter + time.Second))
	if !l.fleet.get("m-e0").lifecycle.leaving {
		t.Errorf("a zone that stays dark is never given up")
	}
}

// TestIdleMachinesOutliveATakeover guards against an incident: a new leader knew
// idle machines from the cloud's list alone, took their age for the time that
// they had failed to come up, and returned 19 of them at once.
func TestIdleMachinesOutliveATakeover(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.machinesListed([]autoscaling.Instance{
		{Name: "m-1", MachineType: "g4", Zone: "east", Status: "running", AgeS: 400},
		{Name: "m-2", MachineType: "g4", Zone: "east", Status: "starting", AgeS: 400},
	}, now)
	if names := l.machinesToReturn(now.Add(2 * time.Second)); len(names) != 0 {
		t.Errorf("returned before they could report: %v", names)
	}
	addMachine(l, "m-1", "east", now.Add(3*time.Second))
	if names := l.machinesToReturn(now.Add(l.lease + 5*time.Second)); len(names) != 1 || names[0] != "m-2" {
		t.Errorf("returned: %v, want the one that never came up", names)
	}
}

// TestCloudOutageIsQuiet guards against an incident: during an outage of the
// cloud the leader asked twice a second and logged every refusal.
func TestCloudOutageIsQuiet(t *testing.T) {
	now := time.Unix(1000, 0)
	l := testLeader(t)
	calls := 0
	for at := now; at.Before(now.Add(time.Minute)); at = at.Add(constants.TickInterval) {
		if at.Before(l.scaling.calls.retryAt) {
			continue
		}
		calls++
		l.cloudFailed("rent", autoscaling.ErrRejected, at)
	}
	if calls > 20 {
		t.Errorf("%d calls in a minute of outage", calls)
	}
	if l.cloudFailed("rent", nil, now) || l.scaling.calls.backoff != 0 {
		t.Errorf("an answer does not end the pause")
	}
}
