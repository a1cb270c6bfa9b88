package leader

import (
	"errors"
	"time"

	"thornnotch/internal/backoff"
	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// commitResult is the result of sending a transaction.
type commitResult struct {
	// revision is the state service's revision after the transaction, if it was executed.
	revision uint64
	err      error
	// conflict holds the keys whose conditions failed, unless the term record is among them.
	// After such a conflict the log's head was read again: head is its value and headRevision
	// its revision.
	conflict     *statestore.ConflictError
	head         *wal.Head
	headRevision uint64
}

// commitOutcome tells the leader what to do after a transaction, besides the log's own
// callbacks.
type commitOutcome struct {
	// duration is the time since the transaction was last sent.
	duration time.Duration
	// endReason is why the term must end; empty if it continues.
	endReason EndReason
	// requestPass is set if a scheduling pass may now decide differently.
	requestPass bool
}

// finishTxn handles the result of the transaction in flight.
func (c *groupCommit) finishTxn(result commitResult, now time.Time) commitOutcome {
	c.sending = false
	outcome := commitOutcome{duration: now.Sub(c.lastSentAt)}
	var conflict *statestore.ConflictError
	deposed := errors.As(result.err, &conflict) && conflict.HasKey(election.TermKey)
	switch {
	case deposed:
		outcome.endReason = ErrDeposed
	case result.conflict != nil && c.log.WroteHead(*result.head):
		// An earlier copy of the transaction, which got no answer, was executed.
		c.log.OnCommitted(result.headRevision)
		outcome.requestPass = c.markHealthy()
	case result.conflict != nil && result.conflict.HasKey(wal.HeadKey):
		outcome.endReason = ErrDeposed // another node writes the log
	case result.conflict != nil:
		// The job writes that did not conflict are queued again.
		c.log.OnConflict(result.conflict.HasKey)
		outcome.requestPass = true
	case errors.Is(result.err, statestore.ErrRejected):
		c.logger.Error("transaction rejected by state service", "error", result.err)
		outcome.endReason = ErrTxnTooLarge
	case result.err == nil:
		c.log.OnCommitted(result.revision)
		outcome.requestPass = c.markHealthy()
	default:
		// The outcome is unknown, so the same transaction is sent again.
		c.scheduleRetry(result.err, now)
	}
	return outcome
}

// scheduleRetry sets when the transaction is sent again, with exponential backoff. It logs only
// the first of consecutive failures.
func (c *groupCommit) scheduleRetry(err error, now time.Time) {
	if c.healthy() {
		c.logger.Warn("commit failed, retrying", "error", err)
	}
	c.backoff = min(max(2*c.backoff, constants.MinStateBackoff), constants.MaxStateBackoff)
	c.retryAt = now.Add(backoff.Jitter(c.backoff))
}

// markHealthy resets the backoff. It reports whether commits had been failing.
func (c *groupCommit) markHealthy() bool {
	if c.healthy() {
		return false
	}
	c.logger.Info("commits recovered")
	c.backoff = 0
	return true
}
