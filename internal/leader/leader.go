// Package leader is the one routine that owns the scheduling state of a term:
// it takes in reports and submissions, keeps the records, and gives orders.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"thornnotch/internal/config"
	"thornnotch/internal/fleet"
	"thornnotch/internal/intake"
	"thornnotch/internal/ledger"
	"thornnotch/internal/market"
	"thornnotch/internal/reserve"
	"thornnotch/internal/term"
	"thornnotch/internal/tuning"
)

// Store is what the leader needs of the state service.
type Store interface {
	Get(ctx context.Context, class ledger.Class, key string) (ledger.Row, bool, error)
	List(ctx context.Context, class ledger.Class, prefix string) ([]ledger.Row, uint64, error)
	Multi(ctx context.Context, class ledger.Class, when []ledger.Cond, writes []ledger.Write) (uint64, error)
	Follow(ctx context.Context, prefix string, from uint64, block time.Duration) (uint64, []ledger.Change, error)
}

// Cloud is what the leader needs of the cloud.
type Cloud interface {
	Rent(ctx context.Context, r market.Request) ([]string, error)
	Return(ctx context.Context, names []string) error
	List(ctx context.Context) ([]market.Host, error)
}

// Workers sends orders straight to a worker; the answer is its report.
type Workers interface {
	Command(ctx context.Context, endpoint string, a fleet.Answer) (*fleet.Report, error)
}

// Deps are the parts of a leader.
type Deps struct {
	Settings *config.Settings
	Operator config.Operator
	Store    Store
	Cloud    Cloud
	Workers  Workers
	// Catalog gives the newest catalog, or nil while none is known.
	Catalog func() *market.Catalog
	Log     *slog.Logger
}

// errDeposed ends a term: another node leads.
var errDeposed = errors.New("deposed: another node has raised the term")

// errTriesUsed ends a term whose attempt numbers are used up; the next one has
// new ones.
var errTriesUsed = errors.New("attempt numbers of this term are used up")

// Leader is one term's scheduling state. All fields below calls belong to the
// routine that runs it.
type Leader struct {
	d     Deps
	grant term.Grant
	lease time.Duration
	calls chan func()
	done  chan struct{}
	ctx   context.Context
	tasks *errgroup.Group

	ended       error
	loaded      bool
	sure        time.Time // when every cancellation was last certainly known
	jobs        map[string]*job
	rigs        map[string]*rig
	teams       []config.Team
	book        *reserve.Book
	tries       uint64
	dirty       bool // a placement pass is due
	lastPass    time.Time
	lastSummary time.Time
	committer   committer
	market      marketState
	certainty   time.Duration
	// finished are jobs that ended here before the watch has told so.
	finished map[string]bool
	// ghosts are jobs that are over while attempts of them may still run.
	ghosts map[string]ghost
	// arrivals counts the jobs of each class, older ones for less.
	arrivals map[string]float64
}

// New makes a leader for the granted term. Run must be called next.
func New(d Deps, g term.Grant) *Leader {
	w := d.Settings.Params.Workers
	l := &Leader{
		d: d, grant: g, lease: config.Seconds(w.LeaseS),
		calls: make(chan func(), 256), done: make(chan struct{}),
		jobs: make(map[string]*job), rigs: make(map[string]*rig), teams: d.Settings.Params.Teams,
		book: reserve.New(reserve.Options{Enabled: d.Operator.Holds.Enabled, Alpha: d.Operator.Holds.Alpha,
			P: d.Operator.Holds.P, Threshold: d.Operator.Holds.Threshold}),
		certainty: max(config.Seconds(w.CancelS-w.LeaseS)-tuning.CertaintyMargin, time.Second),
		finished:  make(map[string]bool),
		ghosts:    make(map[string]ghost),
		arrivals:  make(map[string]float64),
	}
	l.committer.init()
	l.market.init()
	return l
}

// do runs f on the leader's routine. It reports false once the term is over.
func (l *Leader) do(ctx context.Context, f func()) bool {
	select {
	case l.calls <- f:
		return true
	case <-l.done:
	case <-ctx.Done():
	}
	return false
}

