package leader

import (
	"context"
	"time"

	"thornnotch/internal/confirmations"
	"thornnotch/internal/constants"
)

// Vouch asks all nodes which cancellations they have told users of within a time;
// false unless each of them can say.
type Vouch func(ctx context.Context, span time.Duration) (cancelled []string, ok bool)

// askAll asks the nodes for as long as the watch is not answered.
func (l *Leader) askAll(ctx context.Context) error {
	tick := time.NewTicker(constants.VouchEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		watched := make(chan time.Time, 1)
		if !l.do(ctx, func() { watched <- l.watched }) {
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
		if asked.Sub(since) < constants.VouchAfter {
			continue
		}
		ids, ok := l.d.Vouch(ctx, confirmations.Span(asked, since))
		if ok {
			l.do(ctx, func() { l.vouched(ids, asked, time.Now()) })
		}
	}
}

// vouched takes in what all nodes have vouched for: whatever users were told
// before they were asked is known.
func (l *Leader) vouched(ids []string, asked, now time.Time) {
	if confirmations.Late(asked, now) {
		return
	}
	for _, id := range ids {
		if j := l.jobs[id]; j != nil {
			l.d.Log.Debug("job cancelled, as nodes vouch", "id", id)
			l.removeJob(j, now)
		}
	}
	if asked.After(l.sure) {
		if now.Sub(l.sure) > l.certainty {
			l.d.Log.Info("all nodes vouch for their cancellations", "since_s", asked.Sub(l.watched).Seconds())
		}
		l.sure = asked
	}
}
