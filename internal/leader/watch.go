package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"thornnotch/internal/backoff"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// watchJobs watches the open jobs for submissions and cancellations. It posts all changes
// after the given revision to the loop until ctx is done.
func (l *Leader) watchJobs(ctx context.Context, revision uint64) error {
	maxWait := constants.LeaderWatchWait
	for ctx.Err() == nil {
		askedAt := time.Now()
		next, changes, err := l.deps.Store.Watch(ctx, jobs.OpenPrefix, revision, maxWait)
		// After an outage, the leader needs proof that it knows all cancellations before
		// workers' leases have to expire, so the first request does not wait for a change.
		maxWait = constants.LeaderWatchWait
		if err != nil {
			maxWait = 0
		}
		switch {
		case errors.Is(err, statestore.ErrCompacted):
			return fmt.Errorf("watch of open jobs cannot resume: %w", err)
		case err != nil:
			l.deps.Log.Debug("watch of open jobs failed, retrying", "error", err)
			backoff.Sleep(ctx, backoff.Jitter(constants.MinStateBackoff))
			continue
		}
		revision = next
		l.post(ctx, openJobsChanged{askedAt, changes}) // dropped only once the term has ended
	}
	return ctx.Err()
}
