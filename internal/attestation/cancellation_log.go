package attestation

import (
	"slices"
	"sync"
	"time"
)

// CancellationLog records which jobs a process knows to be cancelled. A job is added before
// its cancellation is confirmed to any user, so the process has confirmed no cancellation
// that was never added. It is safe for concurrent use.
type CancellationLog struct {
	mu sync.Mutex // guards all fields below
	// completeSince is the time after which no entry is missing: the start of the process, or
	// the time at which the newest dropped entry was added.
	completeSince time.Time
	entries       []cancellation // in the order in which they were added
	capacity      int
}

// cancellation is an entry of the log.
type cancellation struct {
	jobID   string
	addedAt time.Time
}

// NewCancellationLog returns the log of a process that starts at now. It holds at most
// capacity entries.
func NewCancellationLog(capacity int, now time.Time) *CancellationLog {
	return &CancellationLog{completeSince: now, capacity: capacity}
}

// Add adds a job. It must be called before the cancellation is confirmed to a user. If the
// log is full, the oldest quarter of its entries is dropped.
func (l *CancellationLog) Add(jobID string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= l.capacity {
		dropped := max(1, l.capacity/4)
		l.completeSince = l.entries[dropped-1].addedAt
		l.entries = slices.Clone(l.entries[dropped:])
	}
	l.entries = append(l.entries, cancellation{jobID, now})
}

// Since lists the jobs added within the window before now, newest first. It reports false if
// some may be missing, because the process started within that window or has dropped entries
// that were added within it.
func (l *CancellationLog) Since(window time.Duration, now time.Time) (jobIDs []string, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := now.Add(-window)
	if !l.completeSince.Before(from) {
		return nil, false
	}
	for _, entry := range slices.Backward(l.entries) {
		if entry.addedAt.Before(from) {
			break
		}
		jobIDs = append(jobIDs, entry.jobID)
	}
	return jobIDs, true
}
