package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// watchJobs learns of submissions and cancellations: it hands the changes of the open jobs
// since this revision to the loop, for as long as the term lasts.
func (l *Leader) watchJobs(ctx context.Context, revision uint64) error {
	block := constants.WatchBlock
	for ctx.Err() == nil {
		asked := time.Now()
		next, changes, err := l.deps.Store.Watch(ctx, jobs.OpenPrefix, revision, block)
		// After an outage certainty must come back at once, before workers have
		// to be sent away: the first watch does not wait for a change.
		block = constants.WatchBlock
		if err != nil {
			block = 0
		}
		switch {
		case errors.Is(err, statestore.ErrCompacted):
			return fmt.Errorf("jobs must be read again: %w", err)
		case err != nil:
			l.deps.Log.Debug("watch failed", "error", err)
			pause(ctx, constants.MinBackoff)
			continue
		}
		revision = next
		l.post(ctx, jobsChanged{asked, changes}) // refused only once the term is over
	}
	return ctx.Err()
}
