// Package attestation lets the nodes prove to a leader, without the state service, which
// cancellations users have been told of.
//
// What a leader knows of cancellations comes from its watch on the state service.
// While that is not answered another node may have confirmed some, as the service
// may refuse this node alone; so workers must be let go in time, and in an outage
// that ends the work of the whole fleet although nobody can cancel anything. But
// a user is told by a process of some node. If the processes of all nodes name what
// they have told since the watch's last proof, nothing is missing. The argument,
// with all its conditions, is in docs/design.md (Safety, "The gap").
package attestation

import (
	"sync"
	"time"

	"thornnotch/internal/constants"
)

// CancellationLog is what a process knows to be cancelled. A job is noted before any user
// is told, so what is not in it nobody was told here.
type CancellationLog struct {
	mu sync.Mutex
	// completeSince is since when nothing is missing: the start of the process, or when
	// the newest entry that was dropped was noted.
	completeSince time.Time
	entries       []entry // in the order of their times
	capacity      int
}

type entry struct {
	id string
	at time.Time
}

// NewCancellationLog makes the memory of a process that begins now.
func NewCancellationLog(most int, now time.Time) *CancellationLog {
	return &CancellationLog{completeSince: now, capacity: most}
}

// Add adds a job.
func (m *CancellationLog) Add(id string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.entries) >= m.capacity {
		drop := max(1, m.capacity/4)
		m.completeSince = m.entries[drop-1].at
		m.entries = append([]entry(nil), m.entries[drop:]...)
	}
	m.entries = append(m.entries, entry{id, now})
}

// Since names the jobs noted in so long a time before now. It reports false when
// some may be missing: the process is younger, or has forgotten some.
func (m *CancellationLog) Since(span time.Duration, now time.Time) (ids []string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from := now.Add(-span)
	if !m.completeSince.Before(from) {
		return nil, false
	}
	for i := len(m.entries) - 1; i >= 0 && !m.entries[i].at.Before(from); i-- {
		ids = append(ids, m.entries[i].id)
	}
	return ids, true
}

// Window is for how long the nodes must vouch to reach back to the watch's last
// proof, by their clocks and counted from when they answer.
func Window(asked, watched time.Time) time.Duration {
	return time.Duration(float64(asked.Sub(watched))*(1+constants.ClockDrift)) + constants.AttestationMargin
}

// AnsweredTooLate tells whether answers come too long after the question: they may reach
// back less far than was asked for.
func AnsweredTooLate(asked, now time.Time) bool { return now.Sub(asked) > constants.AttestationMaxAge }

// Attestation is what one node answers; not Complete if it can't say, or does not answer.
type Attestation struct {
	Cancelled []string
	Complete  bool
}

// Merge puts together what the nodes vouch for, if it is all of them: one that
// is silent, or has begun anew meanwhile, may have told users of what nobody else
// knows.
func Merge(words []Attestation, nodes int) (cancelled []string, ok bool) {
	if len(words) < nodes {
		return nil, false
	}
	for _, w := range words {
		if !w.Complete {
			return nil, false
		}
		cancelled = append(cancelled, w.Cancelled...)
	}
	return cancelled, true
}
