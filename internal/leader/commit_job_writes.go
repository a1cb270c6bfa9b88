package leader

import (
	"maps"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// Final records of jobs share the operations of a transaction with the log.
const (
	// opsPerFinalRecord is the number of operations that move a job from the open to the final
	// records.
	opsPerFinalRecord = 2
	// opsReservedForLog is the number of operations kept free for the head and the log's own
	// values.
	opsReservedForLog = 3
)

// finalRecord is a job's final record, waiting to be included in a transaction.
type finalRecord struct {
	// obsolete reports whether the record no longer needs to be written.
	obsolete func() bool
	// write returns the write of the record, and marks the record as in flight.
	write func() wal.JobWrite
}

// queueCompleted queues the final record of a completed job.
func (c *groupCommit) queueCompleted(record finalRecord) { c.completed = append(c.completed, record) }

// queueCancelled queues the write of the final record of a job that is cancelled because an
// upstream job was cancelled.
func (c *groupCommit) queueCancelled(write func() wal.JobWrite) {
	c.cancelled = append(c.cancelled, write)
}

// deleteAfterCheckpoint deletes a key after the next checkpoint is committed, if the key still
// has this revision then.
func (c *groupCommit) deleteAfterCheckpoint(key string, revision uint64) {
	c.replacedKeys[key] = revision
}

// hasReplacedKeys reports whether keys are waiting for a checkpoint before they can be
// deleted.
func (c *groupCommit) hasReplacedKeys() bool { return len(c.replacedKeys) > 0 }

// checkpointCommitted marks the replaced keys as obsolete, as the committed checkpoint
// contains their data.
func (c *groupCommit) checkpointCommitted() {
	maps.Copy(c.obsoleteKeys, c.replacedKeys)
	clear(c.replacedKeys)
}

// jobWrites collects the writes that share the next transaction with the log's changes: final
// records of completed jobs first, then those of cancelled jobs, then key deletions. Keys are
// not deleted while final records of completed jobs wait for a later transaction.
func (c *groupCommit) jobWrites() (writes []wal.JobWrite) {
	remainingOps := max(c.txnOps-opsReservedForLog, opsPerFinalRecord)
	add := func(write func() wal.JobWrite) bool {
		if len(writes) >= constants.MaxJobWritesPerTxn || remainingOps < opsPerFinalRecord {
			return false
		}
		remainingOps -= opsPerFinalRecord
		writes = append(writes, write())
		return true
	}
	remaining := c.completed[:0:0]
	for _, record := range c.completed {
		if !record.obsolete() && !add(record.write) {
			remaining = append(remaining, record)
		}
	}
	c.completed = remaining
	for len(c.cancelled) > 0 && add(c.cancelled[0]) {
		c.cancelled = c.cancelled[1:]
	}
	for key, revision := range c.obsoleteKeys {
		if remainingOps < 1 || len(writes) > 0 && len(c.completed) > 0 {
			break
		}
		remainingOps--
		writes = append(writes, c.keyDeletion(key, revision))
	}
	return writes
}

// keyDeletion returns a write that deletes a key unless its revision has changed.
func (c *groupCommit) keyDeletion(key string, revision uint64) wal.JobWrite {
	forgetKey := func() { delete(c.obsoleteKeys, key) }
	return wal.JobWrite{
		Conditions:  []statestore.Condition{{Key: key, Revision: revision}},
		Writes:      []statestore.Write{{Delete: key}},
		OnCommitted: func(uint64) { forgetKey() },
		OnConflict:  forgetKey,
	}
}
