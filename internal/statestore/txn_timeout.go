package statestore

import (
	"sync"
	"time"

	"thornnotch/internal/constants"
)

// txnTimeout is how long a transaction may take, between constants.TxnTimeout and
// constants.StateTimeout. It can be sent again, so a lost answer should not be waited for
// long; but if the service is slow throughout, whoever never waits longer hears no answer
// at all.
type txnTimeout struct {
	mu      sync.Mutex
	timeout time.Duration // guarded by mu; 0 stands for the least
}

// next is the timeout of the next transaction.
func (t *txnTimeout) next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.timeout, constants.TxnTimeout)
}

// lost takes in that a transaction had no answer in time.
func (t *txnTimeout) lost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeout = constants.StateTimeout
}

// answered takes in that a transaction was answered after so long.
func (t *txnTimeout) answered(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeout = min(max(t.timeout/2, constants.TxnTimeoutFactor*after), constants.StateTimeout)
}
