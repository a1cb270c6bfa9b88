package workers

import (
	"time"

	"thornnotch/internal/constants"
)

// This file removes attempts that are proven gone: that are not on their machine and never
// will be. A task may start elsewhere only after such a proof, as it could otherwise run
// twice. The proofs are:
//
//   - never sent: no node can have sent a `run` for it (RequestStop);
//   - absence: a heartbeat of its epoch does not list it (removeAbsent);
//   - expired epoch: the worker reports a newer epoch (expireEpochs);
//   - lease expiry: the worker's lease has expired without renewal (ExpireLease);
//   - machine terminated: the cloud has confirmed that the machine is gone (MarkTerminated).

// removeAbsent removes the attempts that are proven gone because the heartbeat does not list
// them.
func (worker *Worker) removeAbsent(heartbeat *Heartbeat, listed map[AttemptID]bool, term uint64) (gone []Event) {
	for id, attempt := range worker.Attempts {
		if !listed[id] && absenceProvesGone(attempt, heartbeat, term) {
			gone = append(gone, worker.remove(attempt)...)
		}
	}
	return gone
}

// absenceProvesGone reports whether a heartbeat that does not list an attempt proves that it
// is not on the machine and never will be.
func absenceProvesGone(attempt *Attempt, heartbeat *Heartbeat, term uint64) bool {
	switch {
	case attempt.exited():
		// The worker lists an exited task until it executes a `forget`, which is sent only
		// once the exit is recorded.
		return attempt.ExitRecorded
	case attempt.FromEarlierTerm:
		// A reply of an earlier leader may still start the attempt until the worker has this
		// term's token. After that it drops such replies.
		return heartbeat.Token >= term
	case !attempt.RunSent:
		// A later reply can still carry its `run`, unless a stop was requested.
		return attempt.StopRequested
	case !attempt.unreported():
		// The worker has listed it before, and only a `forget` or the end of the epoch
		// removes a task from the heartbeats.
		return true
	default:
		// The worker sends the next heartbeat only after the reply to the last one has
		// arrived or timed out, so a later heartbeat without the attempt shows that the reply
		// with `run` was lost. Without a requested stop the attempt remains: the next reply
		// carries its `run` again.
		return attempt.StopRequested && heartbeat.Sequence > attempt.RunSentSequence
	}
}

// expireEpochs removes the attempts of all epochs up to the given one. The worker kills and
// forgets every task of an epoch before it starts the next (protocol, "Leases").
func (worker *Worker) expireEpochs(epoch uint64) (gone []Event) {
	worker.ExpiredEpoch = max(worker.ExpiredEpoch, epoch)
	for _, attempt := range worker.Attempts {
		if attempt.Epoch <= epoch {
			gone = append(gone, worker.remove(attempt)...)
		}
	}
	sortEvents(gone)
	return gone
}

// ExpireLease ends the worker's epoch if its lease must have expired (LeaseExpired), in which
// case the worker has killed every task of that epoch.
func (worker *Worker) ExpireLease(term uint64, lease time.Duration, now time.Time) []Event {
	if !worker.LeaseExpired(term, lease, now) || worker.Epoch <= worker.ExpiredEpoch {
		return nil
	}
	return worker.expireEpochs(worker.Epoch)
}

// LeaseExpired reports whether the worker's lease must have expired. This requires that the
// worker has this term's token, so that no other leader can have renewed the lease, and that
// the last acknowledged heartbeat arrived longer ago than the lease lasts, allowing for clock
// drift and late timers. The lease of a worker without this term's token may still be renewed
// by an earlier leader, so its silence proves nothing.
func (worker *Worker) LeaseExpired(term uint64, lease time.Duration, now time.Time) bool {
	if !worker.Registered || worker.Token != term || worker.TokenConfirmedAt.IsZero() {
		return false
	}
	lastRenewal := worker.TokenConfirmedAt
	if worker.LastAcknowledged.After(lastRenewal) {
		lastRenewal = worker.LastAcknowledged
	}
	proofAfter := time.Duration(float64(lease)*(1+constants.ClockDrift)) + constants.LeaseProofMargin
	return now.Sub(lastRenewal) > proofAfter
}

// MarkTerminated removes all attempts after the cloud has confirmed that the machine is gone.
func (worker *Worker) MarkTerminated() (gone []Event) {
	for _, attempt := range worker.Attempts {
		gone = append(gone, worker.remove(attempt)...)
	}
	sortEvents(gone)
	return gone
}

// remove removes an attempt that is gone. It returns an EventGone unless the attempt has
// exited, which EventExited has already reported.
func (worker *Worker) remove(attempt *Attempt) []Event {
	delete(worker.Attempts, attempt.ID)
	if attempt.exited() {
		return nil
	}
	return []Event{{EventGone, attempt}}
}
