package statestore

import (
	"sync"
	"time"
)

// health follows whether the service answers this node.
type health struct {
	mu           sync.Mutex // guards all below
	success      time.Time  // the last useful answer
	firstFailure time.Time  // the first failure since; zero while there is none
}

// note takes in that a call had a useful answer, or none.
func (h *health) note(answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case answered:
		h.success, h.firstFailure = now, time.Time{}
	case h.firstFailure.IsZero():
		h.firstFailure = now
	}
}

func (h *health) lastSuccess() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.success
}

func (h *health) failingFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstFailure.IsZero() {
		return 0
	}
	return time.Since(h.firstFailure)
}
