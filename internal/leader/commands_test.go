package leader

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// TestCommandDispatcher: half of the places are for stops alone, half of all for workers
// that have been heard, and a place that is given back can be taken again.
func TestCommandDispatcher(t *testing.T) {
	const stops, news, silent, heard = true, false, true, false
	acquire := func(d *commandDispatcher, stops, silent bool) (n int) {
		for d.acquire(stops, silent) {
			n++
		}
		return n
	}
	t.Run("news of the token leave places to stops", func(t *testing.T) {
		var dispatcher commandDispatcher
		if n := acquire(&dispatcher, news, heard); n != constants.MaxCommandsInFlight/2 {
			t.Errorf("%d commands that stop nothing", n)
		}
		if n := acquire(&dispatcher, stops, heard); n != constants.MaxCommandsInFlight-constants.MaxCommandsInFlight/2 {
			t.Errorf("%d stops beside them", n)
		}
	})
	t.Run("silent workers leave places to others", func(t *testing.T) {
		var dispatcher commandDispatcher
		if n := acquire(&dispatcher, stops, silent); n != constants.MaxSilentCommandsInFlight {
			t.Errorf("%d commands to silent workers", n)
		}
		if n := acquire(&dispatcher, stops, heard); n != constants.MaxCommandsInFlight-constants.MaxSilentCommandsInFlight {
			t.Errorf("%d commands to others", n)
		}
		dispatcher.release(silent)
		if !dispatcher.acquire(stops, silent) || dispatcher.acquire(stops, heard) {
			t.Error("a place that came free is not the one that was taken")
		}
	})
	t.Run("all places come free", func(t *testing.T) {
		var dispatcher commandDispatcher
		dispatcher.acquire(stops, silent)
		dispatcher.acquire(news, heard)
		dispatcher.release(silent)
		dispatcher.release(heard)
		if dispatcher != (commandDispatcher{}) {
			t.Errorf("left: %+v", dispatcher)
		}
	})
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

// direct is workers that note what goes straight to them.
type direct struct{ orders chan []workers.Command }

func (d direct) Send(_ context.Context, _ string, a workers.CommandBatch) (*workers.Heartbeat, error) {
	d.orders <- a.Commands
	return nil, context.Canceled
}

// TestOnlyStopsGoStraight: a direct order may be held up for minutes and is carried
// out all the same, so it starts nothing, and forgets nothing.
func TestOnlyStopsGoStraight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		l := testLeader(t)
		d := direct{make(chan []workers.Command, 1)}
		l.deps.Workers = d
		machine := addMachine(l, "m-1", "east", now)
		machine.agent.Endpoint = "m-1:1"
		j := addJob(t, l, arraySpec("j-1", 3), now)
		l.runSchedulingPass(now)
		for _, s := range j.attempts.sorted() {
			s.attempt.Committed, s.attempt.StartAllowed = true, true
		}
		if n := len(machine.agent.Commands(true, now)); n != 3 {
			t.Fatalf("%d starts", n)
		}
		seats := j.attempts.sorted()
		seats[0].attempt.StopRequested, seats[0].attempt.StopRequestedAt = true, now // to be stopped
		seats[1].attempt.Status, seats[1].attempt.ExitRecorded = workers.StatusExited, true
		l.sendStops(machine, now)
		runNextEvent(t, l)
		if got := <-d.orders; len(got) != 1 || got[0].Verb != workers.VerbStop {
			t.Errorf("straight to the worker went %+v", got)
		}
	})
}
