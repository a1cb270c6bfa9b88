package simulator

import (
	"net/http"
	"time"
)

// Fate is what becomes of a transaction that would be answered in time.
type Fate struct {
	// Lost: it gets no answer. It is carried out After that time, if its conditions hold then.
	Lost  bool
	After time.Duration
	// Slow is how long its answer takes, if it gets one.
	Slow time.Duration
}

// FaultCounts tells what the service has failed to do, so that a test can tell whether the
// fault that it wants took place.
type FaultCounts struct{ Refused, Lost, LateDone, LateFailed, TooLarge, TooMany int }

// RequestLimits are what the service takes; 0: anything.
type RequestLimits struct {
	ValueBytes, WritesPerTxn int
	WritesPerSecond          float64 // with a burst of one second's worth
}

// conditionsPerWrite times the writes is how many conditions a transaction may have (protocol).
const conditionsPerWrite = 4

// SetLimits has the service refuse larger requests with 400, and writes beyond the rate
// with 429. What is stored stays readable.
func (s *StateService) SetLimits(limits RequestLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.writeTokens, s.refilledAt = limits, limits.WritesPerSecond, time.Now()
}

// SetOutage begins or ends an outage. Afterwards every lease has its full time.
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

// RefuseHost has the service answer one host with 503, and leave its open watches waiting,
// while the others are served.
func (s *StateService) RefuseHost(host string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = make(map[string]bool)
	}
	s.refused[host] = refuse
	s.wakeWatches()
}

// SetFate has each transaction's fate drawn; nil: all are answered at once.
func (s *StateService) SetFate(draw func(caller string, writes int) Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = draw
}

// Counts tells what the service has failed to do so far.
func (s *StateService) Counts() FaultCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// fails tells whether requests of a host are answered with 503.
func (s *StateService) fails(host string) bool { return s.outage || s.refused[host] }

// overLimit is the status that a transaction is refused with for its size or the rate; 0 if
// it is not refused.
func (s *StateService) overLimit(txn storeTransaction) int {
	if s.tooLarge(txn) {
		s.counts.TooLarge++
		return http.StatusBadRequest
	}
	if s.limits.WritesPerSecond > 0 && !s.takeWriteTokens(float64(len(txn.Writes))) {
		s.counts.TooMany++
		return http.StatusTooManyRequests
	}
	return 0
}

func (s *StateService) tooLarge(txn storeTransaction) bool {
	most := s.limits.WritesPerTxn
	if most > 0 && (len(txn.Writes) > most || len(txn.Conditions) > conditionsPerWrite*most) {
		return true
	}
	for _, write := range txn.Writes {
		if s.limits.ValueBytes > 0 && len(write.Value) > s.limits.ValueBytes {
			return true
		}
	}
	return false
}

// takeWriteTokens takes so many tokens from the bucket, if it holds as many.
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
