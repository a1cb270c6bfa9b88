package leader

import (
	"context"
	"net/http"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// Heartbeat answers a worker's heartbeat. The reply may be held back for a moment so
// that commands can go with it. It reports false if the term or ctx ended first.
func (l *Leader) Heartbeat(ctx context.Context, heartbeat *workers.Heartbeat) (Reply, bool) {
	replies := make(chan Reply, 1)
	if !l.post(ctx, heartbeatReceived{heartbeat, time.Now(), replies}) {
		return Reply{}, false
	}
	select {
	case reply := <-replies:
		return reply, reply.Status != 0
	case <-l.done:
	case <-ctx.Done():
	}
	return Reply{}, false
}

// heartbeat takes in a worker's heartbeat and refuses it, or holds its reply back. The
// order of the refusals counts: what is refused before applyHeartbeat is not even
// contact with the worker.
func (l *Leader) heartbeat(heartbeat *workers.Heartbeat, arrived time.Time, reply chan<- Reply) {
	now := time.Now()
	if !l.certainty.Holds(now) {
		// Another node may have accepted a cancellation that we can't know
		// of; the workers' leases must run out before its time is up.
		reply <- refusal
		return
	}
	if l.scaling.isTerminated(heartbeat.Machine) {
		// The cloud has confirmed its end: this heartbeat was under way since.
		reply <- refusal
		return
	}
	machine := l.fleet.getOrAdd(heartbeat.Machine, now)
	l.counts.Heartbeats++
	if machine.agent.IsDuplicate(heartbeat) {
		l.counts.DuplicateHeartbeats++
		// A late copy tells nothing new, and whoever sent it has given up
		// waiting: it must not count as contact with the worker.
		reply <- refusal
		return
	}
	// A heartbeat that an answer to /commands has overtaken is not fresh, but
	// its sender waits for the reply.
	l.applyHeartbeat(machine, heartbeat, false, now)
	if l.term.ended() {
		reply <- Reply{}
		return
	}
	machine.agent.HeartbeatSequence = max(machine.agent.HeartbeatSequence, heartbeat.Sequence)
	if leaseMustRunOut(machine.agent, heartbeat) {
		reply <- refusal
		return
	}
	machine.agent.LastAcknowledged = arrived
	l.holdReply(machine, &heldReply{epoch: heartbeat.Epoch, arrived: arrived, reply: reply})
}

// leaseMustRunOut tells whether a worker must not be acknowledged although its heartbeat
// is no copy. One that our replies do not reach must come to the end of its lease: a
// reply of 200 might always arrive. Neither may a 200 renew an epoch whose end is
// proven, as its tasks may have been started elsewhere.
//
// IsDuplicate has refused epochs that had expired before, and nothing that
// applyHeartbeat does today expires the heartbeat's own epoch: Observe expires those
// before it, and leases expire in a tick alone. The check stays, as no more than the
// order of these calls keeps it from being needed.
func leaseMustRunOut(agent *workers.Agent, heartbeat *workers.Heartbeat) bool {
	return agent.RepliesLost || heartbeat.Epoch <= agent.ExpiredEpoch
}

// holdReply keeps a reply back until there are commands, or for a while.
func (l *Leader) holdReply(machine *machineState, held *heldReply) {
	hold := constants.ReplyHold
	if len(machine.agent.Attempts) == 0 {
		hold = min(constants.IdleReplyHold, l.lease/4)
	}
	held.until = held.arrived.Add(hold)
	l.replies.hold(machine, held)
	if machine.agent.HasCommands() {
		l.replies.wake(machine)
	}
}

// flushReplies answers the heartbeats that have waited long enough or that commands can
// go with.
func (l *Leader) flushReplies(now time.Time) {
	l.replies.flush(now, func(machine *machineState, held *heldReply) (Reply, bool) {
		return l.replyTo(machine, held, now)
	})
}

// replyTo makes the reply to a heartbeat that waits, if it is time to.
func (l *Leader) replyTo(machine *machineState, held *heldReply, now time.Time) (reply Reply, ready bool) {
	if held.epoch != machine.agent.Epoch || machine.agent.RepliesLost {
		return refusal, true
	}
	if !machine.agent.HasCommands() && (now.Before(held.until) || machine.awaitsRecord(held, now)) {
		return Reply{}, false
	}
	commands := machine.agent.Commands(true, now)
	if commands == nil {
		commands = []workers.Command{} // the protocol wants a list
	}
	l.counts.RepliedCommands += uint64(len(commands))
	return Reply{Status: http.StatusOK, Answer: workers.CommandBatch{Token: l.term.number(), Commands: commands}}, true
}

// awaitsRecord tells whether a start waits only for its record: its `run` can go
// into the present reply, and would wait for the worker's next heartbeat else.
func (m *machineState) awaitsRecord(held *heldReply, now time.Time) bool {
	return now.Before(held.arrived.Add(constants.PendingStartReplyHold)) && m.hasUnrecordedStart()
}

func (m *machineState) hasUnrecordedStart() bool {
	for _, attempt := range m.agent.Attempts {
		if !attempt.RunSent && !attempt.StopRequested && attempt.Epoch == m.agent.Epoch {
			return true
		}
	}
	return false
}

// applyHeartbeat takes in what a worker says of itself, by whichever way it came: as a
// heartbeat, or direct, as the answer to a command.
func (l *Leader) applyHeartbeat(machine *machineState, heartbeat *workers.Heartbeat, direct bool, now time.Time) {
	if heartbeat.Token > l.term.number() {
		l.term.end(ErrDeposed)
		return
	}
	agent := machine.agent
	before := *agent
	machine.heartbeatGap = before.Registered && now.Sub(before.LastHeartbeat) > l.silenceTolerance()
	events, fresh := agent.Observe(heartbeat, l.term.number(), direct, now)
	if !fresh {
		return
	}
	machine.startOverdue = agent.StartOverdue(now)
	l.followReachability(machine, before.RepliesLost, before.EpochUnconfirmed, now)
	if !before.Registered {
		l.passes.request()
		machine.markStale()
		l.machineRegistered(machine, now)
	}
	if before.Epoch != agent.Epoch {
		if before.Epoch != 0 && len(events) > 0 {
			l.deps.Log.Info("machine began a new epoch", "machine", agent.Name, "epoch", agent.Epoch, "events", len(events))
		}
		machine.images.dropFetches()
		machine.markStale()
		l.passes.request()
	}
	l.applyEvents(machine, events, now)
	if !agent.ReclaimAt.IsZero() {
		l.drain(machine, now)
	}
}

// followReachability acts on what a heartbeat has shown of whether our replies reach
// the worker, given what was known before.
func (l *Leader) followReachability(machine *machineState, repliesWereLost, epochWasUnconfirmed bool, now time.Time) {
	agent := machine.agent
	if agent.RepliesLost != repliesWereLost {
		machine.markStale()
		if agent.RepliesLost {
			l.deps.Log.Warn("replies do not reach the machine", "machine", agent.Name, "zone", agent.Zone)
		} else {
			l.deps.Log.Info("replies reach the machine again", "machine", agent.Name, "zone", agent.Zone)
		}
		l.passes.request()
	}
	agent.ConfirmEpoch(l.lease, now)
	if agent.EpochUnconfirmed != epochWasUnconfirmed {
		if agent.EpochUnconfirmed {
			machine.direct.hurry()
		}
		l.passes.request()
	}
	if agent.RepliesLost || agent.EpochUnconfirmed {
		l.probeAgent(machine, now)
	}
}
