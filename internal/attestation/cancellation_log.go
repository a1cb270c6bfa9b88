package attestation

import (
	"slices"
	"sync"
	"time"
)

// CancellationLog remembers which jobs a process knows to be cancelled. A job is added
// before any user is told, so no user was told here of a job that is not in it. It is
// safe for concurrent use.
type CancellationLog struct {
	mu sync.Mutex // guards all below
	// completeSince is since when nothing is missing: the start of the process, or when
	// the newest entry that was dropped was added.
	completeSince time.Time
	entries       []cancellation // in the order of their times
	capacity      int
}

// cancellation is one entry.
type cancellation struct {
	jobID string
	at    time.Time // when it was added
}

// NewCancellationLog makes the log of a process that begins now. It holds so many entries.
func NewCancellationLog(capacity int, now time.Time) *CancellationLog {
	return &CancellationLog{completeSince: now, capacity: capacity}
}

// Add adds a job. It must be called before a user is told that the job is cancelled. A full
// log drops the oldest quarter of its entries.
func (l *CancellationLog) Add(jobID string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= l.capacity {
		dropped := max(1, l.capacity/4)
		l.completeSince = l.entries[dropped-1].at
		l.entries = slices.Clone(l.entries[dropped:])
	}
	l.entries = append(l.entries, cancellation{jobID, now})
}

// Since lists the jobs added within span before now, newest first. It reports false when
// some may be missing: the process began later than that, or has dropped some.
func (l *CancellationLog) Since(span time.Duration, now time.Time) (jobIDs []string, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := now.Add(-span)
	if !l.completeSince.Before(from) {
		return nil, false
	}
	for _, entry := range slices.Backward(l.entries) {
		if entry.at.Before(from) {
			break
		}
		jobIDs = append(jobIDs, entry.jobID)
	}
	return jobIDs, true
}
