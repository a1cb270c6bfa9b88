package leader

import (
	"maps"

	"thornnotch/internal/constants"
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

// finalRecord is a job's final record, which goes along with a transaction.
type finalRecord struct {
	// obsolete tells whether it need not be written any more.
	obsolete func() bool
	// write makes the change, which is then under way.
	write func() wal.JobWrite
}

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
