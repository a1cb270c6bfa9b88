package leader

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// groupCommit carries the log's transactions to the state service, one at a
// time. Each is conditioned on the term record and on the log's head, so that
// neither a deposed leader nor a late copy of an earlier transaction can
// change anything.
type groupCommit struct {
	log      *wal.Writer
	inFlight bool
	// finalizing are the jobs whose tasks are all done, to be moved; off are those that
	// are cancelled with one before them.
	finalizing   []*jobState
	cancelled    []*jobState
	legacyKeys   map[string]uint64 // leftover keys of the earlier format, with their revision
	retryAt      time.Time
	backoff      time.Duration
	lastCommitAt time.Time
	// ringsAsked is when the nodes were last asked which rings they read.
	ringsAsked time.Time
	// hasMore is set if the last transaction had no room for all that waited, moreSince is
	// since when that has been so.
	hasMore      bool
	hasMoreSince time.Time
	// sentAt is when the present transaction was first sent.
	sentAt time.Time
}

func (c *groupCommit) init() {
	c.legacyKeys = make(map[string]uint64)
}

// setMore notes whether anything had no room in the transaction that goes out now.
func (c *groupCommit) setMore(more bool, now time.Time) {
	if more && !c.hasMore {
		c.hasMoreSince = now
	}
	c.hasMore = more
}

// behind tells whether records have not kept up for a while.
func (c *groupCommit) behind(now time.Time) bool {
	return c.hasMore && now.Sub(c.hasMoreSince) > constants.CommitBehindAfter
}

