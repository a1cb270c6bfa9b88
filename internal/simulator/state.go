// Package simulator holds test doubles of the outside systems, written from
// their protocol: the state service, the cloud, workers, and a network between
// them. Tests use them, and so does a first run on a laptop. They are simple
// and honest about it: no disk, no limits on rates, one process.
package simulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	V      json.RawMessage
	Stamp  uint64
	Tenure uint64
}

type change struct {
	Set    string          `json:"set,omitempty"`
	V      json.RawMessage `json:"v,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// State is a state service.
type StateService struct {
	mu      sync.Mutex
	epoch   uint64
	items   map[string]item
	log     []change
	tenures map[uint64]*tenure
	next    uint64
	down    bool
	changed chan struct{} // closed and renewed with every change
	closed  bool
	refused map[string]bool
	fate    func(caller string, writes int) Fate
	counts  FaultCounts
	limits  RequestLimits
	tokens  float64
	filled  time.Time
}

// Fate is what becomes of a transaction that would be answered in time.
type Fate struct {
	// Lost: it gets no answer. It is carried out After that time, by the
	// conditions that hold then.
	Lost  bool
	After time.Duration
	// Slow is how long its answer takes, if it gets one.
	Slow time.Duration
}

// StateCounts tells what the service has done amiss, so that a test can say
// whether the trouble that it wants took place.
type FaultCounts struct{ Refused, Lost, LateDone, LateFailed, TooLarge, TooMany int }

// StateLimits are what the service takes; 0: anything.
type RequestLimits struct {
	ValueBytes, WritesPerTxn int
	WritesPerSecond          float64 // changes a second, with a burst of one second's worth
}

// SetLimits has the service refuse larger requests with 400, and changes beyond the
// rate with 429. What is stored stays readable.
func (s *StateService) SetLimits(l RequestLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.tokens, s.filled = l, l.WritesPerSecond, time.Now()
}

// limited tells what a transaction is refused with for its size or the rate; 0 if
// it is not.
func (s *StateService) limited(in transaction) int {
	if s.limits.WritesPerTxn > 0 && (len(in.Writes) > s.limits.WritesPerTxn || len(in.When) > 4*s.limits.WritesPerTxn) {
		s.counts.TooLarge++
		return http.StatusBadRequest
	}
	for _, p := range in.Writes {
		if s.limits.ValueBytes > 0 && len(p.V) > s.limits.ValueBytes {
			s.counts.TooLarge++
			return http.StatusBadRequest
		}
	}
	if s.limits.WritesPerSecond > 0 {
		now := time.Now()
		s.tokens = min(s.limits.WritesPerSecond, s.tokens+now.Sub(s.filled).Seconds()*s.limits.WritesPerSecond)
		s.filled = now
		if s.tokens < float64(len(in.Writes)) {
			s.counts.TooMany++
			return http.StatusTooManyRequests
		}
		s.tokens -= float64(len(in.Writes))
	}
	return 0
}

type tenure struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewState makes an empty state service.
func NewStateService() *StateService {
	return &StateService{items: make(map[string]item), tenures: make(map[uint64]*tenure), changed: make(chan struct{})}
}

// SetDown begins or ends an outage. Afterwards every lease has its full time.
func (s *StateService) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, t := range s.tenures {
		if down {
			t.timer.Stop()
		} else {
			t.timer.Reset(t.ttl)
		}
	}
	s.wake()
}

// Refuse has the service answer one host with 503, and leave its open watches
// waiting, while the others are served.
func (s *StateService) RefuseHost(host string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = make(map[string]bool)
	}
	s.refused[host] = refuse
	s.wake()
}

// SetFate has each transaction's fate drawn; nil: all are answered at once.
func (s *StateService) SetFate(draw func(caller string, writes int) Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = draw
}

// Counts tells what went amiss so far.
func (s *StateService) Counts() FaultCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *StateService) failing(host string) bool { return s.down || s.refused[host] }

// Put stores a value, as if it had been written before.
func (s *StateService) Put(key string, v json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.items[key] = item{V: v, Stamp: s.epoch}
}

// Value is what is stored under a key; nil if nothing is.
func (s *StateService) Get(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].V
}

// Keys lists all keys below a prefix.
func (s *StateService) Keys(prefix string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Close stops all leases' timers; what is still to be carried out is not.
func (s *StateService) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, t := range s.tenures {
		t.timer.Stop()
	}
}

func (s *StateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *StateService) apply(c change) {
	c.Stamp = s.epoch
	s.log = append(s.log, c)
	s.wake()
}

func (s *StateService) end(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.tenures[id]; !ok || s.down {
		return
	}
	s.endLocked(id)
}

func (s *StateService) endLocked(id uint64) {
	s.tenures[id].timer.Stop()
	delete(s.tenures, id)
	var gone []string
	for k, it := range s.items {
		if it.Tenure == id {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	if len(gone) > 0 {
		s.epoch++
	}
	for _, k := range gone {
		delete(s.items, k)
		s.apply(change{Remove: k})
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type fields map[string]any

// ServeHTTP answers the state service's interface.
func (s *StateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/follow" {
		s.follow(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing(r.RemoteAddr) {
		s.counts.Refused++
		reply(w, http.StatusServiceUnavailable, fields{"error": "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/store":
		s.list(w, r)
	case strings.HasPrefix(r.URL.Path, "/store/"):
		key := strings.TrimPrefix(r.URL.Path, "/store/")
		it, ok := s.items[key]
		if !ok {
			reply(w, http.StatusNotFound, fields{"epoch": s.epoch})
			return
		}
		reply(w, http.StatusOK, fields{"k": key, "v": it.V, "stamp": it.Stamp})
	case r.URL.Path == "/multi":
		s.multi(w, r)
	case r.URL.Path == "/holds":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL < 100 || in.TTL > 600000 {
			reply(w, http.StatusBadRequest, fields{"error": "ttlMs"})
			return
		}
		s.next++
		id, ttl := s.next, time.Duration(in.TTL)*time.Millisecond
		s.tenures[id] = &tenure{ttl, time.AfterFunc(ttl, func() { s.end(id) })}
		reply(w, http.StatusOK, fields{"tenure": id})
	case strings.HasPrefix(r.URL.Path, "/holds/"):
		name, renews := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/touch")
		id, _ := strconv.ParseUint(name, 10, 64)
		t, ok := s.tenures[id]
		switch {
		case !ok:
			reply(w, http.StatusNotFound, fields{"error": "no such lease"})
		case renews:
			t.timer.Reset(t.ttl)
			reply(w, http.StatusOK, fields{"tenure": id})
		default:
			s.endLocked(id)
			reply(w, http.StatusOK, fields{})
		}
	default:
		http.NotFound(w, r)
	}
}

func (s *StateService) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("from") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > limit
	rows := []fields{}
	for _, k := range keys[:min(limit, len(keys))] {
		rows = append(rows, fields{"k": k, "v": s.items[k].V, "stamp": s.items[k].Stamp})
	}
	reply(w, http.StatusOK, fields{"rows": rows, "hasNext": more, "epoch": s.epoch})
}

// transaction is a request to /multi.
type transaction struct {
	When []struct {
		K     string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"when"`
	Writes []struct {
		Set    string          `json:"set"`
		V      json.RawMessage `json:"v"`
		Tenure uint64          `json:"tenure"`
		Remove string          `json:"remove"`
	} `json:"writes"`
}

