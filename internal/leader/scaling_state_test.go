package leader

import (
	"testing"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
)

// TestCloudCallBackoff checks that only one call is made at a time, that a failed call is
// followed by a pause, and that the pause doubles up to its limit until the cloud answers.
func TestCloudCallBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	var calls cloudCallState
	if !calls.mayCall(now) {
		t.Fatal("the first call is not allowed")
	}
	calls.begin()
	if calls.mayCall(now) {
		t.Error("a second call is allowed while one is in flight")
	}
	want := constants.MinCloudBackoff
	for i := range 10 {
		if outage := calls.failed(now); outage != (i == 0) {
			t.Errorf("failure %d: reported as the beginning of an outage: %v", i+1, outage)
		}
		// Jitter varies the pause from 50% to 150% of the backoff.
		if calls.backoff != want || calls.mayCall(now.Add(want/2-1)) || !calls.mayCall(now.Add(want+want/2)) {
			t.Errorf("failure %d: backoff %v, want %v, next call in %v", i+1, calls.backoff, want, calls.retryAt.Sub(now))
		}
		want = min(2*want, constants.MaxCloudBackoff)
	}
	if !calls.answered() || calls.answered() {
		t.Error("the end of the outage was not reported exactly once")
	}
}

// TestInstanceListPaging checks that the next page of a list is due at once, and that a
// complete list is read again only after the interval.
func TestInstanceListPaging(t *testing.T) {
	now := time.Unix(1000, 0)
	const interval = 5 * time.Second
	var list instanceList
	if !list.due(interval, now) {
		t.Error("the first list is not due")
	}
	list.recordPage("m-500", now)
	if !list.due(interval, now) || list.nextPage != "m-500" || !list.completedAt.IsZero() {
		t.Errorf("after the first page: %+v", list)
	}
	list.recordPage("", now)
	if list.due(interval, now.Add(interval)) || !list.due(interval, now.Add(interval+1)) {
		t.Errorf("after the last page: %+v", list)
	}
}

// TestBootingMachineOverdue checks that a machine is overdue only after its boot timeout, and
// only if the leader has known it, and has run without a stall, for longer than a lease.
func TestBootingMachineOverdue(t *testing.T) {
	const bootTimeout, lease = 75 * time.Second, 12 * time.Second
	now := time.Unix(1000, 0)
	longAgo := now.Add(-time.Hour)
	tests := []struct {
		name                           string
		rentedAt, firstSeenAt, resumed time.Time
		want                           bool
	}{
		{"rented just now", now, now, longAgo, false},
		{"exactly at the boot timeout", now.Add(-bootTimeout), longAgo, longAgo, false},
		{"after the boot timeout", now.Add(-bootTimeout - 1), longAgo, longAgo, true},
		{"known in this term for exactly a lease", longAgo, now.Add(-lease), longAgo, false},
		{"stall of the leader ended exactly a lease ago", longAgo, longAgo, now.Add(-lease), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := bootingMachine{rentedAt: test.rentedAt, firstSeenAt: test.firstSeenAt}
			if got := machine.overdue(bootTimeout, lease, test.resumed, now); got != test.want {
				t.Errorf("overdue: %v, want %v", got, test.want)
			}
		})
	}
}

// TestListedMachineIsAddedOnce checks that a booting machine that is listed again keeps the
// times at which it was rented and first seen.
func TestListedMachineIsAddedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	booting := make(bootingMachines)
	instance := autoscaling.Instance{Name: "m-1", MachineType: "g4", Zone: "east", AgeS: 40}
	booting.addListed(instance, now)
	first := booting["m-1"]
	if !first.rentedAt.Equal(now.Add(-40*time.Second)) || !first.firstSeenAt.Equal(now) {
		t.Errorf("listed once: %+v", first)
	}
	instance.AgeS = 1
	booting.addListed(instance, now.Add(time.Second))
	if booting["m-1"] != first {
		t.Errorf("listed again: %+v, was %+v", booting["m-1"], first)
	}
}

// TestUnreachableZoneDetection checks that a zone is unreachable if a majority of its
// machines, and at least UnreachableZoneMinSilent, are silent, and that it remains so for
// UnreachableZoneRecovery after they report again.
func TestUnreachableZoneDetection(t *testing.T) {
	now := time.Unix(1000, 0)
	const minSilent = constants.UnreachableZoneMinSilent
	tests := []struct {
		name             string
		machines, silent int
		want             bool
	}{
		{"all silent, but below the minimum", minSilent - 1, minSilent - 1, false},
		{"half silent", 2 * minSilent, minSilent, false},
		{"majority silent", 2*minSilent - 1, minSilent, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			zones := make(unreachableZones)
			machines := map[string]int{"east": test.machines, "west": 100}
			got := zones.update(machines, map[string]int{"east": test.silent}, now)
			if got["east"] != test.want || got["west"] {
				t.Errorf("unreachable: %v", got)
			}
			later := now.Add(constants.UnreachableZoneRecovery)
			if got := zones.update(machines, nil, later.Add(-1)); got["east"] != test.want {
				t.Errorf("unreachable just before the end of the recovery time: %v", got)
			}
			if got := zones.update(machines, nil, later); got["east"] {
				t.Errorf("unreachable after the recovery time: %v", got)
			}
		})
	}
}

// TestTerminatedMachinesExpire checks that a terminated machine is forgotten only after
// TerminatedRetention.
func TestTerminatedMachinesExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	scaling := newScalingState()
	scaling.terminated["m-1"] = now
	scaling.prune(now.Add(constants.TerminatedRetention))
	if !scaling.isTerminated("m-1") {
		t.Error("removed before the end of the retention time")
	}
	scaling.prune(now.Add(constants.TerminatedRetention + 1))
	if scaling.isTerminated("m-1") {
		t.Error("kept after the end of the retention time")
	}
}

// TestScalingMakesOneCloudCallAtATime checks that no tick makes a call to the cloud while
// another is in flight, or during the pause after a failed call.
func TestScalingMakesOneCloudCallAtATime(t *testing.T) {
	now := time.Unix(1000, 0)
	l := testLeader(t)
	l.scale(now)
	l.scale(now.Add(time.Minute))
	if n := len(l.calls.queued); n != 1 {
		t.Fatalf("%d calls at the same time, want 1", n)
	}
	l.cloudCallFailed("list", autoscaling.ErrUnavailable, now)
	l.scale(now)
	if n := len(l.calls.queued); n != 1 {
		t.Errorf("%d calls right after a failed one, want 0", n-1)
	}
	l.scale(now.Add(2 * constants.MaxCloudBackoff))
	if n := len(l.calls.queued); n != 2 {
		t.Errorf("%d calls after the pause, want 1", n-1)
	}
}
