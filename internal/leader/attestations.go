package leader

import (
	"context"
	"time"

	"thornnotch/internal/attestation"
	"thornnotch/internal/constants"
)

// AttestFunc asks all nodes which cancellations they have told users of within a time; ok is
// false unless each of them can say.
type AttestFunc func(ctx context.Context, span time.Duration) (cancelled []string, ok bool)

// collectAttestations asks the nodes for as long as the watch is not answered.
func (l *Leader) collectAttestations(ctx context.Context) error {
	tick := time.NewTicker(constants.AttestationInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		watchedUntil, ok := ask(ctx, l, func(reply chan<- time.Time) event { return watchedUntilRequested{reply} })
		asked := time.Now()
		if !ok || asked.Sub(watchedUntil) < constants.AttestationAfter {
			continue
		}
		if cancelled, ok := l.deps.Attest(ctx, attestation.Window(asked, watchedUntil)); ok {
			l.post(ctx, attested{cancelled, asked}) // refused only once the term is over
		}
	}
}

// applyAttestation takes in what all nodes attest to: whatever users were told before they
// were asked is known.
func (l *Leader) applyAttestation(cancelled []string, asked, now time.Time) {
	if attestation.AnsweredTooLate(asked, now) {
		return
	}
	for _, id := range cancelled {
		if job := l.jobs.get(id); job != nil {
			l.deps.Log.Debug("job cancelled", "job", id, "reason", "nodes attest to it")
			l.removeJob(job, now)
		}
	}
	if l.certainty.Attested(asked, now) {
		l.deps.Log.Info("all nodes attest to their cancellations", "unwatched_s", asked.Sub(l.certainty.WatchedUntil()).Seconds())
	}
}
