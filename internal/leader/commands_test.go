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

// TestCommandLimiter checks that half of the slots are reserved for stops, that half are
// reserved for workers that are not silent, and that a released slot can be acquired again.
func TestCommandLimiter(t *testing.T) {
	const stops, probe, silent, reporting = true, false, true, false
	acquire := func(c *commandLimiter, stops, silent bool) (n int) {
		for c.acquire(stops, silent) {
			n++
		}
		return n
	}
	t.Run("probes leave slots for stops", func(t *testing.T) {
		var limiter commandLimiter
		if n := acquire(&limiter, probe, reporting); n != constants.MaxCommandsInFlight/2 {
			t.Errorf("%d slots for probes, want MaxCommandsInFlight/2", n)
		}
		if n := acquire(&limiter, stops, reporting); n != constants.MaxCommandsInFlight-constants.MaxCommandsInFlight/2 {
			t.Errorf("%d slots left for stops, want all that probes can't take", n)
		}
	})
	t.Run("silent workers leave slots for others", func(t *testing.T) {
		var limiter commandLimiter
		if n := acquire(&limiter, stops, silent); n != constants.MaxSilentCommandsInFlight {
			t.Errorf("%d slots for silent workers, want MaxSilentCommandsInFlight", n)
		}
		if n := acquire(&limiter, stops, reporting); n != constants.MaxCommandsInFlight-constants.MaxSilentCommandsInFlight {
			t.Errorf("%d slots left for other workers, want all that silent workers can't take", n)
		}
		limiter.release(silent)
		if !limiter.acquire(stops, silent) || limiter.acquire(stops, reporting) {
			t.Error("a released slot was not available exactly once")
		}
	})
	t.Run("all slots are released", func(t *testing.T) {
		var limiter commandLimiter
		limiter.acquire(stops, silent)
		limiter.acquire(probe, reporting)
		limiter.release(silent)
		limiter.release(reporting)
		if limiter != (commandLimiter{}) {
			t.Errorf("limiter after the last release: %+v, want the zero value", limiter)
		}
	})
}

// TestDirectCommandsAreBounded guards against direct commands that use up the node's sockets,
// because every command to an unreachable zone hangs. Probes must leave slots for stops.
func TestDirectCommandsAreBounded(t *testing.T) { synctest.Test(t, testDirectCommandLimit) }

func testDirectCommandLimit(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	useUnavailableStore(t, l)
	unblock := make(chan struct{})
	l.deps.Workers = blockedWorkers(unblock)
	for i := range 400 {
		machine := addMachine(l, fmt.Sprintf("m-%04d", i), "east", now)
		machine.worker.Endpoint = "x"
		l.sendDirectCommand(machine, nil, now)
	}
	if l.commands.inFlight != constants.MaxCommandsInFlight/2 {
		t.Errorf("%d probes in flight, want MaxCommandsInFlight/2", l.commands.inFlight)
	}
	addJob(t, l, arraySpec("j-1", 16), now)
	l.runSchedulingPass(now)
	commitPending(l, 100)
	for machine := range l.fleet.all() {
		machine.worker.Commands(true, now)
	}
	l.jobRecordDeleted("j-1", now)
	stops := l.commands.inFlight - constants.MaxCommandsInFlight/2
	if stops < 4 {
		t.Errorf("only %d stops were sent, want at least 4", stops)
	}
	close(unblock)
	runUntilIdle(t, l)
	if l.commands.inFlight != 0 {
		t.Errorf("%d slots were never released", l.commands.inFlight)
	}
}

