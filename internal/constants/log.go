package constants

import "time"

// The leader's write-ahead log, a ring of keys in the state service.
const (
	// LogRingSize is the number of keys in the ring. A failover reads all of them: a few
	// pages, at a few KiB per key.
	LogRingSize = 1024
	// LogLargeRingSize is the number of keys in the ring for large fleets, which is used only
	// if every node can read it.
	LogLargeRingSize = 8192
	// LargeRingPartsDivisor determines when the large ring is used: for checkpoints of more than
	// LogRingSize / LargeRingPartsDivisor parts. In the small ring, such a checkpoint would have
	// to be rewritten every few seconds.
	LargeRingPartsDivisor = 4
	// LargeRingCheckInterval is the time between two checks of whether all nodes can read
	// the large ring.
	LargeRingCheckInterval = 10 * time.Second
	// LogMaxFill is the largest fraction of the ring that may be in use when a checkpoint
	// completes.
	LogMaxFill = 0.9
	// LogFreeKeys is the number of keys kept free in the ring for the entries of one
	// transaction.
	LogFreeKeys = 8
	// MinCheckpointEntries is the minimum number of log entries after a checkpoint before the
	// next one starts. A failover has to replay them.
	MinCheckpointEntries = 320
	// CheckpointEntriesPerPart times the number of parts of the last checkpoint replaces
	// MinCheckpointEntries if it is larger, up to half of the keys that LogMaxFill allows. It
	// keeps the writes for checkpoints at half of those for entries.
	CheckpointEntriesPerPart = 2
)

// Group commit.
const (
	// CommitInterval is the minimum time between two of the leader's transactions, unless the
	// first one is full. Each one also writes the log's head, so changes are collected in
	// between.
	CommitInterval = 60 * time.Millisecond
	// CheckpointPartInterval replaces CommitInterval before a transaction that only writes
	// part of a checkpoint or deletes obsolete keys. Such a transaction is not urgent and must
	// not use up the write budget.
	CheckpointPartInterval = 200 * time.Millisecond
	// CommitBehindAfter is how long transactions must have been too small for the pending
	// changes before metadata is held back.
	CommitBehindAfter = 2 * time.Second
	// MaxJobWritesPerTxn is the maximum number of jobs that one transaction completes. Each of
	// them can make the transaction conflict with a cancellation by its user.
	MaxJobWritesPerTxn = 4
	// MaxAttemptBytes is the maximum size of an attempt and its job in a machine's record, in
	// bytes. The size limit of a value then determines the number of attempts per machine.
	MaxAttemptBytes = 176
	// TasksPerDoneChunk is the number of tasks whose completion is stored in one record as a
	// bitmap: 2 KiB of bits, 2.7 KiB in JSON.
	TasksPerDoneChunk = 16384
)

// Metadata: the machines' slot reservations and cached images. It improves scheduling after a
// failover and need not be complete.
const (
	// MetadataDelay is the minimum time between a change of a machine's metadata and its
	// record. Most reservations are used before that.
	MetadataDelay = 2500 * time.Millisecond
	// MetadataWriteShare is the fraction of the leader's write budget for metadata. The minimum
	// is one value per second. On a large fleet metadata would otherwise take as many writes as
	// starts and completions together, although checkpoints contain it anyway.
	MetadataWriteShare = 0.1
	// MetadataBurst is the period for which unused metadata budget accumulates.
	MetadataBurst = 2 * time.Second
)
