package leader

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"thornnotch/internal/fleet"
	"thornnotch/internal/intake"
	"thornnotch/internal/ledger"
	"thornnotch/internal/placement"
	"thornnotch/internal/term"
	"thornnotch/internal/tuning"
)

// committer turns what must be recorded into transactions, one at a time.
// Each write is conditioned on the term record and on the revision of its own
// key, so that neither a deposed leader nor a late copy of an earlier write
// can undo it.
type committer struct {
	busy    bool
	final   []*job
	chunks  map[chunkRef]bool
	remains map[string]uint64 // leftover keys to remove, with their revision
	retryAt time.Time
	backoff time.Duration
}

type chunkRef struct {
	job   *job
	chunk int
}

func (c *committer) init() {
	c.chunks = make(map[chunkRef]bool)
	c.remains = make(map[string]uint64)
}

// sweep asks for the removal of a leftover key.
func (c *committer) sweep(key string, stamp uint64) { c.remains[key] = stamp }

// entry is one part of a transaction, with what follows from its success or
// from a conflict on its keys.
type entry struct {
	when   []ledger.Cond
	writes []ledger.Write
	done   func(epoch uint64, now time.Time)
	// clash is called with the revisions now standing for its keys, 0 for
	// those that don't exist.
	clash func(stamps map[string]uint64, now time.Time)
	over  func()
}

// removes tells whether the entry removes a key.
func (e entry) removes(key string) bool {
	for _, w := range e.writes {
		if w.Remove == key {
			return true
		}
	}
	return false
}

// commit starts the next transaction if one is due.
func (l *Leader) commit(now time.Time) {
	c := &l.committer
	if c.busy || now.Before(c.retryAt) || l.ended != nil {
		return
	}
	entries := l.collect(now)
	if len(entries) == 0 {
		// What could not be written has become needless meanwhile; without
		// this, placement would wait for ever for a write to succeed.
		c.backoff = 0
		return
	}
	c.busy = true
	when := []ledger.Cond{{K: term.NumberKey, Stamp: l.grant.Stamp}}
	var writes []ledger.Write
	for _, e := range entries {
		when = append(when, e.when...)
		writes = append(writes, e.writes...)
	}
	l.tasks.Go(func() error {
		ctx := l.ctx
		epoch, err := l.d.Store.Multi(ctx, ledger.Record, when, writes)
		var conflict *ledger.Conflict
		var stamps map[string]uint64
		if errors.As(err, &conflict) && !conflict.Has(term.NumberKey) {
			stamps, err = l.reread(ctx, conflict)
		}
		l.do(ctx, func() { l.committed(entries, epoch, stamps, err) })
		return nil
	})
}

// reread finds the revisions of the keys that a transaction clashed on.
func (l *Leader) reread(ctx context.Context, c *ledger.Conflict) (map[string]uint64, error) {
	stamps := make(map[string]uint64)
	for _, k := range c.Failed {
		row, found, err := l.d.Store.Get(ctx, ledger.Record, k)
		if err != nil {
			return nil, err
		}
		stamps[k] = 0
		if found {
			stamps[k] = row.Stamp
		}
	}
	return stamps, c
}

func (l *Leader) committed(entries []entry, epoch uint64, stamps map[string]uint64, err error) {
	now := time.Now()
	c := &l.committer
	c.busy = false
	for _, e := range entries {
		if e.over != nil {
			e.over()
		}
	}
	var conflict *ledger.Conflict
	switch {
	case err == nil:
		if c.backoff > 0 {
			l.d.Log.Info("records are written again")
		}
		c.backoff = 0
		for _, e := range entries {
			e.done(epoch, now)
		}
		l.dirty = true
	case errors.As(err, &conflict) && conflict.Has(term.NumberKey):
		l.end(errDeposed)
	case stamps != nil:
		for _, e := range entries {
			hit := false
			for _, w := range e.when {
				if _, ok := stamps[w.K]; ok {
					hit = true
				}
			}
			if hit && e.clash != nil {
				e.clash(stamps, now)
			}
		}
	default:
		// Executed or not, the same writes are tried again; should the first
		// try have gone through, their conditions clash and are read anew.
		if c.backoff == 0 {
			l.d.Log.Info("records can't be written", "err", err)
		}
		c.backoff = min(max(2*c.backoff, tuning.BackoffMin), tuning.BackoffMax)
		c.retryAt = now.Add(jitter(c.backoff))
	}
}

