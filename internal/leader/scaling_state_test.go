package leader

import (
	"testing"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
)

// TestCloudCallsGoOutOneAtATime: no second call while one is under way, a pause after
// one that failed, and the pause doubles up to its bound until the cloud answers.
func TestCloudCallsGoOutOneAtATime(t *testing.T) {
	now := time.Unix(1000, 0)
	var calls cloudCallState
	if !calls.mayCall(now) {
		t.Fatal("the first call may not go out")
	}
	calls.begin()
	if calls.mayCall(now) {
		t.Error("a second call may go out while one is under way")
	}
	want := constants.MinCloudBackoff
	for i := range 10 {
		if outage := calls.failed(now); outage != (i == 0) {
			t.Errorf("failure %d: an outage begins: %v", i+1, outage)
		}
		// jitter spreads the pause between a half and one and a half of it.
		if calls.backoff != want || calls.mayCall(now.Add(want/2-1)) || !calls.mayCall(now.Add(want+want/2)) {
			t.Errorf("failure %d: backoff %v, want %v, next call in %v", i+1, calls.backoff, want, calls.retryAt.Sub(now))
		}
		want = min(2*want, constants.MaxCloudBackoff)
	}
	if !calls.answered() || calls.answered() {
		t.Error("the first answer does not end the outage, or a later one does")
	}
}

// TestInstanceListIsReadPageByPage: a list that is being read is gone on with at once, a
// complete one is read again after the interval.
func TestInstanceListIsReadPageByPage(t *testing.T) {
	now := time.Unix(1000, 0)
	const interval = 5 * time.Second
	var list instanceList
	if !list.due(interval, now) {
		t.Error("the first list is not read")
	}
	list.pageRead("m-500", now)
	if !list.due(interval, now) || list.nextPage != "m-500" || !list.completedAt.IsZero() {
		t.Errorf("after the first page: %+v", list)
	}
	list.pageRead("", now)
	if list.due(interval, now.Add(interval)) || !list.due(interval, now.Add(interval+1)) {
		t.Errorf("after the last page: %+v", list)
	}
}

// TestBootingMachineIsOverdue: only when its time to boot is over, and when this term has
// known of it, and has run without a stall, for a lease.
func TestBootingMachineIsOverdue(t *testing.T) {
	const boot, lease = 75 * time.Second, 12 * time.Second
	now := time.Unix(1000, 0)
	long := now.Add(-time.Hour)
	tests := []struct {
		name                        string
		rentedAt, learntAt, resumed time.Time
		want                        bool
	}{
		{"rented just now", now, now, long, false},
		{"its time is not quite over", now.Add(-boot), long, long, false},
		{"its time is over", now.Add(-boot - 1), long, long, true},
		{"this term has just learnt of it", long, now.Add(-lease), long, false},
		{"the leader has just stood still", long, long, now.Add(-lease), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := bootingMachine{rentedAt: test.rentedAt, learntAt: test.learntAt}
			if got := machine.overdue(boot, lease, test.resumed, now); got != test.want {
				t.Errorf("overdue: %v, want %v", got, test.want)
			}
		})
	}
}

// TestListedMachineIsLearntOnce: a list that shows a booting machine again changes
// nothing of when it was rented, or learnt of.
func TestListedMachineIsLearntOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	booting := make(bootingMachines)
	instance := autoscaling.Instance{Name: "m-1", MachineType: "g4", Zone: "east", AgeS: 40}
	booting.listed(instance, now)
	first := booting["m-1"]
	if !first.rentedAt.Equal(now.Add(-40*time.Second)) || !first.learntAt.Equal(now) {
		t.Errorf("listed: %+v", first)
	}
	instance.AgeS = 1
	booting.listed(instance, now.Add(time.Second))
	if booting["m-1"] != first {
		t.Errorf("listed again: %+v, was %+v", booting["m-1"], first)
	}
}

// TestUnreachableZones: most of a zone's machines, and enough of them, must be silent; the
// zone stays cut off for a while after they are not.
func TestUnreachableZones(t *testing.T) {
	now := time.Unix(1000, 0)
	const enough = constants.UnreachableMinMachines
	tests := []struct {
		name             string
		machines, silent int
		want             bool
	}{
		{"all, but too few", enough - 1, enough - 1, false},
		{"half of them", 2 * enough, enough, false},
		{"most of them", 2*enough - 1, enough, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			zones := make(unreachableZones)
			machines := map[string]int{"east": test.machines, "west": 100}
			got := zones.update(machines, map[string]int{"east": test.silent}, now)
			if got["east"] != test.want || got["west"] {
				t.Errorf("unreachable: %v", got)
			}
			later := now.Add(constants.UnreachableHold)
			if got := zones.update(machines, nil, later.Add(-1)); got["east"] != test.want {
				t.Errorf("unreachable as the cut heals: %v", got)
			}
			if got := zones.update(machines, nil, later); got["east"] {
				t.Errorf("unreachable for ever: %v", got)
			}
		})
	}
}

// TestTerminatedMachinesAreForgotten once no list can show them any more.
func TestTerminatedMachinesAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	scaling := newScalingState()
	scaling.terminated["m-1"] = now
	scaling.forget(now.Add(constants.TerminatedRetention))
	if !scaling.isTerminated("m-1") {
		t.Error("forgotten too soon")
	}
	scaling.forget(now.Add(constants.TerminatedRetention + 1))
	if scaling.isTerminated("m-1") {
		t.Error("remembered for ever")
	}
}

// TestScaleMakesOneCallAtATime: while a call to the cloud is under way, and while the
// cloud does not answer, no tick makes another.
func TestScaleMakesOneCallAtATime(t *testing.T) {
	now := time.Unix(1000, 0)
	l := testLeader(t)
	l.scale(now)
	l.scale(now.Add(time.Minute))
	if n := len(l.calls.queued); n != 1 {
		t.Fatalf("%d calls at a time", n)
	}
	l.cloudFailed("list", autoscaling.ErrRejected, now)
	l.scale(now)
	if n := len(l.calls.queued); n != 1 {
		t.Errorf("%d calls at once after one that failed", n-1)
	}
	l.scale(now.Add(2 * constants.MaxCloudBackoff))
	if n := len(l.calls.queued); n != 2 {
		t.Errorf("%d calls after the pause", n-1)
	}
}
