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

// TestRentingGoesOnBetweenPages: the list of a large fleet takes many calls, and the
// cloud takes few a second. A job that needs machines does not wait for the last
// page, a call that fails does not begin the list anew, and the list comes to its end.
func TestRentingGoesOnBetweenPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeader(t)
		offline(t, l)
		cloud := &pagedCloud{machines: 4000}
		l.deps.Cloud = cloud
		l.teams[0].GPUsMax = 100000
		for i := range 400 {
			addJob(t, l, sweep(fmt.Sprintf("j-%06d", i), 100), time.Now())
		}
		for step := range 40 {
			cloud.failing = step == 5
			l.scale(time.Now())
			run(l)
			time.Sleep(time.Second)
			clear(l.scaling.refused)
			if !l.scaling.listedAt.IsZero() {
				break
			}
		}
		pages := 0
		for i, call := range cloud.calls {
			if call != "page" {
				continue
			}
			pages++
			if i > 0 && cloud.calls[i-1] == "page" {
				t.Errorf("two pages in a row while machines are needed: %v", cloud.calls)
			}
		}
		if want := cloud.machines / constants.InstanceListPage; pages != want {
			t.Errorf("%d pages read, want %d: %v", pages, want, cloud.calls)
		}
		if !slices.Contains(cloud.calls, "rent") || l.scaling.listedAt.IsZero() {
			t.Errorf("list over at %v, calls %v", l.scaling.listedAt, cloud.calls)
		}
		if n := len(l.scaling.booting); n != cloud.machines {
			t.Errorf("%d machines known of %d", n, cloud.machines)
		}
	})
}
