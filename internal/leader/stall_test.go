package leader

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// termStore answers for the term record alone, and gives the routine's calls a
// way to run.
type termStore struct {
	noStore
	stamp uint64
	err   error
}

func (s *termStore) Get(context.Context, statestore.Class, string) (statestore.KeyValue, bool, error) {
	return statestore.KeyValue{Revision: s.stamp}, s.err == nil, s.err
}

// cloudCalls counts calls to the cloud.
type cloudCalls struct{ rents, returns, lists int }

func (c *cloudCalls) Rent(context.Context, autoscaling.RentRequest) ([]string, error) {
	c.rents++
	return nil, autoscaling.ErrNoCapacity
}
func (c *cloudCalls) Return(context.Context, []string) error { c.returns++; return nil }
func (c *cloudCalls) List(context.Context, string) ([]autoscaling.Instance, string, error) {
	c.lists++
	return nil, "", nil
}

// TestStoodStill: a leader whose process stood still for longer than a lease
// takes its own silence for nobody else's, and deals with the cloud only once
// the term record has shown that it still leads. Deposed, it ends.
func TestStoodStill(t *testing.T) {
	for _, deposed := range []bool{false, true} {
		t.Run(fmt.Sprint("deposed ", deposed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { stoodStill(t, deposed) })
		})
	}
}

func stoodStill(t *testing.T, deposed bool) {
	t0 := time.Now()
	l := testLeader(t)
	offline(t, l)
	store, cloud := &termStore{err: statestore.ErrUnavailable}, &cloudCalls{}
	l.deps.Store, l.deps.Cloud = store, cloud
	for i := range 6 {
		addMachine(l, fmt.Sprint("m-", i), []string{"east", "west"}[i%2], t0)
	}
	l.scaling.booting["m-9"] = bootingMachine{autoscaling.InstancePool{Type: "g4", Zone: "east"}, t0, t0}
	addJob(t, l, arraySpec("j-1", 40), t0)
	// It stood still from a while ago until now.
	still := l.lease + constants.SilentReturnAfter + time.Minute
	l.beginRound()
	l.term.lastRound = time.Now().Add(-still)
	for machine := range l.fleet.all() {
		machine.agent.LastHeartbeat = machine.agent.LastHeartbeat.Add(-still)
	}
	b := l.scaling.booting["m-9"]
	b.rentedAt, b.learntAt = b.rentedAt.Add(-still), b.learntAt.Add(-still)
	l.scaling.booting["m-9"] = b
	now := l.beginRound()
	if !l.term.unverified {
		t.Fatal("that it stood still was not seen")
	}
	l.tick(now)
	l.passes.request()
	l.runSchedulingPass(now)
	runUntilQuiet(t, l)
	if j := l.jobs.get("j-1"); len(j.attempts) > 0 {
		t.Errorf("%d tasks placed on an old world", len(j.attempts))
	}
	if *cloud != (cloudCalls{}) {
		t.Errorf("the cloud was called before the term was looked at: %+v", *cloud)
	}
	for name, machine := range l.fleet.byName {
		if machine.lifecycle.leaving {
			t.Errorf("%s is given up for silence that was ours", name)
		}
	}
	if v := l.scalingSnapshot(now); v.Machines[autoscaling.InstancePool{Type: "g4", Zone: "east"}] != 4 {
		t.Errorf("machines are to be replaced for silence that was ours: %v", v.Machines)
	}
	store.err, store.stamp = nil, l.term.grant.Revision
	if deposed {
		store.stamp++
	}
	l.scale(now)
	runUntilQuiet(t, l)
	if (l.term.err() != nil) != deposed {
		t.Fatalf("ended: %v", l.term.err())
	}
	if l.term.unverified != deposed {
		t.Fatalf("unproven: %v", l.term.unverified)
	}
	if names := l.machinesToReturn(now); len(names) > 0 {
		t.Errorf("%v returned as if they had had their time to come up", names)
	}
	if deposed {
		return
	}
	l.scale(now)
	runUntilQuiet(t, l)
	if cloud.lists+cloud.rents == 0 {
		t.Errorf("it never deals with the cloud again")
	}
}

// TestDirectOrdersAreBounded: in a dark zone every direct order hangs. They
// must not take more sockets than are kept for them, and stops find places
// that news of the token leaves free.
func TestDirectOrdersAreBounded(t *testing.T) { synctest.Test(t, directOrders) }

func directOrders(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	offline(t, l)
	hang := make(chan struct{})
	l.deps.Workers = hanging(hang)
	for i := range 400 {
		machine := addMachine(l, fmt.Sprintf("m-%04d", i), "east", now)
		machine.agent.Endpoint = "x"
		l.sendCommand(machine, nil, now)
	}
	if l.commands.inFlight != constants.MaxCommandsInFlight/2 {
		t.Errorf("%d orders under way that stop nothing", l.commands.inFlight)
	}
	addJob(t, l, arraySpec("j-1", 16), now)
	l.runSchedulingPass(now)
	commitAll(l, 100)
	for machine := range l.fleet.all() {
		machine.agent.Commands(true, now)
	}
	l.jobRecordDeleted("j-1", now)
	stops := l.commands.inFlight - constants.MaxCommandsInFlight/2
	if stops < 4 {
		t.Errorf("%d stops found a place", stops)
	}
	close(hang)
	runUntilQuiet(t, l)
	if l.commands.inFlight != 0 {
		t.Errorf("%d places never came free", l.commands.inFlight)
	}
}

