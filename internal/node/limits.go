package node

import (
	"sync"
	"sync/atomic"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// limits follows what the state service takes. Its limits may fall without notice:
// rates to what the settings announce, found from its refusals, and sizes to less
// than anybody said.
type limits struct {
	// fallen is set once the rates are the lower ones; they never rise again.
	fallen atomic.Bool
	mu     sync.Mutex
	recent []time.Time
	halved int // how often transactions had to become smaller
}

// refused notes a refusal for too many calls, and tells whether the rates are taken
// to have fallen just now: a single one may come from nodes whose seconds differ, a
// run of them does not.
func (l *limits) refused(now time.Time) (fell bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent = append(l.recent, now)
	for len(l.recent) > 0 && now.Sub(l.recent[0]) > constants.RateLimitedWindow {
		l.recent = l.recent[1:]
	}
	return len(l.recent) >= constants.RateLimitedRun && l.fallen.CompareAndSwap(false, true)
}

// shrink has the next term's transactions be half as large.
func (l *limits) shrink() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.halved++
}

// within is what the leader may write.
func (l *limits) within(s config.StateLimits) config.StateLimits {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.halved {
		s.ValueKB, s.TxnOps = max(s.ValueKB/2, min(s.ValueKB, constants.MinValueKB)), max(s.TxnOps/2, min(s.TxnOps, constants.MinTxnOps))
	}
	return s
}
