package constants

import "time"

// Leader election and the leader's lease.
const (
	// LeaderLeaseTTL is the lifetime of the leader's lease in the state service, and so the
	// longest time for which a dead leader goes unnoticed. It must be much shorter than the
	// workers' lease, so that a new leader answers workers before their lease expires.
	LeaderLeaseTTL = 2500 * time.Millisecond
	// LeaderLeaseRenewInterval is the time between two renewals. Three attempts fit into
	// LeaderLeaseTTL.
	LeaderLeaseRenewInterval = 700 * time.Millisecond
	// LeaderWatchWait is the maximum wait of one watch request of the leader. Every response,
	// even an empty one, renews the proof that the leader knows all cancellations, so the wait
	// must be short compared with the setting cancel_s. One request per second is cheap.
	LeaderWatchWait = 1000 * time.Millisecond
	// ElectionWatchWait is the maximum wait of one watch request for changes of the election
	// on a node that does not lead. Nothing depends on frequent responses to it.
	ElectionWatchWait = 10 * time.Second
	// ClockDrift is the maximum relative difference in rate between two monotonic clocks. The
	// protocol allows 0.05 % for each clock; the rest is a safety margin.
	ClockDrift = 0.002
)

// The leader's event loop.
const (
	// EventQueueSize is the capacity of the event queue. Senders block while it is full; it
	// should absorb the events that arrive during a scheduling pass.
	EventQueueSize = 256
	// TickInterval is the period of the tick that drives timeouts, lease expiry and scaling.
	TickInterval = 250 * time.Millisecond
	// StallAfter is the gap between two rounds of the event loop after which silence is
	// attributed to the leader itself rather than to the workers. The loop wakes with every
	// tick, but ticks can be a second late when the CPU is overloaded.
	StallAfter = 3 * time.Second
	// LoadLogInterval is the time between two log lines about the leader's load.
	LoadLogInterval = 30 * time.Second
	// SummaryLogInterval is the time between two summaries in the debug log.
	SummaryLogInterval = 5 * time.Second
)

// Layout of an attempt number, from the lowest bits: low part of the attempt counter, term,
// high part of the counter. Widths are in bits.
const (
	// AttemptCounterBits is the width of the counter's low part: a million starts per term.
	// Versions without the high part read this layout as well.
	AttemptCounterBits = 20
	// TermBits is the width of the term if the counter's high part is in use. It is enough
	// for one election per second for half a year.
	TermBits = 24
	// AttemptCarryBits is the width of the counter's high part: the remainder of 64 bits.
	AttemptCarryBits = 64 - AttemptCounterBits - TermBits
)
