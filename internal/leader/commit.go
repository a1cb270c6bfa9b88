package leader

import (
	"errors"
	"log/slog"
	"maps"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// Changes of a transaction, beside those that the log fills it with.
const (
	// opsPerFinalRecord are the changes that move a job from the open to the final records.
	opsPerFinalRecord = 2
	// opsKeptForLog are kept for the head and the log's own values.
	opsKeptForLog = 3
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

// finalRecord is a job's final record, which goes along with a transaction.
type finalRecord struct {
	// obsolete tells whether it need not be written any more.
	obsolete func() bool
	// write makes the change, which is then under way.
	write func() wal.JobWrite
}

// newGroupCommit makes a group commit without a log; open must be called next.
func newGroupCommit(logger *slog.Logger, checkpoint func()) groupCommit {
	return groupCommit{logger: logger, checkpoint: checkpoint, obsoleteKeys: make(map[string]uint64), replacedKeys: make(map[string]uint64)}
}

// open has the transactions of a log carried out.
func (c *groupCommit) open(log *wal.Writer, txnOps int) { c.log, c.txnOps = log, txnOps }

// recordCompleted has the final record of a completed job go along with a transaction.
func (c *groupCommit) recordCompleted(record finalRecord) { c.completed = append(c.completed, record) }

// recordCancelled has the final record of a job that is cancelled with one that it depends
// on go along with a transaction.
func (c *groupCommit) recordCancelled(write func() wal.JobWrite) {
	c.cancelled = append(c.cancelled, write)
}

// removeAfterCheckpoint has a key removed once a checkpoint stands, if it still has this
// revision then.
func (c *groupCommit) removeAfterCheckpoint(key string, revision uint64) {
	c.replacedKeys[key] = revision
}

// keysWaitForCheckpoint tells whether keys are to be removed once a checkpoint stands.
func (c *groupCommit) keysWaitForCheckpoint() bool { return len(c.replacedKeys) > 0 }

// checkpointCommitted notes that a checkpoint stands.
func (c *groupCommit) checkpointCommitted() {
	maps.Copy(c.obsoleteKeys, c.replacedKeys)
	clear(c.replacedKeys)
}

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

// jobWrites gathers what goes along with the next transaction beside the log: completed
// jobs first, then cancelled ones, then keys to be removed.
func (c *groupCommit) jobWrites() (writes []wal.JobWrite) {
	room := max(c.txnOps-opsKeptForLog, opsPerFinalRecord)
	add := func(write func() wal.JobWrite) bool {
		if len(writes) >= constants.JobWritesPerTxn || room < opsPerFinalRecord {
			return false
		}
		room -= opsPerFinalRecord
		writes = append(writes, write())
		return true
	}
	waiting := c.completed[:0:0]
	for _, record := range c.completed {
		if !record.obsolete() && !add(record.write) {
			waiting = append(waiting, record)
		}
	}
	c.completed = waiting
	for len(c.cancelled) > 0 && add(c.cancelled[0]) {
		c.cancelled = c.cancelled[1:]
	}
	for key, revision := range c.obsoleteKeys {
		if room < 1 || len(writes) > 0 && len(c.completed) > 0 {
			break
		}
		room--
		writes = append(writes, c.keyRemoval(key, revision))
	}
	return writes
}

// keyRemoval removes a key, unless another has changed it.
func (c *groupCommit) keyRemoval(key string, revision uint64) wal.JobWrite {
	removed := func() { delete(c.obsoleteKeys, key) }
	return wal.JobWrite{
		Conditions: []statestore.Condition{{Key: key, Revision: revision}},
		Writes:     []statestore.Write{{Delete: key}},
		Committed:  func(uint64) { removed() },
		Conflicted: removed,
	}
}

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

// largeRingCheckDue tells whether the nodes should be asked whether they read the log's
// large ring: now and then, if the fleet has grown so large that it is wanted.
func (c *groupCommit) largeRingCheckDue(now time.Time) bool {
	if !c.log.WantsLargeRing() || now.Sub(c.largeRingCheckedAt) < constants.LargeRingCheckInterval {
		return false
	}
	c.largeRingCheckedAt = now
	return true
}
