// Package leader is the one routine that owns the scheduling state of a term:
// it takes in reports and submissions, keeps the records, and gives orders.
package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/certainty"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/reservations"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// Store is what the leader needs of the state service.
type Store interface {
	Get(ctx context.Context, class statestore.Class, key string) (statestore.KeyValue, bool, error)
	List(ctx context.Context, class statestore.Class, prefix string) ([]statestore.KeyValue, uint64, error)
	Txn(ctx context.Context, class statestore.Class, when []statestore.Condition, writes []statestore.Write) (uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (uint64, []statestore.Change, error)
}

// Cloud is what the leader needs of the cloud.
type Cloud interface {
	Rent(ctx context.Context, r autoscaling.RentRequest) ([]string, error)
	Return(ctx context.Context, names []string) error
	List(ctx context.Context, from string) (hosts []autoscaling.Instance, next string, err error)
}

// Workers sends orders straight to a worker; the answer is its report.
type Workers interface {
	Send(ctx context.Context, endpoint string, a workers.CommandBatch) (*workers.Heartbeat, error)
}

// Deps are the parts of a leader.
type Deps struct {
	Settings *config.Settings
	Operator config.Operator
	Store    Store
	Cloud    Cloud
	Workers  Workers
	// Catalog gives the newest catalog, or nil while none is known.
	Catalog func() *autoscaling.Catalog
	// Attest asks all nodes for the cancellations that they know of; nil: the
	// watch alone counts.
	Attest AttestFunc
	// ReadsLargeRing asks whether all nodes read the log's large ring; nil: they don't.
	ReadsLargeRing func(ctx context.Context) bool
	// Usage tells what this node's calls of a class have drawn; may be nil.
	Usage func(statestore.Class) statestore.Usage
	Log   *slog.Logger
}

// Leader is one term's scheduling state. All fields below calls belong to the
// routine that runs it.
type Leader struct {
	deps      Deps
	lease     time.Duration
	events    chan event
	done      chan struct{}
	calls     outboundCalls
	term      term
	certainty certainty.Tracker
	wal       *wal.Writer
	commits   groupCommit

	// failoverProgress is how far the takeover has come, for operators; empty once it
	// is over. It is read by others.
	failoverProgress atomic.Pointer[string]
	// machineCount is how many machines are known; it is read by others.
	machineCount     atomic.Int64
	loaded           bool
	jobs             jobTable
	fleet            fleet
	teamUsage        teamUsage
	replies          heldReplies
	metadata         metadataQueue
	lastPassDuration time.Duration
	legacyKeys       map[string]uint64 // keys of the earlier format, with their revision
	counts           counts
	load             loadLog
	teams            []config.Team
	reservations     *reservations.Manager
	commandsInFlight int // direct orders under way
	// silentCommandsInFlight are those of them to workers that have not been heard lately.
	silentCommandsInFlight int
	passDueNow             bool // a placement pass is due
	lastPass               time.Time
	lastSummary            time.Time
	scaling                scalingState
	gangWaits              gangWaits
	// dependencies is what the jobs that wait for others wait for.
	dependencies dependencyTracker
	// runtimeRatios is, by class, how long tasks ran lately against what was expected.
	runtimeRatios runtimeRatios
	// arrivals counts the jobs of each class, older ones for less.
	arrivals classArrivals
	// placementRates are the tasks of each class placed a second, of late.
	placementRates placementRates
}

// New makes a leader for the granted term. Run must be called next.
func New(d Deps, g election.Grant) *Leader {
	w := d.Settings.Params.Workers
	l := &Leader{
		deps: d, term: newTerm(g), certainty: certainty.NewTracker(certainty.Window(w)), lease: config.Seconds(w.LeaseS),
		events: make(chan event, 256), done: make(chan struct{}),
		jobs: newJobTable(), fleet: newFleet(), teams: d.Settings.Params.Teams,
		reservations: reservations.NewManager(reservations.Options{
			Enabled: d.Operator.Holds.Enabled, Alpha: d.Operator.Holds.Alpha,
			P: d.Operator.Holds.P, Threshold: d.Operator.Holds.Threshold,
		}),
		arrivals:       make(classArrivals),
		runtimeRatios:  make(runtimeRatios),
		placementRates: make(placementRates),
		gangWaits:      make(gangWaits),
		teamUsage:      make(teamUsage),
		replies:        newHeldReplies(),
		metadata:       newMetadataQueue(d.Settings.Params.State, d.Operator.Budgets),
	}
	l.commits = newGroupCommit(d.Log, l.beginCheckpoint)
	l.dependencies.init()
	l.openLog(wal.Head{}, 0)
	l.scaling.init()
	return l
}

// Run leads until ctx ends or the term does.
func (l *Leader) Run(ctx context.Context) error {
	defer close(l.done)
	group, ctx := errgroup.WithContext(ctx)
	epoch, err := l.loadRecords(ctx)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	// A process that was frozen while it read may have been deposed meanwhile.
	l.term.resume(time.Now())
	l.verifyTerm()
	group.Go(func() error { return l.watchJobs(ctx, epoch) })
	if l.deps.Attest != nil {
		group.Go(func() error { return l.collectAttestations(ctx) })
	}
	group.Go(func() error { return l.loop(ctx, group) })
	return group.Wait()
}

func (l *Leader) loop(ctx context.Context, group *errgroup.Group) error {
	tick := time.NewTicker(constants.TickInterval)
	defer tick.Stop()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for !l.term.ended() {
		var began time.Time
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.events:
			began = l.beginRound()
			l.counts.Calls += uint64(1 + len(l.events))
			e.apply(l)
			// Take what else has come in before the costly part.
			for n := len(l.events); n > 0 && !l.term.ended(); n-- {
				(<-l.events).apply(l)
			}
		case <-tick.C:
			began = l.beginRound()
			l.tick(began)
			l.logLoad(began)
		case <-alarm.C:
			began = l.beginRound()
		}
		l.startCalls(ctx, group)
		now := time.Now()
		if l.passDueNow && !now.Before(l.nextPassAt()) {
			l.runSchedulingPass(now)
			now = time.Now()
		}
		l.commit(now)
		l.startCalls(ctx, group)
		l.flushReplies(now)
		l.counts.BusyS += time.Since(began).Seconds()
		if next := l.nextAlarm(); !next.IsZero() {
			alarm.Reset(max(next.Sub(now), 0))
		}
	}
	return l.term.err()
}

