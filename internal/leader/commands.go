package leader

import (
	"context"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// sendStops sends stops straight to a worker, so that they need not wait for its
// next report. One that has not been heard for a while is most likely cut off:
// orders to it hang until their time is over, and a whole dark zone's would
// take the sockets and the places that the others' stops need.
func (l *Leader) sendStops(machine *machineState, now time.Time) {
	again := constants.StopResend
	if l.silentFor(machine, now) > l.silenceTolerance() {
		again = constants.StopResendSilent
	}
	due := false
	for _, a := range machine.agent.Attempts {
		if a.StopRequested && a.Status != workers.StatusExited && (a.RunSent || a.FromEarlierTerm) && now.Sub(a.StopSentAt) >= again {
			due = true
		}
	}
	if !due {
		return
	}
	var orders []workers.Command
	for _, o := range machine.agent.Commands(false, now) {
		if o.Verb == workers.VerbStop {
			orders = append(orders, o)
		}
	}
	if !l.sendCommand(machine, orders, now) {
		return // the next tick tries again
	}
	for _, a := range machine.agent.Attempts {
		if a.StopRequested {
			a.StopSentAt = now
		}
	}
}

// silenceTolerance is how long a worker may well be silent: a few of its reports.
func (l *Leader) silenceTolerance() time.Duration {
	return time.Duration(constants.SilentAfterHeartbeats * float64(config.Seconds(l.deps.Settings.Params.Workers.HeartbeatS)))
}

// sendCommand sends orders to a worker's own address. They may arrive minutes
// late, so only stops go this way: a late stop names an attempt that is never
// started again.
//
// So many are under way at once at most, half of these for stops alone and half for
// workers that have been heard of late: a node has few sockets beside those of its
// workers. It reports false when the order has to wait for others.
func (l *Leader) sendCommand(machine *machineState, orders []workers.Command, now time.Time) bool {
	if machine.agent.Endpoint == "" || machine.agent.Epoch == 0 || machine.commandInFlight && len(orders) == 0 {
		return true
	}
	silent := l.silentFor(machine, now) > l.silenceTolerance()
	most := constants.MaxCommandsInFlight
	if len(orders) == 0 {
		most /= 2
	}
	if l.commandsInFlight >= most || silent && l.silentCommandsInFlight >= constants.MaxSilentCommandsInFlight {
		l.counts.Postponed++
		return false
	}
	l.commandsInFlight++
	if silent {
		l.silentCommandsInFlight++
	}
	answered := func() {
		machine.commandInFlight = false
		l.commandsInFlight--
		if silent {
			l.silentCommandsInFlight--
		}
	}
	machine.lastCommandAt = now
	machine.commandInFlight = true
	l.counts.Commands++
	if orders == nil {
		orders = []workers.Command{}
	}
	a := workers.CommandBatch{Token: l.term.number(), Epoch: machine.agent.Epoch, Commands: orders}
	endpoint := machine.agent.Endpoint
	l.calls.queue(func(ctx context.Context) func() {
		rep, err := l.deps.Workers.Send(ctx, endpoint, a)
		if err != nil || rep == nil {
			l.deps.Log.Debug("direct order failed", "rig", machine.agent.Name, "err", err)
			return answered
		}
		return func() {
			answered()
			if l.fleet.get(machine.agent.Name) == machine && rep.Machine == machine.agent.Name {
				l.applyHeartbeat(machine, rep, true, time.Now())
			}
		}
	})
	return true
}

// drain stops what runs on a machine that the cloud takes away, while there
// is time to save. A notice may be half as long as it says.
func (l *Leader) drain(machine *machineState, now time.Time) {
	for _, a := range machine.agent.SortedAttempts() {
		if a.StopRequested || !a.Live() {
			continue
		}
		j := l.jobs.get(a.ID.Task.Job)
		if j == nil {
			l.stopAttempt(machine, a, 0, now)
			continue
		}
		grace := j.spec.SaveS + constants.StopGrace.Seconds()
		if j.spec.Kind == jobs.KindGang {
			l.stopGang(j, grace, now)
		} else {
			l.stopAttempt(machine, a, grace, now)
		}
	}
	if len(l.reservations.OnMachine(machine.agent.Name)) > 0 {
		l.reservations.RemoveMachine(machine.agent.Name)
		l.metadataChanged(machine, now)
	}
}

// probeAgent tries to reach a worker directly: an answer shows that it hears.
func (l *Leader) probeAgent(machine *machineState, now time.Time) {
	if now.Sub(machine.lastCommandAt) >= constants.ProbeInterval {
		l.sendCommand(machine, nil, now)
	}
}
