package simulator

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"
)

// StateService is a state service: keys with revisions, transactions on conditions, leases
// and watches.
type StateService struct {
	mu       sync.Mutex // guards all below
	revision uint64
	items    map[string]storeItem
	log      []storeChange // all changes since the start
	changed  chan struct{} // closed and renewed with every change
	closed   bool

	leases      map[uint64]*lease
	lastLeaseID uint64

	// Faults.
	outage  bool
	refused map[string]bool // by host
	fate    func(caller string, writes int) Fate
	counts  FaultCounts

	limits      RequestLimits
	writeTokens float64 // writes that may be done at once
	refilledAt  time.Time
}

type storeItem struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

// NewStateService makes an empty state service.
func NewStateService() *StateService {
	return &StateService{items: make(map[string]storeItem), leases: make(map[uint64]*lease), changed: make(chan struct{})}
}

// Close stops all leases' timers. Transactions that are to be carried out late are dropped.
func (s *StateService) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

// Put stores a value, as if it had been written before.
func (s *StateService) Put(key string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = storeItem{value: value, revision: s.revision}
}

// Get is what is stored under a key; nil if nothing is.
func (s *StateService) Get(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].value
}

// Keys lists all keys with a prefix.
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

// recordChange adds a change of the present revision to the log and wakes the watches.
func (s *StateService) recordChange(change storeChange) {
	change.Revision = s.revision
	s.log = append(s.log, change)
	s.wakeWatches()
}

func (s *StateService) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// lease is a lease that keys may be attached to.
type lease struct {
	ttl   time.Duration
	timer *time.Timer // ends it
}

// addLease starts a lease; s.mu is held.
func (s *StateService) addLease(ttl time.Duration) (id uint64) {
	s.lastLeaseID++
	id = s.lastLeaseID
	s.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() { s.expireLease(id) })}
	return id
}

// expireLease ends a lease whose time is over, unless it has ended or an outage has begun.
func (s *StateService) expireLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok || s.outage {
		return
	}
	s.endLease(id)
}

// endLease ends a lease and removes its keys; s.mu is held.
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
