package userapi

import (
	"context"
	"errors"
	"sync"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// mirror remembers under which revision a node has seen each open job's record,
// and which jobs it waits for. It may lag: nothing is answered from it without a
// proof that it holds now. A record never changes, so that is all there is to know.
type mirror struct {
	mu   sync.Mutex
	open map[string]opened
	// epoch is the revision up to which all changes are in, 0 before the first
	// reading.
	epoch uint64
}

// opened is what is kept of one open job.
type opened struct {
	stamp uint64
	needs jobs.Dependencies
}

func newMirror() *mirror { return &mirror{open: make(map[string]opened)} }

// known is the revision of an open job's record, 0 if none is known.
func (m *mirror) known(id string) uint64 { return m.get(id).stamp }

func (m *mirror) get(id string) opened {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open[id]
}

// free notes that all that a job waited for is done.
func (m *mirror) free(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o, ok := m.open[id]; ok {
		o.needs = jobs.Dependencies{}
		m.open[id] = o
	}
}

// whole notes the whole list of a job's needs.
func (m *mirror) whole(id string, list []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o, ok := m.open[id]; ok {
		o.needs = jobs.Dependencies{DependsOn: list}
		m.open[id] = o
	}
}

func (m *mirror) learn(id string, stamp uint64, needs jobs.Dependencies) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o, ok := m.open[id]; ok && o.stamp == stamp {
		return // what is known of it may be more
	}
	if m.epoch > 0 && stamp <= m.epoch {
		return // all of that time is in: it has gone since
	}
	m.open[id] = opened{stamp, needs}
}

// forget drops a job that is no longer open, if it was not learnt of after
// the given revision (0: whatever is known).
func (m *mirror) forget(id string, upTo uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if upTo == 0 || m.open[id].stamp <= upTo {
		delete(m.open, id)
	}
}

func (m *mirror) replace(rows []statestore.KeyValue, epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open = make(map[string]opened, len(rows))
	for _, r := range rows {
		m.open[r.Key[len(jobs.OpenPrefix):]] = opened{r.Revision, jobs.DecodeDependencies(r.Value)}
	}
	m.epoch = epoch
}

// at is the revision up to which all changes are in.
func (m *mirror) at() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

// apply takes in all changes from a revision up to another. Two readers may come
// with the same ones: those that are in already are passed over, as an older one
// would bring back what has gone since. It reports false if some lie between.
func (m *mirror) apply(log []statestore.Change, from, to uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.epoch == 0 || from > m.epoch {
		return false
	}
	for _, c := range log {
		switch {
		case c.Revision <= m.epoch:
		case c.Delete != "":
			delete(m.open, c.Delete[len(jobs.OpenPrefix):])
		default:
			id := c.Put[len(jobs.OpenPrefix):]
			if o, ok := m.open[id]; !ok || o.stamp != c.Revision {
				m.open[id] = opened{c.Revision, jobs.DecodeDependencies(c.Value)}
			}
		}
	}
	m.epoch = max(m.epoch, to)
	return true
}

// reset has the mirror read anew.
func (m *mirror) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.epoch = 0
}

// Mirror keeps the mirror near the truth until ctx ends.
func (s *Server) FollowOpenJobs(ctx context.Context) error {
	for ctx.Err() == nil {
		rows, epoch, err := s.store.List(ctx, statestore.ClassPoll, jobs.OpenPrefix)
		if err != nil {
			sleep(ctx, constants.MirrorInterval)
			continue
		}
		s.mirror.replace(rows, epoch)
		rows = nil
		for ctx.Err() == nil {
			sleep(ctx, constants.MirrorInterval)
			from := s.mirror.at()
			next, log, err := s.store.Watch(ctx, jobs.OpenPrefix, from, constants.MirrorBlock)
			if errors.Is(err, statestore.ErrCompacted) {
				break // what was missed is read anew
			}
			if err != nil {
				continue
			}
			if !s.mirror.apply(log, from, next) {
				break
			}
		}
		s.mirror.reset()
	}
	return ctx.Err()
}

// errNoMirror: the open jobs have not been read yet.
var errNoMirror = errors.New("the jobs have not been read yet")

// sync brings the mirror up to a moment after it was called.
func (s *Server) sync(ctx context.Context) error {
	from := s.mirror.at()
	if from == 0 {
		return errNoMirror
	}
	next, log, err := s.store.Watch(ctx, jobs.OpenPrefix, from, 0)
	if err != nil {
		return err
	}
	if !s.mirror.apply(log, from, next) {
		return errNoMirror
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
