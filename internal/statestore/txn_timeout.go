package statestore

import (
	"sync"
	"time"

	"thornnotch/internal/constants"
)

// txnTimeout is an adaptive timeout for transactions, between constants.MinTxnTimeout and
// constants.StateTimeout. Transactions can be retried, so the timeout should be short when a
// response is lost. It must grow when the service is slow, as otherwise every attempt would
// time out before its response arrives.
type txnTimeout struct {
	mu      sync.Mutex
	timeout time.Duration // guarded by mu; 0 means constants.MinTxnTimeout
}

// next returns the timeout for the next transaction.
func (t *txnTimeout) next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.timeout, constants.MinTxnTimeout)
}

// recordTimeout raises the timeout to its maximum after a transaction without a response.
func (t *txnTimeout) recordTimeout() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeout = constants.StateTimeout
}

// recordResponse sets the timeout to a multiple of the duration of a transaction that got a
// response. The timeout falls by at most half per response.
func (t *txnTimeout) recordResponse(elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeout = min(max(t.timeout/2, constants.TxnTimeoutFactor*elapsed), constants.StateTimeout)
}
