package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// stateFront is one controller's way to the state service. The service can refuse this controller
// alone: its requests get 503, and its open watches wait.
type stateFront struct {
	service http.Handler
	limit   *requestLimit // of all controllers together
	strict  bool          // slow now and then, and a 409 names one key only
	mu      sync.Mutex
	refused bool
}

// requestLimit is the service's limit of requests a second, with a burst of one second.
type requestLimit struct {
	perSecond float64
	mu        sync.Mutex
	tokens    float64
	at        time.Time
	refused   int
}

func (l *requestLimit) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.tokens = min(l.perSecond, l.tokens+now.Sub(l.at).Seconds()*l.perSecond)
	l.at = now
	if l.tokens < 1 {
		l.refused++
		return false
	}
	l.tokens--
	return true
}

func (f *stateFront) refuse(refused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = refused
}

func (f *stateFront) isRefused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

func (f *stateFront) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if f.isRefused() {
		writeJSON(rw, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
		return
	}
	if f.strict {
		if !f.limit.allow() {
			writeJSON(rw, http.StatusTooManyRequests, map[string]string{"error": "limit"})
			return
		}
		latency := time.Duration(1+rand.IntN(8)) * time.Millisecond
		if rand.IntN(100) == 0 {
			latency = time.Duration(100+rand.IntN(300)) * time.Millisecond
		}
		time.Sleep(latency)
	}
	if !strings.HasPrefix(r.URL.Path, "/follow") {
		if !f.strict || r.URL.Path != "/multi" {
			f.service.ServeHTTP(rw, r)
			return
		}
		answer := httptest.NewRecorder()
		f.service.ServeHTTP(answer, r)
		if r.Context().Err() != nil {
			return // the reply is lost
		}
		body := answer.Body.Bytes()
		var conflict struct {
			Failed []string `json:"failed"`
			Epoch  uint64   `json:"epoch"`
		}
		if answer.Code == http.StatusConflict && json.Unmarshal(body, &conflict) == nil && len(conflict.Failed) > 1 {
			conflict.Failed = conflict.Failed[:1]
			body, _ = json.Marshal(conflict)
		}
		rw.WriteHeader(answer.Code)
		_, _ = rw.Write(body)
		return
	}
	answer := httptest.NewRecorder()
	f.service.ServeHTTP(answer, r)
	for f.isRefused() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	rw.WriteHeader(answer.Code)
	_, _ = rw.Write(answer.Body.Bytes())
}
