package simulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"thornnotch/internal/statestore"
)

// Bounds of the protocol.
const (
	maxListRows = 1000
	minLeaseMs  = 100
	maxLeaseMs  = 600000
)

// ServeHTTP answers the state service's interface. Handlers run with s.mu held, but for
// those that wait.
func (s *StateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/follow" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails(r.RemoteAddr) {
		s.counts.Refused++
		refuse(w, http.StatusServiceUnavailable, errorOutage)
		return
	}
	switch path := r.URL.Path; {
	case path == "/store":
		s.list(w, r)
	case strings.HasPrefix(path, "/store/"):
		s.read(w, strings.TrimPrefix(path, "/store/"))
	case path == "/multi":
		s.transact(w, r)
	case path == "/holds":
		s.grantLease(w, r)
	case strings.HasPrefix(path, "/holds/"):
		s.renewOrEndLease(w, strings.TrimPrefix(path, "/holds/"))
	default:
		http.NotFound(w, r)
	}
}

func (s *StateService) read(w http.ResponseWriter, key string) {
	item, ok := s.items[key]
	if !ok {
		reply(w, http.StatusNotFound, revisionReply{s.revision})
		return
	}
	reply(w, http.StatusOK, statestore.KeyValue{Key: key, Value: item.value, Revision: item.revision})
}

func (s *StateService) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxListRows {
		limit = maxListRows
	}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := listReply{Rows: []statestore.KeyValue{}, HasNext: len(keys) > limit, Revision: s.revision}
	for _, key := range keys[:min(limit, len(keys))] {
		item := s.items[key]
		page.Rows = append(page.Rows, statestore.KeyValue{Key: key, Value: item.value, Revision: item.revision})
	}
	reply(w, http.StatusOK, page)
}

func (s *StateService) grantLease(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.TTLMs < minLeaseMs || request.TTLMs > maxLeaseMs {
		refuse(w, http.StatusBadRequest, "ttlMs")
		return
	}
	reply(w, http.StatusOK, leaseReply{s.addLease(time.Duration(request.TTLMs) * time.Millisecond)})
}

func (s *StateService) renewOrEndLease(w http.ResponseWriter, path string) {
	name, renews := strings.CutSuffix(path, "/touch")
	id, _ := strconv.ParseUint(name, 10, 64) // 0, which is no lease, if it is not a number
	l, ok := s.leases[id]
	switch {
	case !ok:
		refuse(w, http.StatusNotFound, "no such lease")
	case renews:
		l.timer.Reset(l.ttl)
		reply(w, http.StatusOK, leaseReply{id})
	default:
		s.endLease(id)
		reply(w, http.StatusOK, emptyReply{})
	}
}

// transact answers a transaction, unless its fate is to be lost.
func (s *StateService) transact(w http.ResponseWriter, r *http.Request) {
	var txn storeTransaction
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		refuse(w, http.StatusBadRequest, "malformed")
		return
	}
	if status := s.overLimit(txn); status != 0 {
		refuse(w, status, "limit")
		return
	}
	var fate Fate
	if s.fate != nil {
		fate = s.fate(r.RemoteAddr, len(txn.Writes))
	}
	if fate.Lost {
		s.loseAnswer(r, txn, fate.After)
		return
	}
	if fate.Slow > 0 {
		s.mu.Unlock()
		time.Sleep(fate.Slow)
		s.mu.Lock()
		if s.fails(r.RemoteAddr) {
			refuse(w, http.StatusServiceUnavailable, errorOutage)
			return
		}
	}
	status, body := s.carryOut(txn)
	reply(w, status, body)
}

// loseAnswer carries a transaction out, at once or late, and waits until whoever asked gives up.
func (s *StateService) loseAnswer(r *http.Request, txn storeTransaction, after time.Duration) {
	s.counts.Lost++
	if after == 0 {
		s.carryOut(txn)
	} else {
		time.AfterFunc(after, func() { s.carryOutLate(txn) })
	}
	s.mu.Unlock()
	<-r.Context().Done()
	s.mu.Lock()
}

func (s *StateService) carryOutLate(txn storeTransaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if status, _ := s.carryOut(txn); status == http.StatusOK {
		s.counts.LateDone++
	} else {
		s.counts.LateFailed++
	}
}

// carryOut does what a transaction asks for if its conditions hold.
func (s *StateService) carryOut(txn storeTransaction) (status int, body any) {
	failed := []string{}
	for _, condition := range txn.Conditions {
		if s.items[condition.Key].revision != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, conflictReply{failed, s.revision}
	}
	for _, write := range txn.Writes {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			return http.StatusBadRequest, errorReply{"no such lease"}
		}
	}
	if len(txn.Writes) > 0 {
		s.revision++
	}
	for _, write := range txn.Writes {
		s.write(write)
	}
	return http.StatusOK, revisionReply{s.revision}
}

func (s *StateService) write(write statestore.Write) {
	if write.Delete == "" {
		s.items[write.Put] = storeItem{write.Value, s.revision, write.Lease}
		s.recordChange(storeChange{Put: write.Put, Value: write.Value})
		return
	}
	if _, ok := s.items[write.Delete]; ok {
		delete(s.items, write.Delete)
		s.recordChange(storeChange{Delete: write.Delete})
	}
}

// watch answers once a key with the prefix has changed after a revision, or the time is over.
// While the service fails for the host the watch goes on waiting, also beyond its time.
func (s *StateService) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)    // from the start if it is missing
	block, _ := strconv.ParseInt(query.Get("blockMs"), 10, 64) // no wait if it is missing
	timer := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails(r.RemoteAddr) {
		s.counts.Refused++
		refuse(w, http.StatusServiceUnavailable, errorOutage)
		return
	}
	for timeOver := false; ; {
		changes := s.changesAfter(from, query.Get("prefix"))
		if !s.fails(r.RemoteAddr) && (len(changes) > 0 || timeOver) {
			reply(w, http.StatusOK, watchReply{s.revision, changes})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timeOver = true
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}

// changesAfter lists the changes of keys with the prefix after a revision; never nil.
func (s *StateService) changesAfter(revision uint64, prefix string) []storeChange {
	changes := []storeChange{}
	for _, change := range s.log {
		if change.Revision > revision && change.concerns(prefix) {
			changes = append(changes, change)
		}
	}
	return changes
}

func (c storeChange) concerns(prefix string) bool {
	return c.Put != "" && strings.HasPrefix(c.Put, prefix) || c.Delete != "" && strings.HasPrefix(c.Delete, prefix)
}
