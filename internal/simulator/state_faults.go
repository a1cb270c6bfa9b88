package simulator

import (
	"net/http"
	"time"
)

// TxnFault is the fault injected into one transaction. The zero value injects none.
type TxnFault struct {
	// ReplyLost drops the reply. The transaction is applied when the time After has passed, if
	// its conditions hold then.
	ReplyLost bool
	After     time.Duration
	// Delay is how long the service waits before it applies the transaction and replies. It is
	// ignored if ReplyLost is set.
	Delay time.Duration
}

// FaultCounts counts the faults that occurred, so that a test can check that an injected fault
// took effect. Refused counts requests that failed with 503 on arrival, and ReplyLost transactions
// without a reply. LateApplied and LateRejected count the transactions delayed by TxnFault.After:
// those applied and those rejected. TooLarge and RateLimited count the transactions over a size
// limit and over the rate limit.
type FaultCounts struct{ Refused, ReplyLost, LateApplied, LateRejected, TooLarge, RateLimited int }

// RequestLimits holds the limits that the service enforces; 0 means no limit.
type RequestLimits struct {
	ValueBytes, WritesPerTxn int
	WritesPerSecond          float64 // with a burst of one second's writes
}

// conditionsPerWrite is the ratio, by the protocol, of the limit on a transaction's conditions to
// the limit on its writes.
const conditionsPerWrite = 4

// SetLimits makes the service reject transactions over the size limits with 400, and those over
// the rate limit with 429. Values that are already stored stay readable.
func (s *StateService) SetLimits(limits RequestLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.writeTokens, s.refilledAt = limits, limits.WritesPerSecond, time.Now()
}

// SetOutage starts or ends an outage. No lease expires during an outage, and when it ends every
// lease restarts with its full TTL.
func (s *StateService) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	for _, l := range s.leases {
		if outage {
			l.timer.Stop()
		} else {
			l.timer.Reset(l.ttl)
		}
	}
	s.wakeWatches()
}

// RefuseHost makes the service refuse one host or serve it again. The requests of a refused host
// fail with 503 and its pending watches get no reply. Other hosts are not affected.
func (s *StateService) RefuseHost(host string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedHosts == nil {
		s.refusedHosts = make(map[string]bool)
	}
	s.refusedHosts[host] = refuse
	s.wakeWatches()
}

// SetTxnFaults sets the function that chooses the fault of each transaction from the caller's
// remote address and the number of writes. If it is nil, no faults are injected.
func (s *StateService) SetTxnFaults(choose func(caller string, writes int) TxnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = choose
}

// CountFaults returns how many faults of each kind have occurred so far.
func (s *StateService) CountFaults() FaultCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultCounts
}

// isUnavailable reports whether requests of the host fail with 503. The caller must hold s.mu.
func (s *StateService) isUnavailable(host string) bool { return s.outage || s.refusedHosts[host] }

// enforceLimits checks a transaction against the limits, takes its write tokens, and counts a
// rejection. It returns the HTTP status of the rejection, or 0 if the limits allow the
// transaction. The caller must hold s.mu.
func (s *StateService) enforceLimits(txn storeTransaction) int {
	if s.exceedsSizeLimits(txn) {
		s.faultCounts.TooLarge++
		return http.StatusBadRequest
	}
	if s.limits.WritesPerSecond > 0 && !s.takeWriteTokens(float64(len(txn.Writes))) {
		s.faultCounts.RateLimited++
		return http.StatusTooManyRequests
	}
	return 0
}

func (s *StateService) exceedsSizeLimits(txn storeTransaction) bool {
	maxWrites := s.limits.WritesPerTxn
	if maxWrites > 0 && (len(txn.Writes) > maxWrites || len(txn.Conditions) > conditionsPerWrite*maxWrites) {
		return true
	}
	for _, write := range txn.Writes {
		if s.limits.ValueBytes > 0 && len(write.Value) > s.limits.ValueBytes {
			return true
		}
	}
	return false
}

// takeWriteTokens takes one token per write from the rate limiter's bucket. It reports false and
// takes none if the bucket holds too few.
func (s *StateService) takeWriteTokens(writes float64) bool {
	now := time.Now()
	perSecond := s.limits.WritesPerSecond
	s.writeTokens = min(perSecond, s.writeTokens+now.Sub(s.refilledAt).Seconds()*perSecond)
	s.refilledAt = now
	if s.writeTokens < writes {
		return false
	}
	s.writeTokens -= writes
	return true
}
