package simulator

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"thornnotch/internal/statestore"
)

// Limits of the protocol.
const (
	maxListRows = 1000
	minLeaseMS  = 100
	maxLeaseMS  = 600000
)

// ServeHTTP implements http.Handler with the state service's API. It holds s.mu while a handler
// runs, and a handler releases s.mu only while it waits. Only watch locks s.mu itself.
func (s *StateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/follow" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUnavailable(r.RemoteAddr) {
		s.faultCounts.Refused++
		writeError(w, http.StatusServiceUnavailable, unavailableReason)
		return
	}
	switch path := r.URL.Path; {
	case path == "/store":
		s.listKeys(w, r)
	case strings.HasPrefix(path, "/store/"):
		s.readKey(w, strings.TrimPrefix(path, "/store/"))
	case path == "/multi":
		s.handleTransaction(w, r)
	case path == "/holds":
		s.grantLease(w, r)
	case strings.HasPrefix(path, "/holds/"):
		s.renewOrRevokeLease(w, strings.TrimPrefix(path, "/holds/"))
	default:
		http.NotFound(w, r)
	}
}

func (s *StateService) readKey(w http.ResponseWriter, key string) {
	item, ok := s.items[key]
	if !ok {
		writeReply(w, http.StatusNotFound, revisionReply{s.revision})
		return
	}
	writeReply(w, http.StatusOK, statestore.KeyValue{Key: key, Value: item.value, Revision: item.revision})
}

func (s *StateService) listKeys(w http.ResponseWriter, r *http.Request) {
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
	writeReply(w, http.StatusOK, page)
}

func (s *StateService) grantLease(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if readRequest(r, &request) != nil || request.TTLMS < minLeaseMS || request.TTLMS > maxLeaseMS {
		writeError(w, http.StatusBadRequest, "ttlMs")
		return
	}
	writeReply(w, http.StatusOK, leaseReply{s.addLease(time.Duration(request.TTLMS) * time.Millisecond)})
}

func (s *StateService) renewOrRevokeLease(w http.ResponseWriter, path string) {
	name, renew := strings.CutSuffix(path, "/touch")
	id, _ := strconv.ParseUint(name, 10, 64) // 0 if malformed, which is never a lease ID
	l, ok := s.leases[id]
	switch {
	case !ok:
		writeError(w, http.StatusNotFound, "no such lease")
	case renew:
		l.timer.Reset(l.ttl)
		writeReply(w, http.StatusOK, leaseReply{id})
	default:
		s.endLease(id)
		writeReply(w, http.StatusOK, emptyReply{})
	}
}

// handleTransaction checks a transaction against the limits, chooses the fault to inject, and
// applies the transaction as the fault requires.
func (s *StateService) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var txn storeTransaction
	if readRequest(r, &txn) != nil {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	if status := s.enforceLimits(txn); status != 0 {
		writeError(w, status, "limit")
		return
	}
	var fault TxnFault
	if s.fault != nil {
		fault = s.fault(r.RemoteAddr, len(txn.Writes))
	}
	if fault.ReplyLost {
		s.loseReply(r, txn, fault.After)
		return
	}
	if fault.Delay > 0 {
		s.mu.Unlock()
		time.Sleep(fault.Delay)
		s.mu.Lock()
		if s.isUnavailable(r.RemoteAddr) {
			writeError(w, http.StatusServiceUnavailable, unavailableReason)
			return
		}
	}
	status, body := s.apply(txn)
	writeReply(w, status, body)
}

// loseReply applies a transaction immediately, or after the given delay, and sends no reply: it
// blocks until the client cancels the request.
func (s *StateService) loseReply(r *http.Request, txn storeTransaction, after time.Duration) {
	s.faultCounts.ReplyLost++
	if after == 0 {
		s.apply(txn)
	} else {
		time.AfterFunc(after, func() { s.applyLate(txn) })
	}
	s.mu.Unlock()
	<-r.Context().Done()
	s.mu.Lock()
}

func (s *StateService) applyLate(txn storeTransaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if status, _ := s.apply(txn); status == http.StatusOK {
		s.faultCounts.LateApplied++
	} else {
		s.faultCounts.LateRejected++
	}
}

// apply applies a transaction if its conditions hold and the leases of its writes exist, and
// returns the status and body of the response. The caller must hold s.mu.
func (s *StateService) apply(txn storeTransaction) (status int, body any) {
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

// watch replies once a key with the prefix has changed after the given revision, or on timeout.
// While the service is unavailable to the host, a pending watch gets no reply, even after its
// timeout.
func (s *StateService) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("from"), 10, 64)     // 0 if missing: all changes
	blockMS, _ := strconv.ParseInt(query.Get("blockMs"), 10, 64) // 0 if missing: no wait
	timer := time.NewTimer(time.Duration(blockMS) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isUnavailable(r.RemoteAddr) {
		s.faultCounts.Refused++
		writeError(w, http.StatusServiceUnavailable, unavailableReason)
		return
	}
	for timedOut := false; ; {
		changes := s.changesAfter(after, query.Get("prefix"))
		if !s.isUnavailable(r.RemoteAddr) && (len(changes) > 0 || timedOut) {
			writeReply(w, http.StatusOK, watchReply{s.revision, changes})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}

// changesAfter returns the changes of keys with the prefix after a revision. The result is never
// nil, so that it is encoded as a JSON array.
func (s *StateService) changesAfter(revision uint64, prefix string) []storeChange {
	changes := []storeChange{}
	for _, change := range s.changeLog {
		if change.Revision > revision && change.matchesPrefix(prefix) {
			changes = append(changes, change)
		}
	}
	return changes
}

func (c storeChange) matchesPrefix(prefix string) bool {
	return c.Put != "" && strings.HasPrefix(c.Put, prefix) || c.Delete != "" && strings.HasPrefix(c.Delete, prefix)
}
