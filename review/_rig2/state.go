package main

import (
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
	mu      sync.Mutex
	refused bool
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
	if !strings.HasPrefix(r.URL.Path, "/follow") {
		f.service.ServeHTTP(rw, r)
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
