package constants

import "time"

// Election and the leader's lease.
const (
	// LeaseTTL is the lifetime of the leader's lease in the state service. It bounds how
	// long a dead leader goes unnoticed, and must stay far below the workers' lease so that
	// workers are answered again before their own lease expires.
	LeaseTTL = 2500 * time.Millisecond
	// LeaseRenewInterval is the time between two renewals: three attempts fit into LeaseTTL.
	LeaseRenewInterval = 700 * time.Millisecond
	// WatchBlock is how long one watch request waits for a change. Every answer, even an
	// empty one, renews the leader's proof that it knows all cancellations, so the time
	// must be short compared with the setting cancel_s; one request a second is cheap.
	WatchBlock = 1000 * time.Millisecond
	// ElectionWatchBlock is how long one watch request of a node that does not lead waits
	// for a change of the election. Nothing rests on its answers coming often.
	ElectionWatchBlock = 10 * time.Second
	// ClockDrift is the largest relative difference assumed between two steady clocks
	// (ratio). The protocol allows 0.05 % on each side; the value leaves a safety margin.
	ClockDrift = 0.002
)

// The leader's event loop.
const (
	// EventQueueSize is how many events may wait for the loop before those that hand them over
	// wait too, so that they rarely do while a scheduling pass runs.
	EventQueueSize = 256
	// TickInterval is the period of the tick that drives timeouts, lease expiry and scaling.
	TickInterval = 250 * time.Millisecond
	// StallAfter is how long the event loop, which wakes with every tick, must have stood
	// still before the leader attributes silence to itself instead of to workers. When
	// processor time is short a tick may be late by a second.
	StallAfter = 3 * time.Second
	// LoadLogInterval is the time between two log lines about the leader's load.
	LoadLogInterval = 30 * time.Second
	// SummaryLogInterval is the time between two summaries in the debug log.
	SummaryLogInterval = 5 * time.Second
)

// Layout of an attempt number (bits): the attempt counter's low part, then the term, then
// the counter's high part.
const (
	// AttemptCounterBits is the width of the counter's low part, below the term: a million
	// starts. Versions that know no high part read this layout as well.
	AttemptCounterBits = 20
	// TermBits is the width of the term where a high part of the counter stands above it:
	// enough for one election a second for half a year.
	TermBits = 24
	// AttemptCarryBits is the width of the counter's high part: what is left of 64 bits.
	AttemptCarryBits = 64 - AttemptCounterBits - TermBits
)