// beginRound notes that the loop is at work, and since when.
func (l *Leader) beginRound() time.Time {
	now := time.Now()
	if stall := l.term.beginRound(now); stall > 0 {
		l.deps.Log.Info("stood still", "for_s", stall.Seconds(), "term", l.term.number())
	}
	return now
}

// nextPassAt is when the next placement pass may run. A pass that takes long is
// followed by a longer pause: reports and records must not wait for passes.
func (l *Leader) nextPassAt() time.Time {
	return l.lastPass.Add(min(max(constants.MinPassInterval, constants.PassIntervalFactor*l.lastPassDuration), constants.MaxPassInterval))
}

// nextAlarm is when the routine must look again if nothing comes in.
func (l *Leader) nextAlarm() (at time.Time) {
	sooner := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if l.passDueNow {
		sooner(l.nextPassAt())
	}
	sooner(l.commits.due())
	sooner(l.replies.nextDue())
	return at
}

// Machines is how many machines are known.
func (l *Leader) Machines() int { return int(l.machineCount.Load()) }

// watchJobs learns of submissions and cancellations.
func (l *Leader) watchJobs(ctx context.Context, epoch uint64) error {
	block := constants.WatchBlock
	for ctx.Err() == nil {
		asked := time.Now()
		next, log, err := l.deps.Store.Watch(ctx, jobs.OpenPrefix, epoch, block)
		// After an outage certainty must come back at once, before workers have
		// to be sent away: the first watch does not wait for a change.
		block = constants.WatchBlock
		if err != nil {
			block = 0
		}
		switch {
		case errors.Is(err, statestore.ErrCompacted):
			return fmt.Errorf("jobs must be read again: %w", err)
		case err != nil:
			l.deps.Log.Debug("watch failed", "err", err)
			pause(ctx, constants.MinBackoff)
			continue
		}
		epoch = next
		l.post(ctx, jobsChanged{asked, log})
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
	l.arrivals.fade(constants.TickInterval)
	l.placementRates.fade(constants.TickInterval)
	l.trackFailover(now)
	l.machineCount.Store(int64(l.fleet.len()))
	shown := 0
	for _, machine := range l.fleet.sortedByName() {
		// That nobody was answered for a lease is our own doing after we stood
		// still: who leads now knows better, and if we do it is soon known.
		if l.term.verified() {
			if ev := machine.agent.ExpireLease(l.term.number(), l.lease, now); len(ev) > 0 {
				l.deps.Log.Info("machine lost", "rig", machine.agent.Name, "tasks", len(ev))
				l.applyEvents(machine, ev, now)
			}
		}
		l.sendStops(machine, now)
		machine.startOverdue = machine.agent.StartOverdue(now)
		switch {
		case machine.agent.RepliesLost || machine.agent.EpochUnconfirmed:
			l.probeAgent(machine, now)
		case machine.agent.Token < l.term.number() && shown < constants.TokenPushesPerTick && !machine.commandInFlight && now.Sub(machine.lastCommandAt) >= l.lease/2:
			// Show the worker the new token, so that it turns to this node
			// soon and an older leader's answers are dropped. A few at a time:
			// all at once would take more sockets and time than there are.
			shown++
			l.sendCommand(machine, nil, now)
		}
	}
	for _, name := range l.reservations.Expire(now, l.stillWaits) {
		if machine := l.fleet.get(name); machine != nil {
			l.metadataChanged(machine, now)
		}
		l.passDueNow = true
	}
	l.logDueMetadata(now)
	for j := range l.jobs.all() {
		l.gangWaits.observe(j, now)
		if j.retry.resume(now) {
			l.passDueNow = true
		}
	}
	l.readFinalRecords(now)
	l.checkLargeRingSupport(now)
	l.scale(now)
	if now.Sub(l.lastPass) > time.Second {
		l.passDueNow = true // estimates and spare room change with time alone
	}
}

// Progress is how far a job is.
type Progress struct{ Done, Running int }

// Progress tells how far these jobs are, for display. Jobs that are not known
// here are left out.
func (l *Leader) Progress(ctx context.Context, ids []string) map[string]Progress {
	ch := make(chan map[string]Progress, 1)
	if !l.post(ctx, progressRequested{ids, ch}) {
		return nil
	}
	select {
	case a := <-ch:
		return a
	case <-ctx.Done():
	case <-l.done:
	}
	return nil
}
