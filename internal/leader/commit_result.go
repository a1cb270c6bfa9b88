package leader

import (
	"errors"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// commitResult is what became of a transaction.
type commitResult struct {
	// revision is the state service's after the transaction, if it was carried out.
	revision uint64
	err      error
	// conflict are the keys that clashed, if any. The log's head was then read: head is
	// what it says, headRevision its revision.
	conflict     *statestore.ConflictError
	head         *wal.Head
	headRevision uint64
}

// commitOutcome is what follows from a transaction's result beyond the records.
type commitOutcome struct {
	// took is how long the transaction was under way.
	took time.Duration
	// endTerm says why the term is over; empty if it goes on.
	endTerm EndReason
	// schedule is set if a scheduling pass may do more than before.
	schedule bool
}

// finished takes in what became of the transaction under way.
func (c *groupCommit) finished(result commitResult, now time.Time) commitOutcome {
	c.inFlight = false
	outcome := commitOutcome{took: now.Sub(c.lastCommitAt)}
	var conflict *statestore.ConflictError
	deposed := errors.As(result.err, &conflict) && conflict.HasKey(election.TermKey)
	switch {
	case deposed:
		outcome.endTerm = ErrDeposed
	case result.conflict != nil && c.log.WroteHead(*result.head):
		// An earlier try without an answer was carried out after all.
		c.log.Committed(result.headRevision)
		outcome.schedule = c.recovered()
	case result.conflict != nil && result.conflict.HasKey(wal.HeadKey):
		outcome.endTerm = ErrDeposed // another node writes the log
	case result.conflict != nil:
		// The job writes that did not clash are asked for again.
		c.log.Conflicted(result.conflict.HasKey)
		outcome.schedule = true
	case errors.Is(result.err, statestore.ErrRejected):
		c.logger.Error("transaction rejected", "error", result.err)
		outcome.endTerm = ErrTxnTooLarge
	case result.err == nil:
		c.log.Committed(result.revision)
		outcome.schedule = c.recovered()
	default:
		// Executed or not, the same transaction is tried again.
		c.retryLater(result.err, now)
	}
	return outcome
}

// retryLater has the transaction sent again after a pause, which grows.
func (c *groupCommit) retryLater(err error, now time.Time) {
	if c.healthy() {
		c.logger.Warn("records can't be written", "error", err)
	}
	c.backoff = min(max(2*c.backoff, constants.MinBackoff), constants.MaxBackoff)
	c.retryAt = now.Add(jitter(c.backoff))
}

// recovered notes that records are written. It reports whether they were not before.
func (c *groupCommit) recovered() bool {
	if c.healthy() {
		return false
	}
	c.logger.Info("records are written again")
	c.backoff = 0
	return true
}