// collect gathers the next transaction's parts, most important first.
func (l *Leader) collect(now time.Time) (out []entry) {
	limit := l.d.Settings.Params.State.TxnOps
	ops := 0
	// The transaction is also bounded by its whole size.
	size, maxSize := 0, 40<<10
	add := func(e entry) bool {
		n := len(e.writes)
		s := 0
		for _, w := range e.writes {
			s += len(w.V) + len(w.Set) + len(w.Remove) + 64
		}
		if ops > 0 && (ops+n > limit || size+s > maxSize) {
			return false
		}
		ops += n
		size += s
		out = append(out, e)
		return true
	}
	c := &l.committer
	rest := c.final[:0:0]
	full := false
	for _, j := range c.final {
		if j.gone {
			continue
		}
		if full || !add(l.finalEntry(j)) {
			full = true
			rest = append(rest, j)
			continue
		}
	}
	c.final = rest
	for ref := range c.chunks {
		if ref.job.gone || ref.job.closing {
			delete(c.chunks, ref)
			continue
		}
		if full || !add(l.chunkEntry(ref)) {
			full = true
			break
		}
		delete(c.chunks, ref)
	}
	var due []*rig
	for _, r := range l.rigs {
		if !r.due.IsZero() && !r.writing && !now.Before(r.due) {
			due = append(due, r)
		}
	}
	sort.Slice(due, func(i, k int) bool {
		if !due[i].due.Equal(due[k].due) {
			return due[i].due.Before(due[k].due)
		}
		return due[i].m.Name < due[k].m.Name
	})
	for _, r := range due {
		if full {
			break
		}
		e, err := l.rigEntry(r, now)
		if err != nil {
			l.d.Log.Error("record can't be written", "rig", r.m.Name, "err", err)
			r.due = now.Add(tuning.RecordQuiet)
			continue
		}
		if !add(e) {
			full = true
			break
		}
		r.writing, r.due = true, time.Time{}
	}
	if len(out) == 0 {
		n := 0
		for key, stamp := range c.remains {
			if n++; n > limit/2 {
				break
			}
			out = append(out, l.remainEntry(key, stamp))
		}
	}
	return out
}

// finalEntry moves a job from the open to the final ones. It fails if the
// user's cancellation came first: exactly one of both wins.
func (l *Leader) finalEntry(j *job) entry {
	name := j.spec.NameID
	v, _ := json.Marshal(intake.Final{Status: intake.Done, Pieces: j.spec.Pieces}) // plain fields always encode
	e := entry{
		when:   []ledger.Cond{{K: intake.OpenPrefix + name, Stamp: j.stamp}},
		writes: []ledger.Write{{Remove: intake.OpenPrefix + name}, {Set: intake.FinalPrefix + name, V: v}},
	}
	for chunk := range j.stamps {
		if len(e.writes) >= l.d.Settings.Params.State.TxnOps {
			break // the rest is swept up later
		}
		e.writes = append(e.writes, ledger.Write{Remove: didKey(name, chunk)})
	}
	e.done = func(uint64, time.Time) {
		l.d.Log.Debug("job done", "id", name)
		for chunk, stamp := range j.stamps {
			if !e.removes(didKey(name, chunk)) {
				l.committer.sweep(didKey(name, chunk), stamp)
			}
		}
		l.retire(j, time.Now())
	}
	e.clash = func(stamps map[string]uint64, now time.Time) {
		if s, hit := stamps[intake.OpenPrefix+name]; hit && s == 0 {
			// Ended already: by an earlier try of ours or by its user.
			l.dropJob(j, now)
		}
	}
	// Queued again until done or clash has ended the job.
	e.over = func() { l.committer.final = append(l.committer.final, j) }
	return e
}

// retire removes a finished job from memory.
func (l *Leader) retire(j *job, now time.Time) {
	name := j.spec.NameID
	if j.gone {
		return
	}
	j.gone = true
	l.finished[name] = true
	l.bury(j)
	delete(l.jobs, name)
	l.settle(name, func(int) bool { return true })
	for _, r := range l.rigs {
		for _, a := range r.m.Sorted() {
			if a.ID.Task.Job == name && a.Live() {
				l.halt(r, a, 0, now)
			}
		}
	}
}

