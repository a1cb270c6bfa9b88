package statestore

import (
	"sync"
	"time"
)

// health tracks whether the node's calls to the state service succeed.
type health struct {
	mu             sync.Mutex // guards the fields below
	lastSuccessAt  time.Time  // zero if there is none
	firstFailureAt time.Time  // first failure after the last success; zero if there is none
}

// record updates the health with the result of a call.
func (h *health) record(success bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case success:
		h.lastSuccessAt, h.firstFailureAt = now, time.Time{}
	case h.firstFailureAt.IsZero():
		h.firstFailureAt = now
	}
}

func (h *health) lastSuccess() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastSuccessAt
}

func (h *health) failingFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstFailureAt.IsZero() {
		return 0
	}
	return time.Since(h.firstFailureAt)
}