func (s *StateService) multi(w http.ResponseWriter, r *http.Request) {
	var in transaction
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, fields{"error": "malformed"})
		return
	}
	if status := s.limited(in); status != 0 {
		reply(w, status, fields{"error": "limit"})
		return
	}
	var fate Fate
	if s.fate != nil {
		fate = s.fate(r.RemoteAddr, len(in.Writes))
	}
	switch {
	case fate.Lost && fate.After == 0:
		s.counts.Lost++
		s.carryOut(in)
	case fate.Lost:
		s.counts.Lost++
		time.AfterFunc(fate.After, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closed {
				return
			}
			if status, _ := s.carryOut(in); status == http.StatusOK {
				s.counts.LateDone++
			} else {
				s.counts.LateFailed++
			}
		})
	default:
		if fate.Slow > 0 {
			s.mu.Unlock()
			time.Sleep(fate.Slow)
			s.mu.Lock()
			if s.failing(r.RemoteAddr) {
				reply(w, http.StatusServiceUnavailable, fields{"error": "trouble"})
				return
			}
		}
		status, body := s.carryOut(in)
		reply(w, status, body)
		return
	}
	// Its answer never comes: whoever asked gives up at last.
	s.mu.Unlock()
	<-r.Context().Done()
	s.mu.Lock()
}

// carryOut does what a transaction asks for if its conditions hold.
func (s *StateService) carryOut(in transaction) (int, fields) {
	failed := []string{}
	for _, c := range in.When {
		if s.items[c.K].Stamp != c.Stamp {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, fields{"failed": failed, "epoch": s.epoch}
	}
	for _, p := range in.Writes {
		if _, ok := s.tenures[p.Tenure]; p.Tenure != 0 && !ok {
			return http.StatusBadRequest, fields{"error": "no such lease"}
		}
	}
	if len(in.Writes) > 0 {
		s.epoch++
	}
	for _, p := range in.Writes {
		if p.Remove != "" {
			if _, ok := s.items[p.Remove]; ok {
				delete(s.items, p.Remove)
				s.apply(change{Remove: p.Remove})
			}
			continue
		}
		s.items[p.Set] = item{p.V, s.epoch, p.Tenure}
		s.apply(change{Set: p.Set, V: p.V})
	}
	return http.StatusOK, fields{"epoch": s.epoch}
}

func (s *StateService) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.ParseInt(q.Get("blockMs"), 10, 64)
	timer := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing(r.RemoteAddr) {
		s.counts.Refused++
		reply(w, http.StatusServiceUnavailable, fields{"error": "trouble"})
		return
	}
	for over := false; ; {
		log := []change{}
		for _, c := range s.log {
			if c.Stamp > from && (strings.HasPrefix(c.Set, q.Get("prefix")) && c.Set != "" || strings.HasPrefix(c.Remove, q.Get("prefix")) && c.Remove != "") {
				log = append(log, c)
			}
		}
		if !s.failing(r.RemoteAddr) && (len(log) > 0 || over) {
			reply(w, http.StatusOK, fields{"epoch": s.epoch, "log": log})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}
