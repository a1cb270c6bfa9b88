package simulator

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"
)

// StateService simulates the state service: a key-value store with revisions, conditional
// transactions, leases and watches.
type StateService struct {
	mu        sync.Mutex // guards the fields below
	revision  uint64
	items     map[string]storeItem
	changeLog []storeChange // all changes since the start, oldest first
	changed   chan struct{} // closed and replaced to wake the pending watches
	closed    bool

	leases      map[uint64]*lease
	lastLeaseID uint64

	// Fault injection.
	outage       bool
	refusedHosts map[string]bool                          // hosts whose requests fail
	fault        func(caller string, writes int) TxnFault // chooses a transaction's fault; nil: none
	faultCounts  FaultCounts

	limits      RequestLimits
	writeTokens float64 // tokens in the rate limiter's bucket; a write takes one
	refilledAt  time.Time
}

// storeItem holds the value of one key, its revision and its lease.
type storeItem struct {
	value    json.RawMessage
	revision uint64 // revision of the last write to the key
	lease    uint64 // ID of the lease that the key is attached to, or 0
}

// NewStateService returns an empty state service.
func NewStateService() *StateService {
	return &StateService{items: make(map[string]storeItem), leases: make(map[uint64]*lease), changed: make(chan struct{})}
}

// Close stops the timers of all leases and drops transactions that are still to be applied late.
func (s *StateService) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

// Put stores a value without reporting a change to watches, as if it had been written before
// the service started.
func (s *StateService) Put(key string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = storeItem{value: value, revision: s.revision}
}

// Get returns the value of a key, or nil if the key does not exist.
func (s *StateService) Get(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].value
}

// Keys returns all keys with a prefix, sorted.
func (s *StateService) Keys(prefix string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// recordChange appends a change at the current revision to the change log and wakes the pending
// watches. The caller must hold s.mu.
func (s *StateService) recordChange(change storeChange) {
	change.Revision = s.revision
	s.changeLog = append(s.changeLog, change)
	s.wakeWatches()
}

func (s *StateService) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// lease holds the TTL and the timer of a granted lease. When the lease ends, the keys attached to
// it are deleted.
type lease struct {
	ttl   time.Duration
	timer *time.Timer // ends the lease after ttl
}

// addLease creates a lease and returns its ID. The caller must hold s.mu.
func (s *StateService) addLease(ttl time.Duration) (id uint64) {
	s.lastLeaseID++
	id = s.lastLeaseID
	s.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() { s.expireLease(id) })}
	return id
}

// expireLease ends a lease whose TTL has elapsed, unless it has already ended or there is an
// outage.
func (s *StateService) expireLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok || s.outage {
		return
	}
	s.endLease(id)
}

// endLease removes a lease and deletes the keys attached to it. The caller must hold s.mu.
func (s *StateService) endLease(id uint64) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	var attached []string
	for key, item := range s.items {
		if item.lease == id {
			attached = append(attached, key)
		}
	}
	sort.Strings(attached)
	if len(attached) > 0 {
		s.revision++
	}
	for _, key := range attached {
		delete(s.items, key)
		s.recordChange(storeChange{Delete: key})
	}
}
