package leader

import (
	"log/slog"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
)

// groupCommit carries the log's transactions to the state service, one at a time: what is
// decided while one is under way goes together into the next. Each transaction is
// conditioned on the term record and on the log's head, so that neither a deposed leader
// nor a late copy of an earlier transaction can change anything.
//
// It makes no calls itself: begin gives out the next transaction, finished takes in what
// became of it.
type groupCommit struct {
	log    *wal.Writer
	logger *slog.Logger
	// txnOps is how many changes a transaction may hold.
	txnOps int
	// checkpoint begins to write the whole state anew, when that is due.
	checkpoint func()

	// completed are the final records of jobs whose tasks are all done, cancelled those of
	// jobs that are cancelled with one that they depend on.
	completed []finalRecord
	cancelled []func() wal.JobWrite
	// obsoleteKeys are keys to be removed, with their revisions; replacedKeys are those that
	// become obsolete once the next checkpoint stands, as it holds what they say.
	obsoleteKeys, replacedKeys map[string]uint64

	inFlight bool
	// sentAt is when the present transaction was first sent, lastCommitAt when one was last
	// sent.
	sentAt, lastCommitAt time.Time
	// backoff is the pause after a transaction without an answer, zero while records are
	// written; retryAt is when it may be sent again.
	backoff time.Duration
	retryAt time.Time
	// hasMore is set if the last transaction had no room for all that waited; moreSince is
	// since when that has been so.
	hasMore   bool
	moreSince time.Time
	// largeRingCheckedAt is when the nodes were last asked whether they read the large ring.
	largeRingCheckedAt time.Time
}

// newGroupCommit makes a group commit without a log; open must be called next.
func newGroupCommit(logger *slog.Logger, checkpoint func()) groupCommit {
	return groupCommit{logger: logger, checkpoint: checkpoint, obsoleteKeys: make(map[string]uint64), replacedKeys: make(map[string]uint64)}
}

// open has the transactions of a log carried out.
func (c *groupCommit) open(log *wal.Writer, txnOps int) { c.log, c.txnOps = log, txnOps }

// healthy tells whether records can be written, as far as is known.
func (c *groupCommit) healthy() bool { return c.backoff == 0 }

// behind tells whether records have not kept up for a while.
func (c *groupCommit) behind(now time.Time) bool {
	return c.hasMore && now.Sub(c.moreSince) > constants.CommitBehindAfter
}

// unwrittenFor is for how long the present transaction has been under way; zero if none is.
func (c *groupCommit) unwrittenFor(now time.Time) time.Duration {
	if !c.log.InFlight() {
		return 0
	}
	return now.Sub(c.sentAt)
}

// due is when the next transaction should go out; zero if there is none.
func (c *groupCommit) due() time.Time {
	if c.inFlight {
		return time.Time{}
	}
	var at time.Time
	switch {
	case c.hasMore:
		// Waiting gathers nothing: the next one is full already. The tokens
		// bound how many go out a second.
		at = c.lastCommitAt
	case c.log.Pending() || c.finalRecordsWait():
		at = c.lastCommitAt.Add(constants.CommitInterval)
	case c.log.Checkpointing() || len(c.obsoleteKeys) > 0:
		at = c.lastCommitAt.Add(constants.CheckpointPartInterval)
	default:
		return time.Time{}
	}
	if at.Before(c.retryAt) {
		at = c.retryAt
	}
	return at
}

// finalRecordsWait tells whether jobs' final records wait for a transaction.
func (c *groupCommit) finalRecordsWait() bool { return len(c.completed) > 0 || len(c.cancelled) > 0 }

// hasRemaining tells whether changes wait that have no place in the transaction under way.
func (c *groupCommit) hasRemaining() bool { return c.log.Remaining() || c.finalRecordsWait() }

// setMore notes whether anything had no room in the transaction that goes out now.
func (c *groupCommit) setMore(more bool, now time.Time) {
	if more && !c.hasMore {
		c.moreSince = now
	}
	c.hasMore = more
}

// begin gives out the next transaction; nil if none is due. Its result must be handed to
// finished.
func (c *groupCommit) begin(now time.Time) *wal.Txn {
	due := c.due()
	if due.IsZero() {
		if !c.inFlight {
			// What could not be written has become needless meanwhile; without
			// this, placement would wait for ever for a write to succeed.
			c.backoff = 0
		}
		return nil
	}
	if now.Before(due) {
		return nil
	}
	if !c.log.InFlight() {
		c.sentAt = now
	}
	txn := c.next()
	if txn == nil {
		c.backoff = 0
		c.setMore(false, now)
		return nil
	}
	c.inFlight, c.lastCommitAt = true, now
	c.setMore(c.hasRemaining(), now)
	return txn
}

// next gathers the next transaction; one whose outcome is not known is given out again.
func (c *groupCommit) next() *wal.Txn {
	if c.log.CheckpointDue() {
		c.checkpoint()
	}
	if c.log.InFlight() {
		return c.log.Next(nil)
	}
	return c.log.Next(c.jobWrites())
}

// largeRingCheckDue tells whether the nodes should be asked whether they read the log's
// large ring: now and then, if the fleet has grown so large that it is wanted.
func (c *groupCommit) largeRingCheckDue(now time.Time) bool {
	if !c.log.WantsLargeRing() || now.Sub(c.largeRingCheckedAt) < constants.LargeRingCheckInterval {
		return false
	}
	c.largeRingCheckedAt = now
	return true
}
