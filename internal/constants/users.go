package constants

import "time"

// Limits on what users submit.
const (
	// MaxBodyBytes is the largest request body (bytes; protocol: 64 KiB).
	MaxBodyBytes = 64 << 10
	// MaxTextBytes is the longest text field of a job (bytes): a longer one is taken for a
	// mistake, as every record and message of the job would carry it.
	MaxTextBytes = 200
	// MaxTasks is the largest number of tasks of a job (protocol).
	MaxTasks = 100000
	// MaxAmount is the largest amount (in its unit) or duration (seconds) that is accepted.
	MaxAmount = 1e9
)

// Users' requests.
const (
	// RetryAfter is how long a user is told to wait (seconds) when the state service can't
	// be asked.
	RetryAfter = 2
	// UserRequestTimeout bounds the work for one submission or cancellation; users give up
	// after 5 s.
	UserRequestTimeout = 3500 * time.Millisecond
	// CancelAttempts is how often a cancellation is tried when the job's record goes meanwhile:
	// it is final then, so the second one finds that.
	CancelAttempts = 3
	// PollTimeout is the same for a poll; users give up after 2 s.
	PollTimeout = 1700 * time.Millisecond
	// MinConcurrentSubmits is the least number of submissions that a node takes at once.
	MinConcurrentSubmits = 8
	// FinalCache is the number of final job states kept in memory.
	FinalCache = 20000
	// ClientTimeout bounds a request of the command line to a node.
	ClientTimeout = 8 * time.Second
	// MaxClientResponseBytes bounds what the command line reads of a node's response
	// (bytes): the status of a large site takes a small part of it.
	MaxClientResponseBytes = 4 << 20
)

// Polls, which are proven by transactions on the state service.
const (
	// PollBatchWindow is how long polls are gathered before one transaction proves them;
	// it delays the answer to a poll by a fraction of a second at most.
	PollBatchWindow = 120 * time.Millisecond
	// PollQueue is how many polls may wait for the next window; further ones are told to
	// retry later.
	PollQueue = 512
	// PollBatches bounds the transactions for polls under way: the budget bounds their
	// number a second, and each may take half a second before it is given up.
	PollBatches = 8
	// MaxPollReads bounds the reads under way for polls whose proof failed.
	MaxPollReads = 4
	// ReplicaUpdateInterval is the least time between two updates of the replica of the open jobs:
	// it only keeps proofs from failing, so it need not be quick.
	ReplicaUpdateInterval = 1 * time.Second
	// ReplicaWatchWait is how long such an update waits for a change.
	ReplicaWatchWait = 20 * time.Second
)
