package node

import (
	"sync"
	"sync/atomic"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// stateLimits follows what the state service takes. Its limits may fall without notice:
// rates to what the settings announce, found from its refusals, and sizes to less than
// anybody said.
type stateLimits struct {
	// ratesLowered is set once the rates are the lower ones; they never rise again.
	ratesLowered atomic.Bool

	mu       sync.Mutex
	refusals []time.Time // within constants.RateLimitedWindow; guarded by mu
	halvings int         // how often transactions had to become smaller; guarded by mu
}

// noteRefusal notes a refusal for too many calls, and tells whether the rates are taken
// to have fallen just now: a single one may come from nodes whose seconds differ, a run
// of them does not.
func (l *stateLimits) noteRefusal(now time.Time) (fell bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals = append(l.refusals, now)
	for len(l.refusals) > 0 && now.Sub(l.refusals[0]) > constants.RateLimitedWindow {
		l.refusals = l.refusals[1:]
	}
	return len(l.refusals) >= constants.RateLimitedRun && l.ratesLowered.CompareAndSwap(false, true)
}

// halveTransactions has the next term's transactions be half as large.
func (l *stateLimits) halveTransactions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.halvings++
}

// apply returns the settings with the sizes that the leader may write.
func (l *stateLimits) apply(state config.StateLimits) config.StateLimits {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.halvings {
		// Settings below the least sizes stay as they are.
		state.ValueKB = max(state.ValueKB/2, min(state.ValueKB, constants.MinValueKB))
		state.TxnOps = max(state.TxnOps/2, min(state.TxnOps, constants.MinTxnOps))
	}
	return state
}