// commitDue is when the next transaction should go out; zero if there is none.
func (l *Leader) commitDue() time.Time {
	c := &l.commits
	if c.inFlight || l.term.ended() || c.log == nil {
		return time.Time{}
	}
	var at time.Time
	switch {
	case c.hasMore:
		// Waiting gathers nothing: the next one is full already. The tokens
		// bound how many go out a second.
		at = c.lastCommitAt
	case c.log.Pending() || len(c.finalizing) > 0 || len(c.cancelled) > 0:
		at = c.lastCommitAt.Add(constants.CommitInterval)
	case c.log.Checkpointing() || len(c.legacyKeys) > 0:
		at = c.lastCommitAt.Add(constants.CheckpointPartInterval)
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
	c := &l.commits
	due := l.commitDue()
	if due.IsZero() {
		if !c.inFlight {
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
		c.sentAt = now
	}
	t := l.nextTxn()
	if t == nil {
		c.backoff = 0
		c.setMore(false, now)
		return
	}
	c.inFlight, c.lastCommitAt = true, now
	c.setMore(l.hasRemaining(), now)
	when := append([]statestore.Condition{l.term.condition()}, t.Conditions...)
	writes := t.Writes
	l.calls.queue(func(ctx context.Context) func() {
		epoch, err := l.deps.Store.Txn(ctx, statestore.ClassRecord, when, writes)
		res := commitResult{epoch: epoch, err: err}
		var conflict *statestore.ConflictError
		if errors.As(err, &conflict) && !conflict.HasKey(election.TermKey) {
			res = l.resolveConflict(ctx, conflict)
		}
		return func() { l.committed(res) }
	})
}

// hasRemaining tells whether changes wait that have no place in the transaction under way.
func (l *Leader) hasRemaining() bool {
	c := &l.commits
	return c.log.Remaining() || len(c.finalizing) > 0 || len(c.cancelled) > 0
}

// nextTxn gathers the next transaction.
func (l *Leader) nextTxn() *wal.Txn {
	c := &l.commits
	if c.log.CheckpointDue() {
		l.checkpoint()
	}
	if c.log.InFlight() {
		return c.log.Next(nil)
	}
	var extras []wal.JobWrite
	// The head and at least one log value go along.
	room := max(l.deps.Settings.Params.State.TxnOps-3, 2)
	kept := c.finalizing[:0:0]
	for _, j := range c.finalizing {
		switch {
		case j.removed || j.finalizing:
		case len(extras) < constants.JobWritesPerTxn && room >= 2:
			j.finalizing = true
			room -= 2
			extras = append(extras, l.finalExtra(j))
		default:
			kept = append(kept, j)
		}
	}
	c.finalizing = kept
	for len(c.cancelled) > 0 && len(extras) < constants.JobWritesPerTxn && room >= 2 {
		room -= 2
		extras = append(extras, l.cancelledJobWrite(c.cancelled[0]))
		c.cancelled = c.cancelled[1:]
	}
	for key, stamp := range c.legacyKeys {
		if room < 1 || len(extras) > 0 && len(c.finalizing) > 0 {
			break
		}
		room--
		extras = append(extras, l.legacyExtra(key, stamp))
	}
	return c.log.Next(extras)
}

// commitResult is what became of a transaction. head is set if a clash made it
// necessary to read it; failed are the clashing keys.
type commitResult struct {
	epoch  uint64
	err    error
	head   *wal.Head
	stamp  uint64
	failed *statestore.ConflictError
}

// resolveConflict reads the head after a clash: an earlier try without an answer may
// have been carried out after all.
func (l *Leader) resolveConflict(ctx context.Context, c *statestore.ConflictError) commitResult {
	row, found, err := l.deps.Store.Get(ctx, statestore.ClassRecord, wal.HeadKey)
	if err != nil {
		return commitResult{err: err}
	}
	o := commitResult{err: c, failed: c, head: &wal.Head{}}
	if found {
		o.stamp = row.Revision
		if err := json.Unmarshal(row.Value, o.head); err != nil {
			return commitResult{err: err}
		}
	}
	return o
}

func (l *Leader) committed(o commitResult) {
	now := time.Now()
	c := &l.commits
	c.inFlight = false
	l.counts.Commits++
	l.counts.CommitS += now.Sub(c.lastCommitAt).Seconds()
	var conflict *statestore.ConflictError
	deposed := errors.As(o.err, &conflict) && conflict.HasKey(election.TermKey)
	switch {
	case deposed:
		l.term.end(ErrDeposed)
		return
	case o.failed != nil && c.log.WroteHead(*o.head):
		c.log.Committed(o.stamp)
	case o.failed != nil && o.failed.HasKey(wal.HeadKey):
		l.term.end(ErrDeposed) // somebody else writes the log
		return
	case o.failed != nil:
		// The extras that did not clash are asked for again.
		c.log.Conflicted(o.failed.HasKey)
		l.passDueNow = true
		return
	case errors.Is(o.err, statestore.ErrRejected):
		l.deps.Log.Error("records are refused", "err", o.err)
		l.term.end(ErrTxnTooLarge)
		return
	case o.err == nil:
		c.log.Committed(o.epoch)
	default:
		// Executed or not, the same transaction is tried again.
		c.log.OutcomeUnknown()
		if c.backoff == 0 {
			l.deps.Log.Info("records can't be written", "err", o.err)
		}
		c.backoff = min(max(2*c.backoff, constants.MinBackoff), constants.MaxBackoff)
		c.retryAt = now.Add(jitter(c.backoff))
		return
	}
	if c.backoff > 0 {
		l.deps.Log.Info("records are written again")
		l.passDueNow = true
	}
	c.backoff = 0
}

// finalExtra moves a job from the open to the final ones. It fails if the
// user's cancellation came first: exactly one of both wins.
func (l *Leader) finalExtra(j *jobState) wal.JobWrite {
	name := j.spec.ID
	at := time.Now()
	v, _ := json.Marshal(jobs.FinalRecord{Status: jobs.StatusDone, Tasks: j.spec.Tasks, FinishedAtMS: at.UnixMilli()}) // plain fields always encode
	return wal.JobWrite{
		Conditions: []statestore.Condition{{Key: jobs.OpenPrefix + name, Revision: j.revision}},
		Writes:     []statestore.Write{{Delete: jobs.OpenPrefix + name}, {Put: jobs.FinalPrefix + name, Value: v}},
		Committed: func(uint64) {
			l.deps.Log.Debug("job done", "id", name)
			l.removeJob(j, time.Now())
			l.upstreamEnded(name, jobs.FinalRecord{Status: jobs.StatusDone, FinishedAtMS: at.UnixMilli()}, time.Now())
		},
		// Ended already by its user.
		Conflicted: func() { l.removeJob(j, time.Now()) },
		Retry: func() {
			j.finalizing = false
			l.commits.finalizing = append(l.commits.finalizing, j)
		},
	}
}

// legacyExtra removes a key of the earlier format.
func (l *Leader) legacyExtra(key string, stamp uint64) wal.JobWrite {
	c := &l.commits
	gone := func() { delete(c.legacyKeys, key) }
	return wal.JobWrite{
		Conditions: []statestore.Condition{{Key: key, Revision: stamp}},
		Writes:     []statestore.Write{{Delete: key}},
		Committed:  func(uint64) { gone() },
		Conflicted: gone,
	}
}

// checkpoint begins to write the whole state anew.
func (l *Leader) checkpoint() {
	machines := make([]string, 0, l.fleet.len())
	for name := range l.fleet.byName {
		machines = append(machines, name)
	}
	slices.Sort(machines)
	var jobs []string
	for j := range l.jobs.all() {
		name := j.spec.ID
		if j.doneCount > 0 {
			jobs = append(jobs, name)
		}
	}
	slices.Sort(jobs)
	l.commits.log.Checkpoint(machines, jobs, l, func() {
		l.deps.Log.Debug("checkpoint stands", "rigs", len(machines), "jobs", len(jobs))
		for key, stamp := range l.legacyKeys {
			l.commits.legacyKeys[key] = stamp
		}
		l.legacyKeys = nil
	})
}

// Machine gives a checkpoint one machine's record.
func (l *Leader) Machine(name string) (wal.Machine, bool) {
	machine := l.fleet.get(name)
	if machine == nil {
		return wal.Machine{}, false
	}
	return l.machineRecord(machine), true
}

// DoneTasks gives a checkpoint a job's completed tasks.
func (l *Leader) DoneTasks(name string) (out []wal.DoneTasks) {
	j := l.jobs.get(name)
	if j == nil {
		return nil
	}
	per := constants.DoneChunkTasks / 8
	for at := 0; at < len(j.doneTasks); at += per {
		out = append(out, wal.DoneTasks{First: at * 8, Bits: slices.Clone(j.doneTasks[at:min(len(j.doneTasks), at+per)])})
	}
	return out
}

// allowForget lets a worker forget an exit that is recorded, or of no interest.
func (l *Leader) allowForget(machine *machineState, a *workers.Attempt) {
	if !a.ExitRecorded {
		a.ExitRecorded = true
		l.wakeReply(machine)
	}
}

// releaseRecordedExits lets workers forget the exits of a job's tasks that are recorded.
func (l *Leader) releaseRecordedExits(j *jobState) {
	for a, machine := range j.unrecordedExits {
		if j.recordedDone.has(a.ID.Task.Index) {
			l.allowForget(machine, a)
			delete(j.unrecordedExits, a)
		}
	}
}

// logAttempt has an attempt recorded; its `run` leaves only once that stands.
func (l *Leader) logAttempt(machine *machineState, a *workers.Attempt) {
	if !machine.metadataLogged {
		l.logMetadata(machine, nil)
	}
	l.commits.log.AttemptPlaced(machine.agent.Name, recordAttempt(a), a.ID.Task.Job, wal.JobUse{Team: l.jobs.teamOf(a), Resources: recordRoom(l.jobs.resourcesOf(a))}, func() {
		if !a.Committed {
			a.Committed = true
			l.allowStart(machine, a)
		}
	})
}

// logMetadata has all but a machine's attempts recorded.
func (l *Leader) logMetadata(machine *machineState, stood func()) {
	machine.metadataLogged, machine.loggedMetadata = true, l.machineMetadata(machine)
	l.commits.log.MachineChanged(machine.agent.Name, machine.loggedMetadata, stood)
}

// allowStart lets a committed attempt start. A gang waits until the records of all
// its tasks stand.
func (l *Leader) allowStart(machine *machineState, a *workers.Attempt) {
	j := l.jobs.get(a.ID.Task.Job)
	if j == nil {
		return
	}
	if j.spec.Kind != jobs.KindGang {
		a.StartAllowed = true
		l.wakeReply(machine)
		return
	}
	seats := sortedAttempts(j)
	for _, s := range seats {
		if s.attempt.ID.Number == a.ID.Number && !s.attempt.Committed {
			return
		}
	}
	for _, s := range seats {
		if s.attempt.ID.Number == a.ID.Number {
			s.attempt.StartAllowed = true
			l.wakeReply(s.machine)
		}
	}
}
