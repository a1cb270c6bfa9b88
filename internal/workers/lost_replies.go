package workers

import (
	"time"

	"thornnotch/internal/constants"
)

// An asymmetric network partition may deliver heartbeats but not the leader's messages to the
// worker. This file detects that, and when the worker receives messages again.

// markReachable records that the worker has evidently received a message from the leader.
func (worker *Worker) markReachable() {
	worker.RepliesLost, worker.ReachabilityUnconfirmed, worker.IgnoredStops = false, false, 0
}

// ConfirmReachability clears ReachabilityUnconfirmed once the worker has kept its epoch for
// longer than it could have without receiving the leader's replies.
func (worker *Worker) ConfirmReachability(lease time.Duration, now time.Time) {
	if worker.ReachabilityUnconfirmed && now.Sub(worker.ReachabilityUnconfirmedAt) > lease+lease/2 {
		worker.ReachabilityUnconfirmed = false
	}
}

// detectLostReplies sets RepliesLost if the leader's replies evidently do not reach the worker:
// several consecutive heartbeats do not list a started attempt, or show a stop not carried
// out. It then cancels the starts that never arrived, so that the same heartbeat proves their
// attempts gone.
func (worker *Worker) detectLostReplies(heartbeat *Heartbeat, listed map[AttemptID]bool, now time.Time) {
	worker.countMissedStarts(heartbeat.Sequence, listed)
	worker.countIgnoredStops(listed, now)
	if worker.RepliesLost {
		worker.cancelMissedStarts(listed, now)
	}
}

// countMissedStarts counts, for each started attempt, the heartbeats after its `run` that do
// not list it.
func (worker *Worker) countMissedStarts(sequence uint64, listed map[AttemptID]bool) {
	for id, attempt := range worker.Attempts {
		if listed[id] || !attempt.runUnconfirmed() || sequence <= attempt.RunSentSequence {
			continue
		}
		attempt.MissedHeartbeats++
		if attempt.MissedHeartbeats >= constants.LostReplyHeartbeats {
			worker.RepliesLost = true
		}
	}
}

// countIgnoredStops counts the consecutive heartbeats that list an attempt as active although
// its stop was requested more than constants.StopIgnoredAfter ago.
func (worker *Worker) countIgnoredStops(listed map[AttemptID]bool, now time.Time) {
	if !worker.ignoresStop(listed, now) {
		worker.IgnoredStops = 0
		return
	}
	worker.IgnoredStops++
	if worker.IgnoredStops >= constants.LostReplyHeartbeats {
		worker.RepliesLost = true
	}
}

func (worker *Worker) ignoresStop(listed map[AttemptID]bool, now time.Time) bool {
	for id, attempt := range worker.Attempts {
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
func (worker *Worker) cancelMissedStarts(listed map[AttemptID]bool, now time.Time) {
	for id, attempt := range worker.Attempts {
		if !listed[id] && attempt.runUnconfirmed() && !attempt.StopRequested {
			attempt.StopRequested, attempt.StopRequestedAt = true, now
		}
	}
}

// StartOverdue reports whether there is an attempt that the worker has never listed although
// its first `run` was sent more than constants.StartOverdueAfter ago.
func (worker *Worker) StartOverdue(now time.Time) bool {
	for _, attempt := range worker.Attempts {
		if attempt.RunSent && attempt.unreported() && !attempt.RunSentAt.IsZero() &&
			now.Sub(attempt.RunSentAt) > constants.StartOverdueAfter {
			return true
		}
	}
	return false
}
