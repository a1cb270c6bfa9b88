// Package election elects one of the nodes as leader. A lease in the state service shows
// which node leads; a record holds the term, a number that only increases and serves as the
// fencing token of all commands to workers.
//
// Safety depends on the term's record alone. Every write of a leader is conditioned on the
// record's revision, so a deposed leader cannot write anything, whatever happens to its lease
// and however late its requests arrive. The lease only decides when another node may
// campaign. The argument is in docs/design.md (Safety, 1).
package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"thornnotch/internal/backoff"
	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
)

// Store is the part of the state service that the election uses. statestore.Client implements
// it.
type Store interface {
	List(ctx context.Context, class statestore.Class, prefix string) (rows []statestore.KeyValue, revision uint64, err error)
	Watch(ctx context.Context, prefix string, fromRevision uint64, maxWait time.Duration) (revision uint64, changes []statestore.Change, err error)
	Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (revision uint64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
}

// Grant is the right to lead for one term.
type Grant struct {
	Term     uint64
	Revision uint64 // of the term's record; a condition of every write
}

// LeadFunc leads for one term. It returns when ctx ends (context.Cause gives the reason) or
// when it finds that this node has been deposed. Its error says why the term ended.
type LeadFunc func(ctx context.Context, grant Grant) error

// Elector runs the election on one node.
type Elector struct {
	self   string
	store  Store
	logger *slog.Logger

	mu   sync.Mutex
	view View // guarded by mu
}

// New returns an elector for the node named self.
func New(self string, store Store, logger *slog.Logger) *Elector {
	return &Elector{self: self, store: store, logger: logger}
}

// Leader returns the leader and the newest term that this node knows of. The name is empty if
// no node is known to lead. It is safe for concurrent use.
func (e *Elector) Leader() (node string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view.LeaderRevision == 0 {
		return "", e.view.Term
	}
	return e.view.Leader.Node, e.view.Term
}

func (e *Elector) setView(view View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view = view
}

// Run takes part in the election until ctx ends and returns the error of ctx. It calls lead
// whenever this node becomes leader.
func (e *Elector) Run(ctx context.Context, lead LeadFunc) error {
	for ctx.Err() == nil {
		if err := e.runRound(ctx, lead); err != nil && ctx.Err() == nil {
			e.logger.Debug("election round ended", "error", err)
			backoff.Sleep(ctx, backoff.Jitter(constants.MinStateBackoff))
		}
	}
	return ctx.Err()
}

// runRound follows the election until this node may campaign, then campaigns and, if it wins,
// leads until the term ends.
func (e *Elector) runRound(ctx context.Context, lead LeadFunc) error {
	view, revision, err := e.readView(ctx)
	if err != nil {
		return err
	}
	view, err = e.awaitVacancy(ctx, view, revision)
	if err != nil {
		return err
	}
	view, lease, err := e.campaign(ctx, view)
	if err != nil {
		return err
	}
	return e.serveTerm(ctx, view, lease, lead)
}

// readView reads the election records and the revision from which to watch them.
func (e *Elector) readView(ctx context.Context) (view View, revision uint64, err error) {
	rows, revision, err := e.store.List(ctx, statestore.ClassLease, Prefix)
	if err != nil {
		return View{}, 0, fmt.Errorf("read election records: %w", err)
	}
	for _, row := range rows {
		if err := view.Apply(row.Key, row.Value, row.Revision); err != nil {
			return View{}, 0, err
		}
	}
	e.setView(view)
	return view, revision, nil
}

// awaitVacancy watches the election records until this node may campaign.
func (e *Elector) awaitVacancy(ctx context.Context, view View, revision uint64) (View, error) {
	for !view.MayCampaign(e.self) {
		next, changes, err := e.store.Watch(ctx, Prefix, revision, constants.ElectionWatchWait)
		if err != nil {
			return View{}, fmt.Errorf("watch election records: %w", err)
		}
		revision = next
		for _, change := range changes {
			if err := view.applyChange(change); err != nil {
				return View{}, err
			}
		}
		e.setView(view)
	}
	return view, nil
}

// campaign tries to make this node the leader, under a new lease. If it wins, it returns the
// lease and the view after the campaign.
func (e *Elector) campaign(ctx context.Context, view View) (won View, lease uint64, err error) {
	lease, err = e.store.GrantLease(ctx, constants.LeaderLeaseTTL)
	if err != nil {
		return View{}, 0, fmt.Errorf("grant campaign lease: %w", err)
	}
	campaign := view.Campaign(e.self, lease)
	revision, err := e.store.Txn(ctx, statestore.ClassLease, campaign.Conditions, campaign.Writes)
	if err != nil {
		var conflict *statestore.ConflictError
		if errors.As(err, &conflict) {
			// Another node won, and the next round reads its name. The lease is useless and
			// expires by itself if revoking it fails. After any other error the transaction
			// may still be executed; the term then ends when the lease expires.
			_ = e.store.RevokeLease(ctx, lease)
		}
		return View{}, 0, fmt.Errorf("campaign for term %d: %w", campaign.Term, err)
	}
	return winnerView(e.self, campaign, revision), lease, nil
}

// serveTerm runs lead while holding the lease. It returns once both have ended.
func (e *Elector) serveTerm(ctx context.Context, view View, lease uint64, lead LeadFunc) error {
	e.setView(view)
	e.logger.Info("became leader", "term", view.Term)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var leaseLoop sync.WaitGroup
	leaseLoop.Go(func() {
		if err := e.holdLease(ctx, view, lease); err != nil {
			cancel(err)
		}
	})
	err := lead(ctx, Grant{Term: view.Term, Revision: view.TermRevision})
	cancel(err)
	leaseLoop.Wait()
	e.logger.Info("no longer leader", "term", view.Term, "reason", context.Cause(ctx))
	return err
}
