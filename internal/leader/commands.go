package leader

import (
	"context"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// commandDispatcher bounds the direct commands under way: a node has few sockets beside
// those of its workers. Half of the places are for stops alone, and commands to workers
// that have not been heard lately get half at most: most likely they hang until their
// time is over, and a whole dark zone's would take the places that others' stops need.
type commandDispatcher struct {
	inFlight int
	// silentInFlight are those of them to workers that have not been heard lately.
	silentInFlight int
}

// acquire takes a place for a command. It reports false if the command has to wait for
// others.
func (d *commandDispatcher) acquire(stops, silent bool) bool {
	limit := constants.MaxCommandsInFlight
	if !stops {
		limit /= 2
	}
	if d.inFlight >= limit || silent && d.silentInFlight >= constants.MaxSilentCommandsInFlight {
		return false
	}
	d.inFlight++
	if silent {
		d.silentInFlight++
	}
	return true
}

// release gives the place of a command back, which was silent when it was acquired.
func (d *commandDispatcher) release(silent bool) {
	d.inFlight--
	if silent {
		d.silentInFlight--
	}
}

// directCommandState is what the leader knows of the direct commands to one worker.
type directCommandState struct {
	inFlight bool
	lastSent time.Time // zero if none was sent, or the next is to go out at once
}

func (d *directCommandState) begin(now time.Time) { d.inFlight, d.lastSent = true, now }

// end notes that a command was answered, or failed.
func (d *directCommandState) end() { d.inFlight = false }

// hurry has the next probe sent without a pause.
func (d *directCommandState) hurry() { d.lastSent = time.Time{} }

// sinceLast is how long ago a command was last sent.
func (d *directCommandState) sinceLast(now time.Time) time.Duration { return now.Sub(d.lastSent) }

// sendCommand sends commands to a worker's own address. They may arrive minutes
// late, so only stops go this way: a late stop names an attempt that is never
// started again. Without any it shows the worker our token and asks for its status.
// It reports false when the commands have to wait for others.
func (l *Leader) sendCommand(machine *machineState, stops []workers.Command, now time.Time) bool {
	agent := machine.agent
	if agent.Endpoint == "" || agent.Epoch == 0 || machine.direct.inFlight && len(stops) == 0 {
		return true // nowhere to send it, or its news is under way already
	}
	silent := l.isSilent(machine, now)
	if !l.commands.acquire(len(stops) > 0, silent) {
		l.counts.PostponedCommands++
		return false
	}
	machine.direct.begin(now)
	l.counts.DirectCommands++
	if stops == nil {
		stops = []workers.Command{} // the protocol wants a list
	}
	batch := workers.CommandBatch{Token: l.term.number(), Epoch: agent.Epoch, Commands: stops}
	endpoint := agent.Endpoint
	l.calls.queue(func(ctx context.Context) func() {
		status, err := l.deps.Workers.Send(ctx, endpoint, batch)
		return func() {
			machine.direct.end()
			l.commands.release(silent)
			if err != nil || status == nil {
				l.deps.Log.Debug("direct command failed", "machine", agent.Name, "error", err)
				return
			}
			if l.fleet.get(agent.Name) == machine && status.Machine == agent.Name {
				l.applyHeartbeat(machine, status, true, time.Now())
			}
		}
	})
	return true
}

// sendStops sends stops straight to a worker, so that they need not wait for its
// next heartbeat. One that is silent is most likely cut off and told again less often.
func (l *Leader) sendStops(machine *machineState, now time.Time) {
	resend := constants.StopResend
	if l.isSilent(machine, now) {
		resend = constants.StopResendSilent
	}
	if !machine.stopsDue(resend, now) {
		return
	}
	if !l.sendCommand(machine, stopCommands(machine.agent, now), now) {
		return // the next tick tries again
	}
	for _, attempt := range machine.agent.Attempts {
		if attempt.StopRequested {
			attempt.StopSentAt = now
		}
	}
}

// stopsDue tells whether a stop has to be sent, or sent again after this pause.
func (m *machineState) stopsDue(resend time.Duration, now time.Time) bool {
	for _, attempt := range m.agent.Attempts {
		if attempt.StopRequested && attempt.Status != workers.StatusExited &&
			(attempt.RunSent || attempt.FromEarlierTerm) && now.Sub(attempt.StopSentAt) >= resend {
			return true
		}
	}
	return false
}

// stopCommands lists the stops that a worker must be told.
func stopCommands(agent *workers.Agent, now time.Time) (stops []workers.Command) {
	for _, command := range agent.Commands(false, now) {
		if command.Verb == workers.VerbStop {
			stops = append(stops, command)
		}
	}
	return stops
}

// probeAgent tries to reach a worker directly: an answer shows that it hears.
func (l *Leader) probeAgent(machine *machineState, now time.Time) {
	if machine.direct.sinceLast(now) >= constants.ProbeInterval {
		l.sendCommand(machine, nil, now)
	}
}