// TestUnreachableMachinesDoNotDelayStops guards against stops that are delayed by commands to
// unreachable machines: a network partition separates hundreds of machines with cancelled
// tasks, and direct commands to them hang. A gang in another zone that must save its state has
// to get all its stops within seconds, or saving fails.
func TestUnreachableMachinesDoNotDelayStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		l := testLeader(t)
		useUnavailableStore(t, l)
		l.teams = []config.Team{{Name: "a", GuaranteedGPUs: 10000, MaxGPUs: 10000}}
		unblock := make(chan struct{})
		l.deps.Workers = blockedWorkers(unblock)
		const machines, gang = 500, 20
		for i := range machines {
			addMachine(l, fmt.Sprintf("m-%04d", i), "west", now).worker.Endpoint = "x"
		}
		addJob(t, l, arraySpec("j-1", 4*machines), now)
		for range 6 {
			l.runSchedulingPass(now)
			commitPending(l, 100)
		}
		for machine := range l.fleet.all() {
			machine.worker.Commands(true, now)
		}
		now = now.Add(l.silenceTolerance() + time.Second)
		for i := range gang {
			addMachine(l, fmt.Sprintf("m-9%03d", i), "east", now).worker.Endpoint = "x"
		}
		spec := arraySpec("j-2", gang)
		spec.Kind, spec.GPUs = jobs.KindGang, 4
		job := addJob(t, l, spec, now)
		l.runSchedulingPass(now)
		commitPending(l, 1000)
		for _, task := range job.attempts.sorted() {
			task.machine.worker.Commands(true, now)
		}
		if len(job.attempts) != gang {
			t.Fatalf("%d tasks of the gang were placed, want all 20", len(job.attempts))
		}
		l.jobRecordDeleted("j-1", now)
		if l.commands.inFlight != constants.MaxSilentCommandsInFlight {
			t.Errorf("%d commands in flight to unreachable machines, want MaxSilentCommandsInFlight", l.commands.inFlight)
		}
		l.stopGang(job, 10, now)
		if sent := l.commands.inFlight - constants.MaxSilentCommandsInFlight; sent != gang {
			t.Errorf("%d of %d stops for the gang were sent at once", sent, gang)
		}
		close(unblock)
		runUntilIdle(t, l)
		if l.commands.inFlight != 0 || l.commands.silentInFlight != 0 {
			t.Errorf("%d slots were never released, %d of them for silent workers", l.commands.inFlight, l.commands.silentInFlight)
		}
	})
}

// blockedWorkers is a worker client whose requests hang until the channel is closed, and
// then fail.
type blockedWorkers chan struct{}

func (b blockedWorkers) Send(context.Context, string, workers.CommandBatch) (*workers.Heartbeat, error) {
	<-b
	return nil, statestore.ErrOutcomeUnknown
}

// recordingWorkers is a worker client that records the commands of each request.
type recordingWorkers struct{ commands chan []workers.Command }

func (w recordingWorkers) Send(_ context.Context, _ string, batch workers.CommandBatch) (*workers.Heartbeat, error) {
	w.commands <- batch.Commands
	return nil, context.Canceled
}

// TestOnlyStopsAreSentDirectly checks that no start and no `forget` is sent as a direct
// command: a direct command may be delayed for minutes and is still carried out.
func TestOnlyStopsAreSentDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		l := testLeader(t)
		sent := recordingWorkers{make(chan []workers.Command, 1)}
		l.deps.Workers = sent
		machine := addMachine(l, "m-1", "east", now)
		machine.worker.Endpoint = "m-1:1"
		job := addJob(t, l, arraySpec("j-1", 3), now)
		l.runSchedulingPass(now)
		for _, task := range job.attempts.sorted() {
			task.attempt.Committed, task.attempt.StartAllowed = true, true
		}
		if n := len(machine.worker.Commands(true, now)); n != 3 {
			t.Fatalf("%d start commands, want 3", n)
		}
		placed := job.attempts.sorted()
		placed[0].attempt.StopRequested, placed[0].attempt.StopRequestedAt = true, now
		placed[1].attempt.Status, placed[1].attempt.ExitRecorded = workers.StatusExited, true
		l.sendStops(machine, now)
		runNextEvent(t, l)
		if got := <-sent.commands; len(got) != 1 || got[0].Verb != workers.VerbStop {
			t.Errorf("commands sent directly: %+v, want one stop", got)
		}
	})
}
