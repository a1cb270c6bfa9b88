package constants

import "time"

// Requests to the state service.
const (
	// StateTimeout bounds one ordinary request; answers take a few hundred milliseconds at
	// worst, and users wait 2 s for a poll.
	StateTimeout = 1500 * time.Millisecond
	// TxnTimeout bounds one transaction, except those of elections, while the last one was
	// answered in good time: answers take a few hundred milliseconds at worst, users should
	// be answered within a second, and a transaction whose answer is lost can be sent once
	// more in that time. A service that is slower gets up to StateTimeout.
	TxnTimeout = 500 * time.Millisecond
	// TxnTimeoutFactor times the duration of the last answer is how long the next one may take.
	TxnTimeoutFactor = 2
	// UserTxnAttempts is how often, in all, a user's transaction without an answer is sent.
	UserTxnAttempts = 3
	// DialTimeout bounds a new connection to any other host; the calls over it have their
	// own, shorter timeouts.
	DialTimeout = 4 * time.Second
	// StateConns is the number of connections that a node keeps to the service.
	StateConns = 24
	// StateLeaseConns is the number of those reserved for what leadership depends on:
	// renewals, elections, two watches, and the reads of a failover.
	StateLeaseConns = 6
	// ListPage is the number of rows requested at once: well below the protocol's 512 KiB.
	ListPage = 400
	// MinBackoff and MaxBackoff bound the jittered pause after a failed call.
	MinBackoff = 100 * time.Millisecond
	MaxBackoff = 1500 * time.Millisecond
)

// The rate budget. The state service's limits are shared by all nodes.
const (
	// LeaderShare and LeaderWriteShare are the leader's parts of the request and write
	// budgets (ratios); the other nodes share the rest. The leader writes every start and
	// finish, while all nodes answer polls alike.
	LeaderShare      = 0.45
	LeaderWriteShare = 0.72
	// BudgetUse is the part of the allowed rate that is planned for (ratio); the rest
	// absorbs clocks that disagree about a second.
	BudgetUse = 0.94
	// BudgetRetryInterval is the pause before a call looks again for budget that was held
	// back for more important calls.
	BudgetRetryInterval = 15 * time.Millisecond
	// RateLimitedRun refusals for too many calls within RateLimitedWindow mean that the
	// state service's limits have fallen below the settings.
	RateLimitedRun    = 5
	RateLimitedWindow = 4 * time.Second
	// TokensScarce is the part of the budget left below which it counts as scarce (ratio).
	TokensScarce = 0.1
)

// The budget that a call of each priority must leave untouched, as a part of one second's
// worth (ratios).
const (
	ReserveLease  = 0.0
	ReserveCancel = 0.05
	ReserveSubmit = 0.10
	ReserveRecord = 0.15
	ReservePoll   = 0.20
	ReserveOther  = 0.40
)

// Sizes of values and transactions.
const (
	// MinValueKB (KiB) and MinTxnOps (puts and deletes) are how small values and
	// transactions may become when the state service refuses larger ones.
	MinValueKB = 1.0
	MinTxnOps  = 4
	// CondsPerOp times the setting txn_ops is the number of conditions that a transaction
	// may have (protocol).
	CondsPerOp = 4
	// TxnBytes bounds the values of one transaction (bytes); the state service takes 64 KiB
	// with all names and conditions.
	TxnBytes = 36 << 10
)
