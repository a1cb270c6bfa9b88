package leader

import (
	"context"
	"time"

	"thornnotch/internal/attestation"
	"thornnotch/internal/constants"
)

// AttestFunc asks all nodes which cancellations they have told users of within a time;
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
		watched := make(chan time.Time, 1)
		if !l.post(ctx, watchedUntilRequested{watched}) {
			continue
		}
		var since time.Time
		select {
		case since = <-watched:
		case <-l.done:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		asked := time.Now()
		if asked.Sub(since) < constants.AttestationAfter {
			continue
		}
		ids, ok := l.deps.Attest(ctx, attestation.Window(asked, since))
		if ok {
			l.post(ctx, attested{ids, asked})
		}
	}
}

// applyAttestation takes in what all nodes have vouched for: whatever users were told
// before they were asked is known.
func (l *Leader) applyAttestation(ids []string, asked, now time.Time) {
	if attestation.AnsweredTooLate(asked, now) {
		return
	}
	for _, id := range ids {
		if j := l.jobs.get(id); j != nil {
			l.deps.Log.Debug("job cancelled, as nodes vouch", "id", id)
			l.removeJob(j, now)
		}
	}
	if l.certainty.Attested(asked, now) {
		l.deps.Log.Info("all nodes vouch for their cancellations", "since_s", asked.Sub(l.certainty.WatchedUntil()).Seconds())
	}
}