// Run leads until ctx ends or the term does.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	group, ctx := errgroup.WithContext(ctx)
	l.ctx, l.tasks = ctx, group
	epoch, err := l.load(ctx)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	group.Go(func() error { return l.follow(ctx, epoch) })
	group.Go(func() error { return l.loop(ctx) })
	return group.Wait()
}

func (l *Leader) loop(ctx context.Context) error {
	tick := time.NewTicker(tuning.TickEvery)
	defer tick.Stop()
	pass := time.NewTimer(0)
	defer pass.Stop()
	armed := true
	for l.ended == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-l.calls:
			f()
			// Take what else has come in before the costly part.
			for more := true; more && l.ended == nil; {
				select {
				case f := <-l.calls:
					f()
				default:
					more = false
				}
			}
		case <-tick.C:
			l.tick(time.Now())
		case <-pass.C:
			armed = false
		}
		now := time.Now()
		if l.dirty && !armed {
			if wait := tuning.PassEvery - now.Sub(l.lastPass); wait > 0 {
				pass.Reset(wait)
				armed = true
			} else {
				l.pass(now)
			}
		}
		l.commit(now)
		l.flush(now)
	}
	return l.ended
}

// end stops the term.
func (l *Leader) end(err error) {
	if l.ended == nil {
		l.ended = err
	}
}

// load reads all records of the earlier terms. Reading starts after the term
// was raised, so no older leader can change them any more.
func (l *Leader) load(ctx context.Context) (epoch uint64, err error) {
	start := time.Now()
	open, epoch, err := l.read(ctx, intake.OpenPrefix)
	if err != nil {
		return 0, err
	}
	dids, _, err := l.read(ctx, didPrefix)
	if err != nil {
		return 0, err
	}
	rigs, _, err := l.read(ctx, rigPrefix)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	for _, row := range open {
		l.addJob(row.K, row.V, row.Stamp, now)
	}
	for _, j := range l.jobs {
		j.inherited = true
	}
	for _, row := range dids {
		if err := l.loadDone(row); err != nil {
			l.d.Log.Error("unreadable record", "key", row.K, "err", err)
		}
	}
	for _, row := range rigs {
		if err := l.loadRig(row, now); err != nil {
			return 0, fmt.Errorf("record %s: %w", row.K, err)
		}
	}
	for _, j := range l.jobs {
		l.checkComplete(j)
	}
	l.dirty = true
	l.loaded = true
	l.d.Log.Info("records loaded", "term", l.grant.Term, "jobs", len(l.jobs), "machines", len(l.rigs),
		"took_ms", time.Since(start).Milliseconds())
	return epoch, nil
}

// read lists one kind of record, trying again for as long as the term lasts:
// giving the lead up over one failed answer would only start it all anew.
func (l *Leader) read(ctx context.Context, prefix string) ([]ledger.Row, uint64, error) {
	for {
		asked := time.Now()
		rows, epoch, err := l.d.Store.List(ctx, ledger.Lease, prefix)
		if prefix == intake.OpenPrefix {
			l.sure = asked
		}
		if err == nil || ctx.Err() != nil {
			return rows, epoch, err
		}
		l.d.Log.Info("records can't be read", "prefix", prefix, "err", err)
		pause(ctx, tuning.BackoffMin)
	}
}

func (l *Leader) loadDone(row ledger.Row) error {
	name, chunk, ok := parseDidKey(row.K)
	if !ok {
		return errors.New("not a key of this kind")
	}
	j := l.jobs[name]
	if j == nil {
		// Left over by a job that was cancelled while the record was written.
		l.committer.sweep(row.K, row.Stamp)
		return nil
	}
	raw, err := decodeChunk(row.V)
	if err != nil {
		return err
	}
	if chunk*tuning.DoneChunk >= j.spec.Pieces || len(raw) != len(j.did.chunkOf(chunk)) {
		return errors.New("does not fit its job")
	}
	copy(j.did.chunkOf(chunk), raw)
	copy(j.safe.chunkOf(chunk), raw)
	j.stamps[chunk] = row.Stamp
	j.recount()
	return nil
}

