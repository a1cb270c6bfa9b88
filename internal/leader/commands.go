package leader

import (
	"context"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// commandLimiter limits the number of direct commands in flight, because a node has few
// sockets besides those that its workers use. Half of the slots are reserved for stops.
// Commands to silent workers may take at most half of the slots, because they most likely hang
// until their timeout. Without this limit, the commands to an unreachable zone would take the
// slots that stops for other workers need.
type commandLimiter struct {
	inFlight int
	// silentInFlight counts the commands in flight to silent workers.
	silentInFlight int
}

// acquire takes a slot for a command, and reports whether one was free. stops is set if the
// command stops tasks, silent if it goes to a silent worker.
func (c *commandLimiter) acquire(stops, silent bool) bool {
	limit := constants.MaxCommandsInFlight
	if !stops {
		limit /= 2
	}
	if c.inFlight >= limit || silent && c.silentInFlight >= constants.MaxSilentCommandsInFlight {
		return false
	}
	c.inFlight++
	if silent {
		c.silentInFlight++
	}
	return true
}

// release frees the slot of a command. silent must have the same value as in the call of
// acquire.
func (c *commandLimiter) release(silent bool) {
	c.inFlight--
	if silent {
		c.silentInFlight--
	}
}

// directCommandState tracks the direct commands to one worker.
type directCommandState struct {
	inFlight bool
	lastSent time.Time // zero if none was sent or after resetInterval
}

func (d *directCommandState) begin(now time.Time) { d.inFlight, d.lastSent = true, now }

// end records that a command was answered or failed.
func (d *directCommandState) end() { d.inFlight = false }

// resetInterval allows the next probe to be sent at once.
func (d *directCommandState) resetInterval() { d.lastSent = time.Time{} }

// sinceLast returns how long ago the last command was sent.
func (d *directCommandState) sinceLast(now time.Time) time.Duration { return now.Sub(d.lastSent) }

// sendDirectCommand sends a direct command, that is, a request to the worker's own address. It
// may arrive minutes late, so only stops are sent this way: a late stop is harmless, as it
// names an attempt that is never started again. Without stops the command only sends the
// worker this term's token and asks for its status. sendDirectCommand returns false only if no
// slot is free for the command. It also returns true if nothing has to be sent, or nothing can
// be sent because the worker's endpoint or epoch is not known yet.
func (l *Leader) sendDirectCommand(machine *machineState, stops []workers.Command, now time.Time) bool {
	worker := machine.worker
	if worker.Endpoint == "" || worker.Epoch == 0 || machine.direct.inFlight && len(stops) == 0 {
		return true // no endpoint or epoch yet, or another command with the token is already in flight
	}
	silent := l.isSilent(machine, now)
	if !l.commands.acquire(len(stops) > 0, silent) {
		l.counts.PostponedCommands++
		return false
	}
	machine.direct.begin(now)
	l.counts.DirectCommands++
	if stops == nil {
		stops = []workers.Command{} // the protocol requires a list, not null
	}
	batch := workers.CommandBatch{Token: l.term.number(), Epoch: worker.Epoch, Commands: stops}
	endpoint := worker.Endpoint
	l.calls.queue(func(ctx context.Context) func() {
		status, err := l.deps.Workers.Send(ctx, endpoint, batch)
		return func() {
			machine.direct.end()
			l.commands.release(silent)
			if err != nil || status == nil {
				l.deps.Log.Debug("direct command failed", "machine", worker.Name, "error", err)
				return
			}
			if l.fleet.get(worker.Name) == machine && status.Machine == worker.Name {
				l.applyHeartbeat(machine, status, true, time.Now())
			}
		}
	})
	return true
}

// sendStops sends stops directly to a worker, so that they need not wait for its next
// heartbeat. They are repeated less often to a silent worker, which is most likely
// unreachable.
func (l *Leader) sendStops(machine *machineState, now time.Time) {
	resend := constants.StopResendInterval
	if l.isSilent(machine, now) {
		resend = constants.SilentStopResendInterval
	}
	if !machine.stopsDue(resend, now) {
		return
	}
	if !l.sendDirectCommand(machine, stopCommands(machine.worker, now), now) {
		return // retried on the next tick
	}
	for _, attempt := range machine.worker.Attempts {
		if attempt.StopRequested {
			attempt.StopSentAt = now
		}
	}
}

// stopsDue reports whether a stop has not been sent yet, or was last sent at least resend
// ago.
func (m *machineState) stopsDue(resend time.Duration, now time.Time) bool {
	for _, attempt := range m.worker.Attempts {
		if attempt.StopRequested && attempt.Status != workers.StatusExited &&
			(attempt.RunSent || attempt.FromEarlierTerm) && now.Sub(attempt.StopSentAt) >= resend {
			return true
		}
	}
	return false
}

// stopCommands returns the pending stop commands for a worker.
func stopCommands(worker *workers.Worker, now time.Time) (stops []workers.Command) {
	for _, command := range worker.Commands(false, now) {
		if command.Verb == workers.VerbStop {
			stops = append(stops, command)
		}
	}
	return stops
}

// probeWorker sends a direct command without stops to a worker, at most one per
// ProbeInterval. A response shows that the worker is reachable.
func (l *Leader) probeWorker(machine *machineState, now time.Time) {
	if machine.direct.sinceLast(now) >= constants.ProbeInterval {
		l.sendDirectCommand(machine, nil, now)
	}
}
