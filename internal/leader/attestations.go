package leader

import (
	"context"
	"time"

	"thornnotch/internal/attestation"
	"thornnotch/internal/constants"
)

// AttestFunc asks every node which jobs it has reported to users as cancelled within the window
// that ends with the node's answer. It reports false unless every node gave a complete answer.
type AttestFunc func(ctx context.Context, window time.Duration) (cancelled []string, ok bool)

// collectAttestations requests attestations from all nodes, every AttestationInterval, while the
// watch on the open jobs has been unanswered for at least AttestationAfter. It returns
// ctx.Err() once ctx is done.
func (l *Leader) collectAttestations(ctx context.Context) error {
	ticker := time.NewTicker(constants.AttestationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		watchedUntil, ok := queryLoop(ctx, l, func(reply chan<- time.Time) event { return watchedUntilRequested{reply} })
		askedAt := time.Now()
		if !ok || askedAt.Sub(watchedUntil) < constants.AttestationAfter {
			continue
		}
		if cancelled, ok := l.deps.Attest(ctx, attestation.Window(askedAt, watchedUntil)); ok {
			l.post(ctx, attestationsReceived{cancelled, askedAt}) // dropped only once the term has ended
		}
	}
}

// applyAttestation removes the jobs that the nodes, asked at askedAt, reported as cancelled.
// Every cancellation confirmed to a user before the request is then known. Answers that arrived
// too late are ignored.
func (l *Leader) applyAttestation(cancelled []string, askedAt, now time.Time) {
	if attestation.AnsweredTooLate(askedAt, now) {
		return
	}
	for _, id := range cancelled {
		if job := l.jobs.get(id); job != nil {
			l.deps.Log.Debug("job cancelled", "job", id, "reason", "cancellation attested by a node")
			l.removeJob(job, now)
		}
	}
	if l.staleness.RecordAttestation(askedAt, now) {
		l.deps.Log.Info("cancellations attested by all nodes", "unwatched_s", askedAt.Sub(l.staleness.WatchedUntil()).Seconds())
	}
}