func (l *Leader) loadRig(row ledger.Row, now time.Time) error {
	name := row.K[len(rigPrefix):]
	var rec rigRecord
	if err := json.Unmarshal(row.V, &rec); err != nil {
		return err
	}
	r := l.rig(name, now)
	r.stamp = row.Stamp
	r.leaving = rec.Leaving
	r.leavingSafe = rec.Leaving
	r.m.Type, r.m.Zone, r.m.Spot, r.m.Endpoint, r.m.Shift = rec.Type, rec.Zone, rec.Spot, rec.Endpoint, rec.Shift
	for id, g := range rec.Jobs {
		if l.jobs[id] == nil {
			l.ghosts[id] = ghost{g.Owner, g.Room.room()}
		}
	}
	for _, ar := range rec.Attempts {
		a, err := attemptOf(ar, now)
		if err != nil {
			return err
		}
		r.m.Attempts[a.ID] = a
		l.occupy(r, a)
		if j := l.jobs[a.ID.Task.Job]; j == nil {
			r.m.Withdraw(a, 0, now)
		}
	}
	for _, im := range rec.Images {
		r.images = append(r.images, image{name: im.Name, gb: im.GB, have: true})
	}
	for _, h := range rec.Holds {
		l.book.Restore(h.hold(name))
	}
	// Show the worker the new token, so that it turns to this node soon and
	// an older leader's answers are dropped.
	l.command(r, nil, now)
	return nil
}

// follow learns of submissions and cancellations.
func (l *Leader) follow(ctx context.Context, epoch uint64) error {
	for ctx.Err() == nil {
		asked := time.Now()
		next, log, err := l.d.Store.Follow(ctx, intake.OpenPrefix, epoch, tuning.WatchBlock)
		switch {
		case errors.Is(err, ledger.ErrCompacted):
			return fmt.Errorf("jobs must be read again: %w", err)
		case err != nil:
			l.d.Log.Debug("watch failed", "err", err)
			pause(ctx, tuning.BackoffMin)
			continue
		}
		epoch = next
		l.do(ctx, func() {
			now := time.Now()
			// The answer holds all changes up to a moment after the question.
			l.sure = asked
			for _, c := range log {
				if c.Remove != "" {
					l.jobGone(c.Remove[len(intake.OpenPrefix):], now)
					continue
				}
				l.addJob(c.Set, c.V, c.Stamp, now)
			}
		})
	}
	return ctx.Err()
}

// jitter spreads a pause, so that nodes don't act in step.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// pause waits for about d.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(jitter(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// tick does what only time brings about.
func (l *Leader) tick(now time.Time) {
	for class := range l.arrivals {
		l.arrivals[class] *= 1 - tuning.TickEvery.Seconds()/tuning.ArrivalMemory.Seconds()
	}
	for _, r := range l.sortedRigs() {
		if ev := r.m.CheckLease(l.grant.Term, l.lease, now); len(ev) > 0 {
			l.d.Log.Info("machine lost", "rig", r.m.Name, "tasks", len(ev))
			l.events(r, ev, now)
			r.lazy(now)
		}
		l.press(r, now)
	}
	for _, name := range l.book.Lapse(now, l.stillWaits) {
		if r := l.rigs[name]; r != nil {
			r.lazy(now)
		}
		l.dirty = true
	}
	for _, j := range l.jobs {
		if !j.notBefore.IsZero() && now.After(j.notBefore) {
			j.notBefore = time.Time{}
			l.dirty = true
		}
	}
	l.trade(now)
	if now.Sub(l.lastPass) > time.Second {
		l.dirty = true // estimates and spare room change with time alone
	}
}

func (l *Leader) sortedRigs() []*rig {
	out := make([]*rig, 0, len(l.rigs))
	for _, r := range l.rigs {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].m.Name < out[j].m.Name })
	return out
}

// Progress tells how far a job is, for display; ok is false if it is unknown.
func (l *Leader) Progress(ctx context.Context, id string) (done, running int, ok bool) {
	type answer struct {
		done, running int
		ok            bool
	}
	ch := make(chan answer, 1)
	if !l.do(ctx, func() {
		j := l.jobs[id]
		if j == nil {
			ch <- answer{}
			return
		}
		ch <- answer{j.doneN, j.running(), true}
	}) {
		return 0, 0, false
	}
	select {
	case a := <-ch:
		return a.done, a.running, a.ok
	case <-ctx.Done():
	case <-l.done:
	}
	return 0, 0, false
}
