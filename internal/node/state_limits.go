package node

import (
	"sync"
	"sync/atomic"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// stateLimits tracks how far the state service has lowered its limits, which it does without
// notice. It lowers rates to the values that the settings announce, and a node detects this from
// refused calls. It may lower sizes below every announced value, so a leader whose term ends
// because a transaction was rejected as too large halves the sizes for its next term.
type stateLimits struct {
	// ratesLowered is set once the lower rates apply. It is never reset.
	ratesLowered atomic.Bool

	mu            sync.Mutex
	rateLimitedAt []time.Time // refusals within constants.RateLimitRefusalWindow; guarded by mu
	halvings      int         // how often the sizes were halved; guarded by mu
}

// recordRateLimited records that the state service's rate limit refused a call, and reports
// whether this switches to the lower rates, which happens once. A single refusal may be due
// to nodes whose clocks disagree about when a second begins, but
// constants.MinRateLimitRefusals refusals within constants.RateLimitRefusalWindow are not.
func (l *stateLimits) recordRateLimited(now time.Time) (lowered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rateLimitedAt = append(l.rateLimitedAt, now)
	for len(l.rateLimitedAt) > 0 && now.Sub(l.rateLimitedAt[0]) > constants.RateLimitRefusalWindow {
		l.rateLimitedAt = l.rateLimitedAt[1:]
	}
	return len(l.rateLimitedAt) >= constants.MinRateLimitRefusals && l.ratesLowered.CompareAndSwap(false, true)
}

// halveSizes halves the maximum sizes of values and transactions from the next term on.
func (l *stateLimits) halveSizes() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.halvings++
}

// apply returns the state limits with the sizes of values and transactions halved once for each
// call of halveSizes, but not below constants.MinValueKB and constants.MinTxnOps.
func (l *stateLimits) apply(state config.StateLimits) config.StateLimits {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.halvings {
		// A setting that is already below the minimum is left unchanged.
		state.ValueKB = max(state.ValueKB/2, min(state.ValueKB, constants.MinValueKB))
		state.TxnOps = max(state.TxnOps/2, min(state.TxnOps, constants.MinTxnOps))
	}
	return state
}
