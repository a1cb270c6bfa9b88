package intake

import (
	"context"
	"sync"
	"time"

	"thornnotch/internal/ledger"
	"thornnotch/internal/tuning"
)

// mirror remembers under which revision a node has seen each open job's
// record. It may lag: nothing is answered from it without a proof that it
// holds now. A record never changes, so one revision is all there is to know.
type mirror struct {
	mu   sync.Mutex
	open map[string]uint64
}

func newMirror() *mirror { return &mirror{open: make(map[string]uint64)} }

// known is the revision of an open job's record, 0 if none is known.
func (m *mirror) known(id string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open[id]
}

func (m *mirror) learn(id string, stamp uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[id] = stamp
}

// forget drops a job that is no longer open, if it was not learnt of after
// the given revision (0: whatever is known).
func (m *mirror) forget(id string, upTo uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if upTo == 0 || m.open[id] <= upTo {
		delete(m.open, id)
	}
}

func (m *mirror) replace(rows []ledger.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open = make(map[string]uint64, len(rows))
	for _, r := range rows {
		m.open[r.K[len(OpenPrefix):]] = r.Stamp
	}
}

// Mirror keeps the mirror near the truth until ctx ends.
func (s *Server) Mirror(ctx context.Context) error {
	for ctx.Err() == nil {
		rows, epoch, err := s.store.List(ctx, ledger.Hold, OpenPrefix)
		if err != nil {
			sleep(ctx, tuning.MirrorEvery)
			continue
		}
		s.mirror.replace(rows)
		rows = nil
		for ctx.Err() == nil {
			sleep(ctx, tuning.MirrorEvery)
			next, log, err := s.store.Follow(ctx, OpenPrefix, epoch, tuning.MirrorBlock)
			if err != nil {
				break // what was missed is read anew
			}
			epoch = next
			for _, c := range log {
				if c.Remove != "" {
					s.mirror.forget(c.Remove[len(OpenPrefix):], c.Stamp)
				} else {
					s.mirror.learn(c.Set[len(OpenPrefix):], c.Stamp)
				}
			}
		}
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
