package leader

import (
	"context"
	"net/http"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// Heartbeat handles a worker's heartbeat and returns the reply. The reply may be held back
// for a moment so that it can carry commands. Heartbeat returns false if the term or ctx
// ended first.
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

// heartbeat applies a worker's heartbeat, and either refuses it or holds its reply. The
// order of the checks matters: a heartbeat refused before applyHeartbeat does not count as
// contact with the worker.
func (l *Leader) heartbeat(heartbeat *workers.Heartbeat, arrived time.Time, reply chan<- Reply) {
	now := time.Now()
	if !l.staleness.MayAcknowledge(now) {
		// Another node may have accepted a cancellation that this leader has not seen.
		// Workers' leases must expire before the time promised for that cancellation.
		reply <- refusal
		return
	}
	if l.scaling.isTerminated(heartbeat.Machine) {
		// The cloud has confirmed that the machine was terminated; this heartbeat
		// was delayed in the network.
		reply <- refusal
		return
	}
	machine := l.fleet.getOrAdd(heartbeat.Machine, now)
	l.counts.Heartbeats++
	if machine.worker.IsDuplicate(heartbeat) {
		l.counts.DuplicateHeartbeats++
		// A late duplicate contains nothing new, and its sender no longer waits for the reply.
		// It must not count as contact with the worker.
		reply <- refusal
		return
	}
	// If a response to /commands has overtaken this heartbeat, its content is outdated,
	// but the worker still waits for the reply.
	l.applyHeartbeat(machine, heartbeat, false, now)
	if l.term.ended() {
		reply <- Reply{}
		return
	}
	machine.worker.HeartbeatSequence = max(machine.worker.HeartbeatSequence, heartbeat.Sequence)
	if leaseMustExpire(machine.worker, heartbeat) {
		reply <- refusal
		return
	}
	machine.worker.LastAcknowledged = arrived
	l.holdReply(machine, &heldReply{epoch: heartbeat.Epoch, arrived: arrived, reply: reply})
}

// leaseMustExpire reports whether a heartbeat must be refused, although it is not a duplicate,
// so that the worker's lease expires. This holds for a worker that does not receive the
// leader's replies, because any reply of 200 might still arrive and renew the lease. It also
// holds for an epoch that is proven to have ended, because its tasks may already run
// elsewhere.
//
// The epoch check never applies with the present order of calls: heartbeats of epochs that had
// expired before are refused because of IsDuplicate, Observe expires only epochs before the
// heartbeat's own, and leases expire only in a tick. It protects against a change of that
// order.
func leaseMustExpire(worker *workers.Worker, heartbeat *workers.Heartbeat) bool {
	return worker.RepliesLost || heartbeat.Epoch <= worker.ExpiredEpoch
}

// holdReply holds the reply to a heartbeat until there are commands to send or the hold
// time has passed.
func (l *Leader) holdReply(machine *machineState, held *heldReply) {
	hold := constants.ReplyHold
	if len(machine.worker.Attempts) == 0 {
		hold = min(constants.IdleReplyHold, l.lease/4)
	}
	held.until = held.arrived.Add(hold)
	l.replies.hold(machine, held)
	if machine.worker.HasCommands() {
		l.replies.wake(machine)
	}
}

// flushReplies sends the held replies whose hold time has passed or for which there are
// commands.
func (l *Leader) flushReplies(now time.Time) {
	l.replies.flush(now, func(machine *machineState, held *heldReply) (Reply, bool) {
		return l.replyTo(machine, held, now)
	})
}

// replyTo returns the reply to a held heartbeat, and whether it must be sent now.
func (l *Leader) replyTo(machine *machineState, held *heldReply, now time.Time) (reply Reply, ready bool) {
	if held.epoch != machine.worker.Epoch || machine.worker.RepliesLost {
		return refusal, true
	}
	if !machine.worker.HasCommands() && (now.Before(held.until) || machine.waitsForStartRecord(held, now)) {
		return Reply{}, false
	}
	commands := machine.worker.Commands(true, now)
	if commands == nil {
		commands = []workers.Command{} // the protocol requires a list, not null
	}
	l.counts.RepliedCommands += uint64(len(commands))
	return Reply{Status: http.StatusOK, Batch: workers.CommandBatch{Token: l.term.number(), Commands: commands}}, true
}

// waitsForStartRecord reports whether a reply should be held longer because a placed task
// only waits for its record to be written. The `run` command can then go out with this
// reply instead of the reply to the worker's next heartbeat.
func (m *machineState) waitsForStartRecord(held *heldReply, now time.Time) bool {
	return now.Before(held.arrived.Add(constants.PendingStartReplyHold)) && m.hasUnsentRun()
}

// hasUnsentRun reports whether an attempt of the current epoch has not been sent its `run`
// command yet and is not being stopped.
func (m *machineState) hasUnsentRun() bool {
	for _, attempt := range m.worker.Attempts {
		if !attempt.RunSent && !attempt.StopRequested && attempt.Epoch == m.worker.Epoch {
			return true
		}
	}
	return false
}

// applyHeartbeat applies a worker's report of its state. direct is set if the report came
// as the response to a direct command rather than as a heartbeat.
func (l *Leader) applyHeartbeat(machine *machineState, heartbeat *workers.Heartbeat, direct bool, now time.Time) {
	if heartbeat.Token > l.term.number() {
		l.term.end(ErrDeposed)
		return
	}
	worker := machine.worker
	before := *worker
	machine.messageGap = before.Registered && now.Sub(before.LastMessageAt) > l.silenceTolerance()
	events, fresh := worker.Observe(heartbeat, l.term.number(), direct, now)
	if !fresh {
		return
	}
	machine.startOverdue = worker.StartOverdue(now)
	l.updateReachability(machine, before.RepliesLost, before.ReachabilityUnconfirmed, now)
	if !before.Registered {
		l.passes.request()
		machine.markStale()
		l.machineRegistered(machine, now)
	}
	if before.Epoch != worker.Epoch {
		if before.Epoch != 0 && len(events) > 0 {
			l.deps.Log.Info("machine began a new epoch", "machine", worker.Name, "epoch", worker.Epoch, "events", len(events))
		}
		machine.images.removeUnfetched()
		machine.markStale()
		l.passes.request()
	}
	l.applyEvents(machine, events, now)
	if !worker.ReclaimAt.IsZero() {
		l.drain(machine, now)
	}
}

// updateReachability handles changes in whether the worker receives the leader's replies and
// whether its reachability is confirmed, after a heartbeat was applied. While either is in
// doubt, it probes the worker. repliesWereLost and reachabilityWasUnconfirmed are the worker's
// values from before that heartbeat.
func (l *Leader) updateReachability(machine *machineState, repliesWereLost, reachabilityWasUnconfirmed bool, now time.Time) {
	worker := machine.worker
	if worker.RepliesLost != repliesWereLost {
		machine.markStale()
		if worker.RepliesLost {
			l.deps.Log.Warn("machine does not receive replies", "machine", worker.Name, "zone", worker.Zone)
		} else {
			l.deps.Log.Info("machine receives replies again", "machine", worker.Name, "zone", worker.Zone)
		}
		l.passes.request()
	}
	worker.ConfirmReachability(l.lease, now)
	if worker.ReachabilityUnconfirmed != reachabilityWasUnconfirmed {
		if worker.ReachabilityUnconfirmed {
			machine.direct.resetInterval()
		}
		l.passes.request()
	}
	if worker.RepliesLost || worker.ReachabilityUnconfirmed {
		l.probeWorker(machine, now)
	}
}
