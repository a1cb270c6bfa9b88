package constants

import "time"

// The leader's write-ahead log, a ring of keys in the state service.
const (
	// LogRingSize is the number of keys in the ring. A failover reads them all; at a few
	// KiB each that is a few pages.
	LogRingSize = 1024
	// LogLargeRingSize is the same for large fleets, used once every node can read it.
	LogLargeRingSize = 8192
	// LargeRingParts: the large ring is used when a checkpoint has more parts than the small
	// ring's size divided by this. In the small ring it would have to be written again
	// every few seconds.
	LargeRingParts = 4
	// LargeRingCheckInterval is the pause before all nodes are asked again which ring sizes
	// they can read.
	LargeRingCheckInterval = 10 * time.Second
	// LogMaxFill is the part of the ring that may be full when a checkpoint is complete (ratio).
	LogMaxFill = 0.9
	// LogSlack is the number of keys kept free in the ring for the entries of one transaction.
	LogSlack = 8
	// CheckpointEntries is how many entries a failover may have to read on top of the last
	// checkpoint before the next checkpoint is begun.
	CheckpointEntries = 320
	// CheckpointPartsFactor times the parts of the last checkpoint is the same where that is
	// more: checkpoints then take half as many writes as entries do.
	CheckpointPartsFactor = 2
)

// Group commit.
const (
	// CommitInterval is the least time between two of the leader's transactions: each costs
	// a write of the log's head, so decisions are gathered in the meantime.
	CommitInterval = 60 * time.Millisecond
	// CheckpointPartInterval is the same for a transaction that carries nothing but a part
	// of a checkpoint: it can wait, and must not use up the write budget.
	CheckpointPartInterval = 200 * time.Millisecond
	// CommitBehindAfter is for how long transactions must have had no room for all that
	// waits before metadata is held back.
	CommitBehindAfter = 2 * time.Second
	// JobWritesPerTxn bounds the jobs that one transaction ends, as each may conflict with
	// its user's cancellation.
	JobWritesPerTxn = 4
	// AttemptBytes is the most that one attempt with its job takes in its machine's record
	// (bytes); the limit on a value's size then bounds the attempts on a machine.
	AttemptBytes = 176
	// DoneChunkTasks is the number of tasks whose completion one record holds: 2 KiB of
	// bits, 2.7 KiB in JSON.
	DoneChunkTasks = 16384
)

// Metadata: records of machines' holds and images, which only improve decisions and need not
// be complete.
const (
	// MetadataDelay is the least time by which the record of a machine's holds and images
	// lags: most holds are taken up before that.
	MetadataDelay = 2500 * time.Millisecond
	// MetadataWriteShare is the part of the leader's write budget that metadata may take
	// where that is more than one value a second (ratio): on a large fleet it would take as
	// much as starts and ends together, and a checkpoint holds it anyway.
	MetadataWriteShare = 0.1
	// MetadataBurst is for how long that part may be saved up.
	MetadataBurst = 2 * time.Second
)