// bury remembers the size of a job that is over for as long as attempts of it
// may be on machines.
func (l *Leader) bury(j *job) {
	l.ghosts[j.spec.NameID] = ghost{j.spec.Owner, placement.Need(j.spec)}
}

func (l *Leader) chunkEntry(ref chunkRef) entry {
	j := ref.job
	key := didKey(j.spec.NameID, ref.chunk)
	snap := append(bitset(nil), j.did.chunkOf(ref.chunk)...)
	e := entry{
		when:   []ledger.Cond{{K: key, Stamp: j.stamps[ref.chunk]}},
		writes: []ledger.Write{{Set: key, V: encodeChunk(snap)}},
	}
	e.done = func(epoch uint64, now time.Time) {
		if j.gone {
			// Cancelled while the record was under way.
			l.committer.sweep(key, epoch)
			return
		}
		j.stamps[ref.chunk] = epoch
		copy(j.safe.chunkOf(ref.chunk), snap)
		delete(l.committer.chunks, ref)
		if string(snap) != string(j.did.chunkOf(ref.chunk)) {
			l.committer.chunks[ref] = true
		}
		l.settle(j.spec.NameID, j.safe.has)
	}
	e.clash = func(stamps map[string]uint64, _ time.Time) {
		if s, hit := stamps[key]; hit {
			if s == 0 {
				delete(j.stamps, ref.chunk)
			} else {
				j.stamps[ref.chunk] = s
			}
		}
	}
	e.over = func() { l.committer.chunks[ref] = true }
	return e
}

func (l *Leader) rigEntry(r *rig, now time.Time) (entry, error) {
	key := rigPrefix + r.m.Name
	raw, err := l.encode(r)
	if err != nil {
		return entry{}, err
	}
	var holds []*fleet.Attempt
	for _, a := range r.m.Sorted() {
		if a.Live() {
			holds = append(holds, a)
		}
	}
	leaving := r.leaving
	e := entry{
		when:   []ledger.Cond{{K: key, Stamp: r.stamp}},
		writes: []ledger.Write{{Set: key, V: raw}},
	}
	done := func(epoch uint64) {
		r.stamp = epoch
		if leaving {
			r.leavingSafe = true
		}
		for _, a := range holds {
			if !a.Committed {
				a.Committed = true
				l.clear(a)
			}
		}
	}
	e.clash = func(stamps map[string]uint64, _ time.Time) {
		if s, hit := stamps[key]; hit {
			r.stamp = s
		}
	}
	due := r.due
	e.over = func() {
		r.writing = false
		// Until the write is known to stand, it is due again.
		if r.due.IsZero() || due.Before(r.due) {
			r.due = due
		}
	}
	dirtyAfter := func() bool { // changed while the write was under way
		now, err := l.encode(r)
		return err != nil || string(now) != string(raw)
	}
	e.done = func(epoch uint64, now time.Time) {
		done(epoch)
		if !dirtyAfter() {
			r.due = time.Time{}
		} else if l.uncommitted(r) || r.leaving && !r.leavingSafe {
			r.urgent()
		} else {
			r.due = now.Add(tuning.RecordQuiet)
		}
	}
	return e, nil
}

func (l *Leader) uncommitted(r *rig) bool {
	for _, a := range r.m.Attempts {
		if !a.Committed && a.Live() {
			return true
		}
	}
	return false
}

// clear lets a committed attempt start. A gang waits until the records of all
// its tasks stand.
func (l *Leader) clear(a *fleet.Attempt) {
	j := l.jobs[a.ID.Task.Job]
	if j == nil {
		return
	}
	if j.spec.Shape != intake.Gang {
		a.Cleared = true
		return
	}
	seats := sortedSeats(j)
	for _, s := range seats {
		if s.a.ID.Try == a.ID.Try && !s.a.Committed {
			return
		}
	}
	for _, s := range seats {
		if s.a.ID.Try == a.ID.Try {
			s.a.Cleared = true
		}
	}
}

func (l *Leader) remainEntry(key string, stamp uint64) entry {
	c := &l.committer
	return entry{
		when:   []ledger.Cond{{K: key, Stamp: stamp}},
		writes: []ledger.Write{{Remove: key}},
		done:   func(uint64, time.Time) { delete(c.remains, key) },
		clash: func(stamps map[string]uint64, _ time.Time) {
			s, hit := stamps[key]
			switch {
			case hit && s == 0:
				delete(c.remains, key)
			case hit:
				c.remains[key] = s
			}
		},
	}
}
