package constants

import "time"

// Requests to the state service.
const (
	// StateTimeout is the timeout of an ordinary request. Responses take a few hundred
	// milliseconds at worst, and users wait 2 s for a status query.
	StateTimeout = 1500 * time.Millisecond
	// MinTxnTimeout is the minimum timeout of a transaction, except in elections. Users should
	// get a response within a second, which leaves time to resend a transaction whose response
	// was lost. If the service is slow, the timeout grows up to StateTimeout.
	MinTxnTimeout = 500 * time.Millisecond
	// TxnTimeoutFactor times the duration of the last transaction that got a response is the
	// timeout of the next. The timeout falls by at most half per response.
	TxnTimeoutFactor = 2
	// MaxUserTxnAttempts is the maximum number of times that a user's transaction is sent while
	// it gets no response.
	MaxUserTxnAttempts = 3
	// DialTimeout is the timeout for connecting to any other host. Calls over the connection
	// have their own, shorter timeouts.
	DialTimeout = 4 * time.Second
	// StateConns is the maximum number of connections of a node to the service.
	StateConns = 24
	// StateLeaseConns is the number of separate connections for calls that leadership depends
	// on: lease renewals, elections, two watches, and the reads of a failover.
	StateLeaseConns = 6
	// StateListPageSize is the number of keys per page of a list. A page stays well below the
	// protocol's limit of 512 KiB.
	StateListPageSize = 400
	// MinStateBackoff and MaxStateBackoff bound the backoff after a failed call.
	MinStateBackoff = 100 * time.Millisecond
	MaxStateBackoff = 1500 * time.Millisecond
)

// The rate budget. All nodes share the rate limits of the state service.
const (
	// LeaderShare and LeaderWriteShare are the defaults of the operator settings
	// budgets.leader_share and budgets.leader_write_share: the fractions of the request and
	// write rates that the leader uses; the other nodes share the rest. The leader records
	// every start and completion, while all nodes answer status queries.
	LeaderShare      = 0.45
	LeaderWriteShare = 0.72
	// UsableBudgetShare is the default of the operator setting budgets.use: the fraction of
	// the allowed rates that is used. The rest allows for clocks that disagree about when a
	// second begins.
	UsableBudgetShare = 0.94
	// BudgetRetryInterval is the interval at which a call that waits for budget checks again.
	BudgetRetryInterval = 15 * time.Millisecond
	// MinRateLimitRefusals is how many of a node's calls the rate limit must refuse within
	// RateLimitRefusalWindow to show that the state service has lowered its rates.
	MinRateLimitRefusals = 5
	// RateLimitRefusalWindow is the length of the sliding window in which a node counts these
	// refusals.
	RateLimitRefusalWindow = 4 * time.Second
	// ScarceTokenShare is the fraction of the budget left below which it is reported as scarce.
	ScarceTokenShare = 0.1
)

// The fraction of a full rate budget (the calls of one second) that the calls of each class must
// leave for more important classes.
const (
	BudgetReserveLease       = 0.0
	BudgetReserveCancel      = 0.05
	BudgetReserveSubmit      = 0.10
	BudgetReserveRecord      = 0.15
	BudgetReserveStatusQuery = 0.20
	BudgetReserveOther       = 0.40
)

// Sizes of values and transactions.
const (
	// MinValueKB (in KiB) and MinTxnOps (in writes) are the sizes below which values and
	// transactions are not reduced further when the state service rejects larger ones. The
	// setting txn_ops must be at least MinTxnOps.
	MinValueKB = 1.0
	MinTxnOps  = 4
	// ConditionsPerOp times the setting txn_ops is the maximum number of conditions of a
	// transaction (protocol).
	ConditionsPerOp = 4
	// MaxTxnValueBytes is the maximum size of the values in one transaction in bytes. The
	// state service accepts 64 KiB including all keys and conditions.
	MaxTxnValueBytes = 36 << 10
)
