// Package election elects the one leader of the nodes. A lease in the state service says
// who leads, and a record whose number only rises says since when. The number is the term,
// which is the fencing token of all commands to workers.
//
// Safety rests on the term's record alone: every write of a leader is conditioned on its
// revision, so a deposed leader can write nothing, whatever became of its lease and however
// late its requests arrive. The lease only decides when another node may campaign. The
// argument is in docs/design.md (Safety, 1).
package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
)

// Store is what the election needs of the state service. Its methods are those of
// statestore.Client.
type Store interface {
	List(ctx context.Context, class statestore.Class, prefix string) (rows []statestore.KeyValue, revision uint64, err error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (revision uint64, changes []statestore.Change, err error)
	Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (revision uint64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
}

// Grant is the right to lead for one term.
type Grant struct {
	Term     uint64
	Revision uint64 // of the term's record, the condition of every write
}

// LeadFunc leads for one term. It returns when ctx ends, whose cause tells why, or when it
// finds the node deposed; its error says why the term is over.
type LeadFunc func(ctx context.Context, grant Grant) error

// Elector runs the election on one node.
type Elector struct {
	self   string
	store  Store
	logger *slog.Logger

	mu   sync.Mutex
	view View // guarded by mu
}

// New makes the elector of the node called self.
func New(self string, store Store, logger *slog.Logger) *Elector {
	return &Elector{self: self, store: store, logger: logger}
}

// Leader names the node that leads, as far as this one knows, and the newest term. The name
// is empty if nobody leads. It is safe for concurrent use.
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

// Run takes part in the election until ctx ends, and returns its error. While this node
// leads, lead runs.
func (e *Elector) Run(ctx context.Context, lead LeadFunc) error {
	for ctx.Err() == nil {
		if err := e.runRound(ctx, lead); err != nil && ctx.Err() == nil {
			e.logger.Debug("election round ended", "error", err)
			pause(ctx, constants.MinBackoff)
		}
	}
	return ctx.Err()
}

// pause waits for half to one and a half times d, so that nodes don't act in step.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runRound follows the election until this node may campaign, campaigns, and if it wins
// leads until the term is over.
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

// readView reads the records of the election, and the revision to watch them from.
func (e *Elector) readView(ctx context.Context) (view View, revision uint64, err error) {
	rows, revision, err := e.store.List(ctx, statestore.ClassLease, Prefix)
	if err != nil {
		return View{}, 0, fmt.Errorf("read the election's records: %w", err)
	}
	for _, row := range rows {
		if err := view.Apply(row.Key, row.Value, row.Revision); err != nil {
			return View{}, 0, err
		}
	}
	e.setView(view)
	return view, revision, nil
}

// awaitVacancy watches the election until this node may campaign.
func (e *Elector) awaitVacancy(ctx context.Context, view View, revision uint64) (View, error) {
	for !view.MayCampaign(e.self) {
		next, changes, err := e.store.Watch(ctx, Prefix, revision, constants.ElectionWatchBlock)
		if err != nil {
			return View{}, fmt.Errorf("watch the election: %w", err)
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

// campaign tries to make this node the leader, under a lease of its own.
func (e *Elector) campaign(ctx context.Context, view View) (won View, lease uint64, err error) {
	lease, err = e.store.GrantLease(ctx, constants.LeaseTTL)
	if err != nil {
		return View{}, 0, fmt.Errorf("grant a lease to campaign with: %w", err)
	}
	campaign := view.Campaign(e.self, lease)
	revision, err := e.store.Txn(ctx, statestore.ClassLease, campaign.Conditions, campaign.Writes)
	if err != nil {
		var conflict *statestore.ConflictError
		if errors.As(err, &conflict) {
			// Another node was faster; the next round sees which. The lease is of no
			// use, and ends by itself if this fails. After any other error the
			// transaction may yet be carried out, and then the lease ends this term.
			_ = e.store.RevokeLease(ctx, lease)
		}
		return View{}, 0, fmt.Errorf("campaign for term %d: %w", campaign.Term, err)
	}
	return viewOfWinner(e.self, campaign, revision), lease, nil
}

// serveTerm leads while it holds the lease. It returns when both have ended.
func (e *Elector) serveTerm(ctx context.Context, view View, lease uint64, lead LeadFunc) error {
	e.setView(view)
	e.logger.Info("became leader", "term", view.Term)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var holding sync.WaitGroup
	holding.Go(func() {
		if err := e.holdLease(ctx, view, lease); err != nil {
			cancel(err)
		}
	})
	err := lead(ctx, Grant{Term: view.Term, Revision: view.TermRevision})
	cancel(err)
	holding.Wait()
	e.logger.Info("no longer leader", "term", view.Term, "reason", context.Cause(ctx))
	return err
}
