package leader

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/statestore"
	"thornnotch/internal/userapi"
	"thornnotch/internal/workers"
)

// committer carries the log's transactions to the state service, one at a
// time. Each is conditioned on the term record and on the log's head, so that
// neither a deposed leader nor a late copy of an earlier transaction can
// change anything.
type committer struct {
	log  *wal.Writer
	busy bool
	// final are the jobs whose tasks are all done, to be moved; off are those that
	// are cancelled with one before them.
	final   []*job
	off     []*job
	remains map[string]uint64 // leftover keys of the earlier format, with their revision
	retryAt time.Time
	backoff time.Duration
	last    time.Time
	// ringsAsked is when the nodes were last asked which rings they read.
	ringsAsked time.Time
	// more is set if the last transaction had no room for all that waited, moreSince is
	// since when that has been so.
	more      bool
	moreSince time.Time
	// since is when the present transaction was first sent.
	since time.Time
}

func (c *committer) init() {
	c.remains = make(map[string]uint64)
}

// setMore notes whether anything had no room in the transaction that goes out now.
func (c *committer) setMore(more bool, now time.Time) {
	if more && !c.more {
		c.moreSince = now
	}
	c.more = more
}

// behind tells whether records have not kept up for a while.
func (c *committer) behind(now time.Time) bool {
	return c.more && now.Sub(c.moreSince) > constants.RecordsBehind
}

// commitDue is when the next transaction should go out; zero if there is none.
func (l *Leader) commitDue() time.Time {
	c := &l.committer
	if c.busy || l.ended != nil || c.log == nil {
		return time.Time{}
	}
	var at time.Time
	switch {
	case c.more:
		// Waiting gathers nothing: the next one is full already. The tokens
		// bound how many go out a second.
		at = c.last
	case c.log.Pending() || len(c.final) > 0 || len(c.off) > 0:
		at = c.last.Add(constants.CommitEvery)
	case c.log.Checkpointing() || len(c.remains) > 0:
		at = c.last.Add(constants.CheckpointEvery)
	default:
		return time.Time{}
	}
	if at.Before(c.retryAt) {
		at = c.retryAt
	}
	return at
}

// commit starts the next transaction if one is due.
func (l *Leader) commit(now time.Time) {
	c := &l.committer
	due := l.commitDue()
	if due.IsZero() {
		if !c.busy {
			// What could not be written has become needless meanwhile; without
			// this, placement would wait for ever for a write to succeed.
			c.backoff = 0
		}
		return
	}
	if now.Before(due) {
		return
	}
	if !c.log.InFlight() {
		c.since = now
	}
	t := l.next()
	if t == nil {
		c.backoff = 0
		c.setMore(false, now)
		return
	}
	c.busy, c.last = true, now
	c.setMore(l.remains(), now)
	when := append([]statestore.Condition{{Key: election.TermKey, Revision: l.grant.Revision}}, t.When...)
	writes := t.Writes
	l.tasks.Go(func() error {
		epoch, err := l.d.Store.Txn(l.ctx, statestore.ClassRecord, when, writes)
		res := outcome{epoch: epoch, err: err}
		var conflict *statestore.ConflictError
		if errors.As(err, &conflict) && !conflict.HasKey(election.TermKey) {
			res = l.explain(l.ctx, conflict)
		}
		l.do(l.ctx, func() { l.committed(res) })
		return nil
	})
}

// remains tells whether changes wait that have no place in the transaction under way.
func (l *Leader) remains() bool {
	c := &l.committer
	return c.log.Remaining() || len(c.final) > 0 || len(c.off) > 0
}

// next gathers the next transaction.
func (l *Leader) next() *wal.Txn {
	c := &l.committer
	if c.log.CheckpointDue() {
		l.checkpoint()
	}
	if c.log.InFlight() {
		return c.log.Next(nil)
	}
	var extras []wal.Extra
	// The head and at least one log value go along.
	room := max(l.d.Settings.Params.State.TxnOps-3, 2)
	kept := c.final[:0:0]
	for _, j := range c.final {
		switch {
		case j.gone || j.moving:
		case len(extras) < constants.FinalsAtOnce && room >= 2:
			j.moving = true
			room -= 2
			extras = append(extras, l.finalExtra(j))
		default:
			kept = append(kept, j)
		}
	}
	c.final = kept
	for len(c.off) > 0 && len(extras) < constants.FinalsAtOnce && room >= 2 {
		room -= 2
		extras = append(extras, l.offExtra(c.off[0]))
		c.off = c.off[1:]
	}
	for key, stamp := range c.remains {
		if room < 1 || len(extras) > 0 && len(c.final) > 0 {
			break
		}
		room--
		extras = append(extras, l.remainExtra(key, stamp))
	}
	return c.log.Next(extras)
}

