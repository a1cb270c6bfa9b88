package peers

// The wire format of the calls between nodes. During an upgrade nodes of two
// versions call one another: gob matches the fields of these structs by name, and
// net/rpc the methods. Names may be added here but neither changed nor removed.

// serviceName and the methods below it are what callers ask for; they are the
// exported methods of rpcService.
const (
	serviceName    = "Mesh"
	methodProgress = serviceName + ".Progress"
	methodHealth   = serviceName + ".Health"
	methodVouch    = serviceName + ".Vouch" // AttestCancellations
	methodRelay    = serviceName + ".Relay"
	methodStatus   = serviceName + ".Status"
	methodFormats  = serviceName + ".Formats"
)

// ProgressArgs asks for the progress of these jobs.
type ProgressArgs struct{ Jobs []string }

// TaskCounts is the progress of one job.
type TaskCounts struct{ Done, Running int }

// ProgressReply answers ProgressArgs. Jobs that the node does not know are left
// out; a node that does not lead knows none.
type ProgressReply struct{ Jobs map[string]TaskCounts }

// HealthArgs asks whether the state service answers the node.
type HealthArgs struct{}

// HealthReply answers HealthArgs.
type HealthReply struct{ OK bool }

// RelayArgs is a user's request that the calling node can't serve itself.
type RelayArgs struct {
	Method, Path string
	Body         []byte
}

// RelayReply is the HTTP response for the user. Status 0 means that the node can't
// serve the request either.
type RelayReply struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// VouchArgs asks which cancellations the node has confirmed to users within the
// last SpanMS milliseconds.
type VouchArgs struct{ SpanMS int64 }

// VouchReply answers VouchArgs. Without OK the node can't attest to anything.
type VouchReply struct {
	OK        bool
	Cancelled []string
}

// StatusArgs asks for the node's own status.
type StatusArgs struct{}

// StatusReply answers StatusArgs.
type StatusReply struct{ JSON []byte }

// FormatsArgs asks which stored formats the node's version reads.
type FormatsArgs struct{}

// FormatsReply answers FormatsArgs. The call fails on a version that does not have
// the method.
type FormatsReply struct {
	// LogRing is the largest ring of log entries that the version reads (entries).
	LogRing uint64
}
