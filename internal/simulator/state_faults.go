package simulator

import (
	"net/http"
	"time"
)

// TxnFault is the fault injected into one transaction. The zero value injects none.
type TxnFault struct {
	// ReplyLost drops the reply. The transaction is applied after the delay After, if its
	// conditions hold then.
	ReplyLost bool
	After     time.Duration
	// Delay delays the transaction and its reply, unless the reply is lost.
	Delay time.Duration
}

// FaultCounts counts the faults that took place, so that a test can check that an injected fault
// occurred. The faults are requests refused with 503, lost replies, transactions that were due
// late and were applied (LateApplied) or not (LateRejected), and transactions over a size limit
// or the rate limit.
type FaultCounts struct{ Refused, ReplyLost, LateApplied, LateRejected, TooLarge, RateLimited int }

// RequestLimits holds the limits that the service enforces; 0 means no limit.
type RequestLimits struct {
	ValueBytes, WritesPerTxn int
	WritesPerSecond          float64 // with a burst of one second's writes
}

// conditionsPerWrite is the ratio of the limit on a transaction's conditions to the limit on its
// writes (protocol).
const conditionsPerWrite = 4

// SetLimits makes the service reject transactions over the size limits with 400, and writes
// over the rate limit with 429. Values that are already stored stay readable.
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

// SetTxnFaults sets the function that chooses the fault of each transaction; nil injects none.
func (s *StateService) SetTxnFaults(draw func(caller string, writes int) TxnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = draw
}

// Counts returns the faults counted so far.
func (s *StateService) Counts() FaultCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// isUnavailable reports whether requests of the host fail with 503.
func (s *StateService) isUnavailable(host string) bool { return s.outage || s.refusedHosts[host] }

// limitStatus returns the HTTP status with which the limits reject a transaction, or 0 if they
// allow it.
func (s *StateService) limitStatus(txn storeTransaction) int {
	if s.exceedsSizeLimits(txn) {
		s.counts.TooLarge++
		return http.StatusBadRequest
	}
	if s.limits.WritesPerSecond > 0 && !s.takeWriteTokens(float64(len(txn.Writes))) {
		s.counts.RateLimited++
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
