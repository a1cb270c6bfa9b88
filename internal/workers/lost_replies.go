package workers

import (
	"time"

	"thornnotch/internal/constants"
)

// A network that is cut in one direction lets heartbeats through but not what we send. This
// file holds the signs of that, and the signs that a worker receives again.

// noteReachable notes that something we sent has arrived.
func (agent *Agent) noteReachable() {
	agent.RepliesLost, agent.EpochUnconfirmed, agent.IgnoredStops = false, false, 0
}

// ConfirmEpoch ends the doubt about a worker that has kept its epoch for longer than it
// could have without our replies.
func (agent *Agent) ConfirmEpoch(lease time.Duration, now time.Time) {
	if agent.EpochUnconfirmed && now.Sub(agent.EpochUnconfirmedAt) > lease+lease/2 {
		agent.EpochUnconfirmed = false
	}
}

// detectLostReplies looks for signs that our replies do not reach the worker: starts that
// several later heartbeats do not list, or stops that several do not heed. Starts that never
// arrived are then withdrawn; the heartbeat that shows it proves them gone.
func (agent *Agent) detectLostReplies(heartbeat *Heartbeat, listed map[AttemptID]bool, now time.Time) {
	agent.countMissedStarts(heartbeat.Sequence, listed)
	agent.countIgnoredStops(listed, now)
	if agent.RepliesLost {
		agent.withdrawMissedStarts(listed, now)
	}
}

// countMissedStarts counts for each start the heartbeats, later than its `run`, that do not
// list it.
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

// countIgnoredStops counts the heartbeats in a row that list an attempt as going on although
// it was told to stop long ago.
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

// ignoresStop tells whether the attempt goes on long after it was told to stop. One that
// saves has heeded the stop.
func (a *Attempt) ignoresStop(now time.Time) bool {
	if !a.StopRequested || a.StopRequestedAt.IsZero() || now.Sub(a.StopRequestedAt) <= constants.StopIgnoredAfter {
		return false
	}
	return a.Status == StatusRunning || a.Status == StatusFetching || a.Status == StatusWaiting
}

// withdrawMissedStarts stops the starts that have evidently not arrived.
func (agent *Agent) withdrawMissedStarts(listed map[AttemptID]bool, now time.Time) {
	for id, attempt := range agent.Attempts {
		if !listed[id] && attempt.runUnconfirmed() && !attempt.StopRequested {
			attempt.StopRequested, attempt.StopRequestedAt = true, now
		}
	}
}

// StartOverdue tells whether a start was sent so long ago that the worker must have reported
// it, and has not.
func (agent *Agent) StartOverdue(now time.Time) bool {
	for _, attempt := range agent.Attempts {
		if attempt.RunSent && attempt.unreported() && !attempt.RunSentAt.IsZero() &&
			now.Sub(attempt.RunSentAt) > constants.StartOverdueAfter {
			return true
		}
	}
	return false
}
