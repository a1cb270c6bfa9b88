package constants

import "time"

// Cancellation attestation: while the leader's watch on the open jobs is unanswered, all nodes
// report to the leader the cancellations that they have confirmed to users.
const (
	// AttestationInterval is the time between two attestation rounds. It must be short
	// compared with staleness.Limit, the time for which the leader may acknowledge workers
	// after it last knew all cancellations.
	AttestationInterval = 1000 * time.Millisecond
	// AttestationAfter is how long ago the leader's watch must have been answered last for a
	// round to start. It must be short for the same reason as AttestationInterval.
	AttestationAfter = 3 * time.Second
	// AttestationMargin is added to the age of the watch's last answer to get the window
	// that the nodes attest to.
	AttestationMargin = 2 * time.Second
	// AttestationMaxAge is how long after the leader's question the nodes' attestations are
	// accepted. The window ends at the time of the node's attestation, so that of a late one
	// might not reach back to the watch's last answer.
	AttestationMaxAge = 1500 * time.Millisecond
	// CancellationLogWindow is how long a node remembers the cancellations that it has
	// confirmed, even if every write that the state service allows is a cancellation.
	CancellationLogWindow = 5 * time.Minute
	// CancellationLogMinEntries is the minimum capacity of the cancellation log, in entries
	// of about 64 bytes.
	CancellationLogMinEntries = 8192
)
