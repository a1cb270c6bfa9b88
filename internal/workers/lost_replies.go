package workers

import (
	"time"

	"thornnotch/internal/constants"
)

// An asymmetric network partition may deliver heartbeats but not the leader's messages to the
// worker. This file detects that, and when the worker receives messages again.

// markReachable records that the worker has evidently received a message from the leader.
func (agent *Agent) markReachable() {
	agent.RepliesLost, agent.ReachabilityUnconfirmed, agent.IgnoredStops = false, false, 0
}

// ConfirmReachability clears ReachabilityUnconfirmed once the worker has kept its epoch for
// longer than it could have without receiving the leader's replies.
func (agent *Agent) ConfirmReachability(lease time.Duration, now time.Time) {
	if agent.ReachabilityUnconfirmed && now.Sub(agent.ReachabilityUnconfirmedAt) > lease+lease/2 {
		agent.ReachabilityUnconfirmed = false
	}
}

// detectLostReplies sets RepliesLost if the leader's replies evidently do not reach the worker:
// several consecutive heartbeats do not list a started attempt, or show a stop not carried
// out. It then cancels the starts that never arrived, so that the same heartbeat proves their
// attempts gone.
func (agent *Agent) detectLostReplies(heartbeat *Heartbeat, listed map[AttemptID]bool, now time.Time) {
	agent.countMissedStarts(heartbeat.Sequence, listed)
	agent.countIgnoredStops(listed, now)
	if agent.RepliesLost {
		agent.cancelMissedStarts(listed, now)
	}
}

// countMissedStarts counts, for each started attempt, the heartbeats after its `run` that do
// not list it.
func (agent *Agent) countMissedStarts(sequence uint64, listed map[AttemptID]bool) {
	for id, attempt := range agent.Attempts {
		if listed[id] || !attempt.runUnconfirmed() || sequence <= attempt.RunSentSequence {
			continue
		}
		attempt.MissedHeartbeats++
		if attempt.MissedHeartbeats >= constants.LostReplyHeartbeats {
			agent.RepliesLost = true
		}
	}
}

// countIgnoredStops counts the consecutive heartbeats that list an attempt as active although
// its stop was requested more than constants.StopIgnoredAfter ago.
func (agent *Agent) countIgnoredStops(listed map[AttemptID]bool, now time.Time) {
	if !agent.ignoresStop(listed, now) {
		agent.IgnoredStops = 0
		return
	}
	agent.IgnoredStops++
	if agent.IgnoredStops >= constants.LostReplyHeartbeats {
		agent.RepliesLost = true
	}
}

func (agent *Agent) ignoresStop(listed map[AttemptID]bool, now time.Time) bool {
	for id, attempt := range agent.Attempts {
		if listed[id] && attempt.ignoresStop(now) {
			return true
		}
	}
	return false
}

// ignoresStop reports whether the attempt is active although its stop was requested more than
// constants.StopIgnoredAfter ago. An attempt that is saving has received the stop.
func (a *Attempt) ignoresStop(now time.Time) bool {
	if !a.StopRequested || a.StopRequestedAt.IsZero() || now.Sub(a.StopRequestedAt) <= constants.StopIgnoredAfter {
		return false
	}
	return a.Status == StatusRunning || a.Status == StatusFetching || a.Status == StatusWaiting
}

// cancelMissedStarts requests a stop of the attempts whose `run` has evidently not arrived.
func (agent *Agent) cancelMissedStarts(listed map[AttemptID]bool, now time.Time) {
	for id, attempt := range agent.Attempts {
		if !listed[id] && attempt.runUnconfirmed() && !attempt.StopRequested {
			attempt.StopRequested, attempt.StopRequestedAt = true, now
		}
	}
}

// StartOverdue reports whether there is an attempt that the worker has never listed although
// its first `run` was sent more than constants.StartOverdueAfter ago.
func (agent *Agent) StartOverdue(now time.Time) bool {
	for _, attempt := range agent.Attempts {
		if attempt.RunSent && attempt.unreported() && !attempt.RunSentAt.IsZero() &&
			now.Sub(attempt.RunSentAt) > constants.StartOverdueAfter {
			return true
		}
	}
	return false
}