// outcome is what became of a transaction. head is set if a clash made it
// necessary to read it; failed are the clashing keys.
type outcome struct {
	epoch  uint64
	err    error
	head   *wal.Head
	stamp  uint64
	failed *statestore.ConflictError
}

// explain reads the head after a clash: an earlier try without an answer may
// have been carried out after all.
func (l *Leader) explain(ctx context.Context, c *statestore.ConflictError) outcome {
	row, found, err := l.d.Store.Get(ctx, statestore.ClassRecord, wal.HeadKey)
	if err != nil {
		return outcome{err: err}
	}
	o := outcome{err: c, failed: c, head: &wal.Head{}}
	if found {
		o.stamp = row.Revision
		if err := json.Unmarshal(row.Value, o.head); err != nil {
			return outcome{err: err}
		}
	}
	return o
}

func (l *Leader) committed(o outcome) {
	now := time.Now()
	c := &l.committer
	c.busy = false
	l.counts.Commits++
	l.counts.CommitS += now.Sub(c.last).Seconds()
	var conflict *statestore.ConflictError
	deposed := errors.As(o.err, &conflict) && conflict.HasKey(election.TermKey)
	switch {
	case deposed:
		l.end(errDeposed)
		return
	case o.failed != nil && c.log.Ours(*o.head):
		c.log.Stood(o.stamp)
	case o.failed != nil && o.failed.HasKey(wal.HeadKey):
		l.end(errDeposed) // somebody else writes the log
		return
	case o.failed != nil:
		// The extras that did not clash are asked for again.
		c.log.Clashed(o.failed.HasKey)
		l.dirty = true
		return
	case errors.Is(o.err, statestore.ErrRejected):
		l.d.Log.Error("records are refused", "err", o.err)
		l.end(ErrTooLarge)
		return
	case o.err == nil:
		c.log.Stood(o.epoch)
	default:
		// Executed or not, the same transaction is tried again.
		c.log.Unknown()
		if c.backoff == 0 {
			l.d.Log.Info("records can't be written", "err", o.err)
		}
		c.backoff = min(max(2*c.backoff, constants.BackoffMin), constants.BackoffMax)
		c.retryAt = now.Add(jitter(c.backoff))
		return
	}
	if c.backoff > 0 {
		l.d.Log.Info("records are written again")
		l.dirty = true
	}
	c.backoff = 0
}

// finalExtra moves a job from the open to the final ones. It fails if the
// user's cancellation came first: exactly one of both wins.
func (l *Leader) finalExtra(j *job) wal.Extra {
	name := j.spec.ID
	at := time.Now()
	v, _ := json.Marshal(userapi.FinalRecord{Status: userapi.StatusDone, Tasks: j.spec.Tasks, AtMS: at.UnixMilli()}) // plain fields always encode
	return wal.Extra{
		When:   []statestore.Condition{{Key: userapi.OpenPrefix + name, Revision: j.stamp}},
		Writes: []statestore.Write{{Delete: userapi.OpenPrefix + name}, {Put: userapi.FinalPrefix + name, Value: v}},
		Stood: func(uint64) {
			l.d.Log.Debug("job done", "id", name)
			l.removeJob(j, time.Now())
			l.finalKnown(name, userapi.FinalRecord{Status: userapi.StatusDone, AtMS: at.UnixMilli()}, time.Now())
		},
		// Ended already by its user.
		Clash: func() { l.removeJob(j, time.Now()) },
		Again: func() {
			j.moving = false
			l.committer.final = append(l.committer.final, j)
		},
	}
}

// remainExtra removes a key of the earlier format.
func (l *Leader) remainExtra(key string, stamp uint64) wal.Extra {
	c := &l.committer
	gone := func() { delete(c.remains, key) }
	return wal.Extra{
		When:   []statestore.Condition{{Key: key, Revision: stamp}},
		Writes: []statestore.Write{{Delete: key}},
		Stood:  func(uint64) { gone() },
		Clash:  gone,
	}
}

