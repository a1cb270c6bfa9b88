package constants

import "time"

// Limits on what users submit.
const (
	// MaxBodyBytes is the maximum size of a request body in bytes (protocol: 64 KiB).
	MaxBodyBytes = 64 << 10
	// MaxTextBytes is the maximum length of a text field of a job in bytes. A longer text is
	// probably a mistake, and every record and message of the job would contain it.
	MaxTextBytes = 200
	// MaxTasks is the maximum number of tasks of a job (protocol).
	MaxTasks = 100000
	// MaxAmount is the largest accepted amount of a job, in its unit, and its longest accepted
	// duration in seconds. Amounts, rates and durations in the settings must be below it.
	MaxAmount = 1e9
)

// User requests.
const (
	// RetryAfterSeconds is the value of the Retry-After header of 503 responses to users, in
	// seconds.
	RetryAfterSeconds = 2
	// UserRequestTimeout is the timeout for a submission or cancellation. Users give up
	// after 5 s.
	UserRequestTimeout = 3500 * time.Millisecond
	// MaxCancelAttempts is the maximum number of attempts at a cancellation when the job's
	// record changes concurrently. The job is final by then, which the second attempt finds.
	MaxCancelAttempts = 3
	// StatusQueryTimeout is the timeout for a status query. Users give up after 2 s.
	StatusQueryTimeout = 1700 * time.Millisecond
	// MinConcurrentSubmissions is the minimum limit on concurrent submissions per node.
	MinConcurrentSubmissions = 8
	// FinalRecordCacheSize is the number of final job states kept in memory.
	FinalRecordCacheSize = 20000
	// ClientTimeout is the timeout of a request from the command line to a node.
	ClientTimeout = 8 * time.Second
	// MaxClientResponseBytes is the maximum number of bytes that the command line reads of a
	// response. The status of a large cluster is much smaller.
	MaxClientResponseBytes = 4 << 20
)

// Status queries, whose answers are proven by transactions on the state service.
const (
	// StatusQueryBatchWindow is how long status queries are collected for one transaction.
	// Collecting delays an answer by at most this time.
	StatusQueryBatchWindow = 120 * time.Millisecond
	// StatusQueryQueueSize is the maximum number of status queries that wait for a batch.
	// Users of further queries are told to retry later.
	StatusQueryQueueSize = 512
	// MaxStatusQueryBatches is the maximum number of concurrent batch transactions. The budget
	// limits their rate, and each may take half a second before it times out.
	MaxStatusQueryBatches = 8
	// MaxStatusQueryReads is the maximum number of concurrent reads for queries whose proof
	// failed.
	MaxStatusQueryReads = 4
	// MinReplicaUpdateInterval is the minimum time between two updates of the replica of the
	// open jobs. An outdated replica only makes proofs fail, so updates are not urgent.
	MinReplicaUpdateInterval = 1 * time.Second
	// ReplicaWatchWait is the maximum wait of one watch request for such an update.
	ReplicaWatchWait = 20 * time.Second
)
