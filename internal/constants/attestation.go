package constants

import "time"

// Attestation: other nodes confirm to a leader which cancellations they told users of.
const (
	// AttestationInterval is the time between two rounds in which a leader whose watch is
	// not answered asks the other nodes which cancellations they know of. It is short
	// compared with the least time for which a leader is certain without an answer.
	AttestationInterval = 1000 * time.Millisecond
	// AttestationAfter is how old the watch's last proof must be before the leader asks.
	// It is short for the same reason.
	AttestationAfter = 3 * time.Second
	// AttestationMargin is how much further back than the watch's last proof the nodes must
	// attest.
	AttestationMargin = 2 * time.Second
	// AttestationMaxAge is how old the question may be when its answer is taken in: the
	// answer counts back from when it was given, which is later than it was asked for.
	AttestationMaxAge = 1500 * time.Millisecond
	// CancellationLogWindow is for how long a node remembers the cancellations that it can
	// attest to, even if every change that the state service allows were a cancellation.
	CancellationLogWindow = 5 * time.Minute
	// CancellationLogMinEntries is the least number of cancellations remembered (entries of
	// some 64 bytes each).
	CancellationLogMinEntries = 8192
)
