package leader

import (
	"log/slog"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
)

// groupCommit batches the log's changes into transactions on the state service. One
// transaction is in flight at a time; decisions made meanwhile are batched into the next.
// Every transaction is conditioned on the term record and the log's head, so neither a deposed
// leader nor a delayed duplicate of an earlier transaction can change anything.
//
// groupCommit makes no calls itself: beginTxn returns the next transaction, and finishTxn
// handles its result.
type groupCommit struct {
	log    *wal.Writer
	logger *slog.Logger
	// txnOps is the maximum number of operations in a transaction.
	txnOps int
	// beginCheckpoint is called when a checkpoint is due, and starts writing it.
	beginCheckpoint func()

	// completed holds the pending final records of jobs whose tasks are all done. cancelled
	// holds the writes of the final records of jobs that are cancelled because an upstream job
	// was cancelled.
	completed []finalRecord
	cancelled []func() wal.JobWrite
	// obsoleteKeys holds keys to delete, with their revisions. replacedKeys holds keys that
	// become obsolete when the next checkpoint, which contains their data, is committed.
	obsoleteKeys, replacedKeys map[string]uint64

	// sending is set while a transaction that beginTxn returned awaits finishTxn. Between two
	// tries of a transaction it is not set, although log.InFlight still reports true.
	sending bool
	// firstSentAt is when the current transaction was first sent. lastSentAt is when a
	// transaction was last sent, including retries.
	firstSentAt, lastSentAt time.Time
	// backoff is the delay after a transaction that got no answer; zero while commits succeed.
	// retryAt is the earliest time of the next retry.
	backoff time.Duration
	retryAt time.Time
	// lastTxnFull is set if the last transaction could not hold all pending changes, and
	// fullSince is when that began.
	lastTxnFull bool
	fullSince   time.Time
	// largeRingCheckedAt is when the nodes were last asked whether they can read the large
	// ring.
	largeRingCheckedAt time.Time
}

// newGroupCommit returns a groupCommit without a log; setLog must be called before use.
func newGroupCommit(logger *slog.Logger, beginCheckpoint func()) groupCommit {
	return groupCommit{logger: logger, beginCheckpoint: beginCheckpoint, obsoleteKeys: make(map[string]uint64), replacedKeys: make(map[string]uint64)}
}

// setLog sets the log whose changes are committed, and the maximum number of operations in a
// transaction.
func (c *groupCommit) setLog(log *wal.Writer, txnOps int) { c.log, c.txnOps = log, txnOps }

// healthy reports whether commits are succeeding, that is, whether no transaction is in
// backoff.
func (c *groupCommit) healthy() bool { return c.backoff == 0 }

// behind reports whether transactions have been full for longer than CommitBehindAfter.
func (c *groupCommit) behind(now time.Time) bool {
	return c.lastTxnFull && now.Sub(c.fullSince) > constants.CommitBehindAfter
}

// inFlightFor returns how long the current transaction has been in flight, or zero if there is
// none.
func (c *groupCommit) inFlightFor(now time.Time) time.Duration {
	if !c.log.InFlight() {
		return 0
	}
	return now.Sub(c.firstSentAt)
}

// dueAt returns when the next transaction should be sent, or the zero time if there is none
// to send or one is being sent.
func (c *groupCommit) dueAt() time.Time {
	if c.sending {
		return time.Time{}
	}
	var at time.Time
	switch {
	case c.lastTxnFull:
		// Waiting would not batch more changes, as the next transaction is already full. The
		// state service's request tokens limit the rate.
		at = c.lastSentAt
	case c.log.HasUncommitted() || c.hasFinalRecords():
		at = c.lastSentAt.Add(constants.CommitInterval)
	case c.log.Checkpointing() || len(c.obsoleteKeys) > 0:
		at = c.lastSentAt.Add(constants.CheckpointPartInterval)
	default:
		return time.Time{}
	}
	if at.Before(c.retryAt) {
		at = c.retryAt
	}
	return at
}

// hasFinalRecords reports whether final records of jobs are pending.
func (c *groupCommit) hasFinalRecords() bool { return len(c.completed) > 0 || len(c.cancelled) > 0 }

// hasRemaining reports whether changes are pending that are not in the transaction in flight.
func (c *groupCommit) hasRemaining() bool { return c.log.HasPendingChanges() || c.hasFinalRecords() }

// setLastTxnFull records whether changes stay pending because they do not fit into the
// transaction being sent.
func (c *groupCommit) setLastTxnFull(full bool, now time.Time) {
	if full && !c.lastTxnFull {
		c.fullSince = now
	}
	c.lastTxnFull = full
}

// beginTxn returns the next transaction, or nil if none is due. The caller must send the
// transaction and pass the state service's answer to finishTxn.
func (c *groupCommit) beginTxn(now time.Time) *wal.Txn {
	dueAt := c.dueAt()
	if dueAt.IsZero() {
		if !c.sending {
			// The changes that could not be written have become unnecessary. Without this
			// reset, placement would wait forever for a commit to succeed.
			c.backoff = 0
		}
		return nil
	}
	if now.Before(dueAt) {
		return nil
	}
	if !c.log.InFlight() {
		c.firstSentAt = now
	}
	txn := c.next()
	if txn == nil {
		c.backoff = 0
		c.setLastTxnFull(false, now)
		return nil
	}
	c.sending, c.lastSentAt = true, now
	c.setLastTxnFull(c.hasRemaining(), now)
	return txn
}

// next returns the transaction to send: the previous one again if its outcome is unknown,
// otherwise a new one, or nil if there is nothing to write. It begins a checkpoint if one is due.
func (c *groupCommit) next() *wal.Txn {
	if c.log.CheckpointDue() {
		c.beginCheckpoint()
	}
	if c.log.InFlight() {
		return c.log.Next(nil)
	}
	return c.log.Next(c.jobWrites())
}

// largeRingCheckDue reports whether to ask the nodes if they can read the log's large ring. It
// returns true at most once per LargeRingCheckInterval, and only while the fleet is large enough
// to need that ring.
func (c *groupCommit) largeRingCheckDue(now time.Time) bool {
	if !c.log.WantsLargeRing() || now.Sub(c.largeRingCheckedAt) < constants.LargeRingCheckInterval {
		return false
	}
	c.largeRingCheckedAt = now
	return true
}