// checkpoint begins to write the whole state anew.
func (l *Leader) checkpoint() {
	machines := make([]string, 0, len(l.machines))
	for name := range l.machines {
		machines = append(machines, name)
	}
	slices.Sort(machines)
	var jobs []string
	for name, j := range l.jobs {
		if j.doneN > 0 {
			jobs = append(jobs, name)
		}
	}
	slices.Sort(jobs)
	l.committer.log.Checkpoint(machines, jobs, l, func() {
		l.d.Log.Debug("checkpoint stands", "rigs", len(machines), "jobs", len(jobs))
		for key, stamp := range l.legacy {
			l.committer.remains[key] = stamp
		}
		l.legacy = nil
	})
}

// Machine gives a checkpoint one machine's record.
func (l *Leader) Machine(name string) (wal.Machine, bool) {
	r := l.machines[name]
	if r == nil {
		return wal.Machine{}, false
	}
	return l.record(r), true
}

// Done gives a checkpoint a job's completed tasks.
func (l *Leader) Done(name string) (out []wal.Done) {
	j := l.jobs[name]
	if j == nil {
		return nil
	}
	per := constants.DoneChunk / 8
	for at := 0; at < len(j.did); at += per {
		out = append(out, wal.Done{First: at * 8, Bits: slices.Clone(j.did[at:min(len(j.did), at+per)])})
	}
	return out
}

// bury takes a job that is over out of memory. What of it may still be on
// machines is stopped, and remembered by size until it is proven gone.
func (l *Leader) removeJob(j *job, now time.Time) {
	if j.gone {
		return
	}
	name := j.spec.ID
	j.gone = true
	l.finished[name] = true
	seats := sortedSeats(j)
	if len(seats) > 0 {
		l.endedJobs[name] = &endedJob{owner: j.spec.Team, need: placement.Need(j.spec), seats: len(seats)}
	}
	delete(l.jobs, name)
	l.wantFinal(name)
	if len(j.before) > 0 {
		l.inherit(slices.Collect(maps.Keys(j.before))) // they are needed less
	}
	for a, r := range j.exits {
		l.allowForget(r, a)
	}
	j.exits = nil
	for _, s := range seats {
		l.markStale(s.machine)
		l.halt(s.machine, s.a, 0, now)
	}
	for _, s := range seats {
		l.sendStops(s.machine, now)
	}
	l.dirty = true
}

// allowForget lets a worker forget an exit that is recorded, or of no interest.
func (l *Leader) allowForget(r *machine, a *workers.Attempt) {
	if !a.ExitRecorded {
		a.ExitRecorded = true
		l.answerSoon(r)
	}
}

// settleDone lets workers forget the exits of a job's tasks that are recorded.
func (l *Leader) settleDone(j *job) {
	for a, r := range j.exits {
		if j.safe.has(a.ID.Task.Index) {
			l.allowForget(r, a)
			delete(j.exits, a)
		}
	}
}

// noteAdd has an attempt recorded; its `run` leaves only once that stands.
func (l *Leader) noteAdd(r *machine, a *workers.Attempt) {
	if !r.metaNoted {
		l.noteMeta(r, nil)
	}
	l.committer.log.Add(r.m.Name, recordAttempt(a), a.ID.Task.Job, wal.Job{Owner: l.ownerOf(a), Room: recordRoom(l.needOf(a))}, func() {
		if !a.Committed {
			a.Committed = true
			l.clear(r, a)
		}
	})
}

// noteMeta has all but a machine's attempts recorded.
func (l *Leader) noteMeta(r *machine, stood func()) {
	r.metaNoted, r.noted = true, l.meta(r)
	l.committer.log.Meta(r.m.Name, r.noted, stood)
}

// clear lets a committed attempt start. A gang waits until the records of all
// its tasks stand.
func (l *Leader) clear(r *machine, a *workers.Attempt) {
	j := l.jobs[a.ID.Task.Job]
	if j == nil {
		return
	}
	if j.spec.Kind != userapi.KindGang {
		a.StartAllowed = true
		l.answerSoon(r)
		return
	}
	seats := sortedSeats(j)
	for _, s := range seats {
		if s.a.ID.Number == a.ID.Number && !s.a.Committed {
			return
		}
	}
	for _, s := range seats {
		if s.a.ID.Number == a.ID.Number {
			s.a.StartAllowed = true
			l.answerSoon(s.machine)
		}
	}
}
