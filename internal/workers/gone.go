package workers

import (
	"time"

	"thornnotch/internal/constants"
)

// This file holds every proof that an attempt is gone: that it is not on its machine and
// never will be. Only then may its task start elsewhere, or it could run twice. The proofs:
//
//   - never sent: no `run` for it can ever have left a node (RequestStop);
//   - absence: a heartbeat of its epoch does not list it (goneByAbsence);
//   - expired epoch: the worker reports a newer epoch (expireEpochs);
//   - lease expiry: the worker's lease has run out unrenewed (ExpireLease);
//   - machine terminated: the cloud has confirmed that the machine is gone (MarkTerminated).

// goneByAbsence removes the attempts that the heartbeat, by not listing them, proves gone.
func (agent *Agent) goneByAbsence(heartbeat *Heartbeat, listed map[AttemptID]bool, term uint64) (gone []Event) {
	for id, attempt := range agent.Attempts {
		if !listed[id] && absenceProves(attempt, heartbeat, term) {
			gone = append(gone, agent.remove(attempt)...)
		}
	}
	return gone
}

// absenceProves tells whether a heartbeat that does not list an attempt proves that it is
// not on the machine and never will be.
func absenceProves(attempt *Attempt, heartbeat *Heartbeat, term uint64) bool {
	switch {
	case attempt.exited():
		// The worker lists exited tasks until a `forget`, which it has carried out.
		return attempt.ExitRecorded
	case attempt.FromEarlierTerm:
		// An older leader's reply may be under way until the worker has seen our token,
		// from when on it drops that reply.
		return heartbeat.Token >= term
	case !attempt.RunSent:
		// A reply that carries its `run` can still leave, unless it is no longer wanted.
		return attempt.StopRequested
	case !attempt.unreported():
		// It was there, and only a `forget` or the epoch's end removes a task from the
		// heartbeats of one epoch.
		return true
	default:
		// The worker has one heartbeat under way at a time, so a later one shows that the
		// reply with `run` was dropped. An attempt that is still wanted stays: the next
		// reply carries its `run` again.
		return attempt.StopRequested && heartbeat.Sequence > attempt.RunSentSequence
	}
}

// expireEpochs removes all attempts of epochs up to this one: the worker has killed and
// forgotten every task before it went on to the next (protocol, "Leases").
func (agent *Agent) expireEpochs(epoch uint64) (gone []Event) {
	agent.ExpiredEpoch = max(agent.ExpiredEpoch, epoch)
	for _, attempt := range agent.Attempts {
		if attempt.Epoch <= epoch {
			gone = append(gone, agent.remove(attempt)...)
		}
	}
	sortEvents(gone)
	return gone
}

// ExpireLease ends the worker's epoch once its lease must have expired (LeaseExpired); the
// worker has then killed every task of it.
func (agent *Agent) ExpireLease(term uint64, lease time.Duration, now time.Time) []Event {
	if !agent.LeaseExpired(term, lease, now) || agent.Epoch <= agent.ExpiredEpoch {
		return nil
	}
	return agent.expireEpochs(agent.Epoch)
}

// LeaseExpired tells whether the lease of the epoch that we know must have expired: the
// worker has this term's token, so no other leader can have renewed it, and the last
// heartbeat that we acknowledged arrived longer ago than the lease lasts, with allowance
// for clocks that differ and timers that fire late. A worker that has not shown this term's
// token may still be renewed by an older leader, so its silence proves nothing.
func (agent *Agent) LeaseExpired(term uint64, lease time.Duration, now time.Time) bool {
	if !agent.Registered || agent.Token != term || agent.TokenConfirmedAt.IsZero() {
		return false
	}
	lastRenewal := agent.TokenConfirmedAt
	if agent.LastAcknowledged.After(lastRenewal) {
		lastRenewal = agent.LastAcknowledged
	}
	proofAfter := time.Duration(float64(lease)*(1+constants.ClockDrift)) + constants.LeaseProofMargin
	return now.Sub(lastRenewal) > proofAfter
}

// MarkTerminated removes everything from a machine that the cloud has confirmed gone.
func (agent *Agent) MarkTerminated() (gone []Event) {
	for _, attempt := range agent.Attempts {
		gone = append(gone, agent.remove(attempt)...)
	}
	sortEvents(gone)
	return gone
}

// remove takes a gone attempt out of view. The exit of an exited one has been told already.
func (agent *Agent) remove(attempt *Attempt) []Event {
	delete(agent.Attempts, attempt.ID)
	if attempt.exited() {
		return nil
	}
	return []Event{{EventGone, attempt}}
}