// TestStopsReachThoseThatCanBeReached: a cut has taken away hundreds of machines with
// cancelled tasks, and direct orders to them hang. A gang elsewhere that is told to
// save must be told all of it within seconds, or the save fails.
func TestStopsReachThoseThatCanBeReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		l := testLeader(t)
		offline(t, l)
		l.teams = []config.Team{{Name: "a", GuaranteedGPUs: 10000, MaxGPUs: 10000}}
		hang := make(chan struct{})
		l.deps.Workers = hanging(hang)
		const machines, gang = 500, 20
		for i := range machines {
			addMachine(l, fmt.Sprintf("m-%04d", i), "west", now).agent.Endpoint = "x"
		}
		addJob(t, l, arraySpec("j-1", 4*machines), now)
		for range 6 {
			l.runSchedulingPass(now)
			commitAll(l, 100)
		}
		for machine := range l.fleet.all() {
			machine.agent.Commands(true, now)
		}
		now = now.Add(l.silenceTolerance() + time.Second)
		for i := range gang {
			addMachine(l, fmt.Sprintf("m-9%03d", i), "east", now).agent.Endpoint = "x"
		}
		spec := arraySpec("j-2", gang)
		spec.Kind, spec.GPUs = jobs.KindGang, 4
		j := addJob(t, l, spec, now)
		l.runSchedulingPass(now)
		commitAll(l, 1000)
		for _, s := range j.attempts.sorted() {
			s.machine.agent.Commands(true, now)
		}
		if len(j.attempts) != gang {
			t.Fatalf("%d tasks of the gang placed", len(j.attempts))
		}
		l.jobRecordDeleted("j-1", now)
		if l.commands.inFlight != constants.MaxSilentCommandsInFlight {
			t.Errorf("%d orders under way to machines that are cut off", l.commands.inFlight)
		}
		l.stopGang(j, 10, now)
		if told := l.commands.inFlight - constants.MaxSilentCommandsInFlight; told != gang {
			t.Errorf("%d of %d tasks of the gang are told at once", told, gang)
		}
		close(hang)
		runUntilQuiet(t, l)
		if l.commands.inFlight != 0 || l.commands.silentInFlight != 0 {
			t.Errorf("%d and %d places never came free", l.commands.inFlight, l.commands.silentInFlight)
		}
	})
}

type hanging chan struct{}

func (h hanging) Send(context.Context, string, workers.CommandBatch) (*workers.Heartbeat, error) {
	<-h
	return nil, statestore.ErrOutcomeUnknown
}

// TestSilentMachinesAreNotSlow guards against what the zone day at 2,100
// machines showed: behind a cut, tasks seemed to run on for ever, so their
// machines were taken for slow and got no work for 45 s after the cut had
// healed; and tasks that had ended meanwhile seemed to have run all the time.
func TestSilentMachinesAreNotSlow(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("cut ", cut), func(t *testing.T) {
			now := time.Now()
			l := testLeader(t)
			offline(t, l)
			a, b := addMachine(l, "m-a", "east", now), addMachine(l, "m-b", "west", now)
			j := addJob(t, l, arraySpec("j-1", 8), now)
			l.runSchedulingPass(now)
			commitAll(l, 100)
			for _, machine := range []*machineState{a, b} {
				machine.agent.Commands(true, now)
				l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusRunning, ""), false, now)
			}
			// One machine's tasks end after 10 s, the other's go on for 60.
			for range 5 {
				now = now.Add(2 * time.Second)
				l.applyHeartbeat(a, nextHeartbeat(l, a, workers.StatusRunning, ""), false, now)
				l.applyHeartbeat(b, nextHeartbeat(l, b, workers.StatusRunning, ""), false, now)
			}
			l.applyHeartbeat(a, nextHeartbeat(l, a, workers.StatusExited, workers.CauseDone), false, now)
			if _, ok := j.runtimes.Typical(8); !ok {
				t.Fatal("no run times to compare with")
			}
			for range 50 {
				now = now.Add(time.Second)
				if !cut {
					l.applyHeartbeat(b, nextHeartbeat(l, b, workers.StatusRunning, ""), false, now)
				}
				l.detectStragglers(now)
			}
			l.applyHeartbeat(b, nextHeartbeat(l, b, workers.StatusExited, workers.CauseDone), false, now)
			l.detectStragglers(now)
			if slow := b.health.Slow(now); slow == cut {
				t.Errorf("slow: %v", slow)
			}
		})
	}
}
