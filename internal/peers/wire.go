package peers

// This file defines the wire format of the calls between nodes. During an upgrade, nodes of
// two versions call each other: gob matches the fields of these structs by name, and net/rpc
// the methods. Fields and methods may be added but not renamed or removed.

// Names of the RPC service and its methods, which are the exported methods of rpcService.
const (
	serviceName    = "Mesh"
	methodProgress = serviceName + ".Progress"
	methodHealth   = serviceName + ".Health"
	methodVouch    = serviceName + ".Vouch" // serves AttestCancellations
	methodRelay    = serviceName + ".Relay"
	methodStatus   = serviceName + ".Status"
	methodFormats  = serviceName + ".Formats"
)

// ProgressArgs requests the progress of the given jobs.
type ProgressArgs struct{ Jobs []string }

// TaskCounts is the progress of a job: its numbers of completed and running tasks.
type TaskCounts struct{ Done, Running int }

// ProgressReply is the reply to ProgressArgs. It omits jobs that the node does not know. Only
// the leader knows any.
type ProgressReply struct{ Jobs map[string]TaskCounts }

// HealthArgs asks whether the state service responds to the node.
type HealthArgs struct{}

// HealthReply is the reply to HealthArgs.
type HealthReply struct{ OK bool }

// RelayArgs is a user's request that the calling node can't serve.
type RelayArgs struct {
	Method, Path string
	Body         []byte
}

// RelayReply is the HTTP response for the user. Status 0 means that the called node can't serve
// the request either.
type RelayReply struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// VouchArgs requests the cancellations that the node may have confirmed to users within the
// window of SpanMS milliseconds before its answer.
type VouchArgs struct{ SpanMS int64 }

// VouchReply is the reply to VouchArgs. Cancelled lists the IDs of the cancelled jobs. If OK is
// false, the node can't give a complete list.
type VouchReply struct {
	OK        bool
	Cancelled []string
}

// StatusArgs requests the node's own status.
type StatusArgs struct{}

// StatusReply is the reply to StatusArgs.
type StatusReply struct{ JSON []byte }

// FormatsArgs requests the stored formats that the node's version can read.
type FormatsArgs struct{}

// FormatsReply is the reply to FormatsArgs. The call fails on versions without the method.
type FormatsReply struct {
	// LogRing is the size of the largest log ring that the version can read, in entries.
	LogRing uint64
}
