// Package election elects the one leader: a lease in the state service says who
// leads, a record whose number only rises says since when. The number is the
// token of every order.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
)

// Keys of the election.
const (
	Prefix    = "term/"
	LeaderKey = "term/lead"
	TermKey   = "term/number"
)

// LeaderRecord is the value of the leader's key, which lives with its lease.
type LeaderRecord struct {
	Node string `json:"label"`
	Term uint64 `json:"term"`
}

// TermRecord is the term record. Every write of a leader is conditioned on it.
type TermRecord struct {
	Term uint64 `json:"term"`
	Node string `json:"label"`
}

// View is what a node knows of the election.
type View struct {
	Leader         LeaderRecord
	LeaderRevision uint64 // 0: nobody leads
	Term           uint64
	TermRevision   uint64 // 0: there was no term yet
}

// Apply brings the view up to date with one row; a nil value removes it.
func (v *View) Apply(key string, value json.RawMessage, revision uint64) error {
	switch key {
	case LeaderKey:
		if value == nil {
			v.Leader, v.LeaderRevision = LeaderRecord{}, 0
			return nil
		}
		var l LeaderRecord
		if err := json.Unmarshal(value, &l); err != nil {
			return err
		}
		v.Leader, v.LeaderRevision = l, revision
	case TermKey:
		var n TermRecord
		if value != nil {
			if err := json.Unmarshal(value, &n); err != nil {
				return err
			}
		} else {
			revision = 0
		}
		v.Term, v.TermRevision = n.Term, revision
	}
	return nil
}

// MayCampaign tells whether the node may try to lead: nobody does, or its own
// earlier process did, which is gone.
func (v View) MayCampaign(self string) bool { return v.LeaderRevision == 0 || v.Leader.Node == self }

// Campaign is the transaction that takes the lead: it raises the term, and
// fails if anybody else did anything meanwhile.
func (v View) Campaign(self string, tenure uint64) ([]statestore.Condition, []statestore.Write, uint64, error) {
	next := v.Term + 1
	lead, err := json.Marshal(LeaderRecord{self, next})
	if err != nil {
		return nil, nil, 0, err
	}
	number, err := json.Marshal(TermRecord{next, self})
	if err != nil {
		return nil, nil, 0, err
	}
	return []statestore.Condition{{Key: LeaderKey, Revision: v.LeaderRevision}, {Key: TermKey, Revision: v.TermRevision}},
		[]statestore.Write{{Put: LeaderKey, Value: lead, Lease: tenure}, {Put: TermKey, Value: number}}, next, nil
}

// Grant is the right to lead for one term.
type Grant struct {
	Term     uint64
	Revision uint64 // revision of the term record, the condition of every write
}

// Store is what the election needs of the state service.
type Store interface {
	List(ctx context.Context, class statestore.Class, prefix string) ([]statestore.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (uint64, []statestore.Change, error)
	Txn(ctx context.Context, class statestore.Class, when []statestore.Condition, writes []statestore.Write) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, tenure uint64) error
	RevokeLease(ctx context.Context, tenure uint64) error
}

// Elector runs the election on one node.
type Elector struct {
	self  string
	store Store
	log   *slog.Logger

	mu   sync.Mutex
	view View
}

// New makes the elector of the node called self.
func New(self string, store Store, log *slog.Logger) *Elector {
	return &Elector{self: self, store: store, log: log}
}

// Leader names the node that leads as far as is known, and its term.
func (e *Elector) Leader() (label string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view.LeaderRevision == 0 {
		return "", e.view.Term
	}
	return e.view.Leader.Node, e.view.Term
}

func (e *Elector) setView(v View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view = v
}

// Run takes part in the election until ctx ends. While this node leads, lead
// runs; it returns when its context ends or it finds itself deposed.
func (e *Elector) Run(ctx context.Context, lead func(context.Context, Grant) error) error {
	for ctx.Err() == nil {
		if err := e.round(ctx, lead); err != nil && ctx.Err() == nil {
			e.log.Debug("election round ended", "err", err)
			pause(ctx, constants.MinBackoff)
		}
	}
	return ctx.Err()
}

// pause waits for about d, so that nodes don't act in step.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (e *Elector) round(ctx context.Context, lead func(context.Context, Grant) error) error {
	rows, epoch, err := e.store.List(ctx, statestore.ClassLease, Prefix)
	if err != nil {
		return err
	}
	var v View
	for _, r := range rows {
		if err := v.Apply(r.Key, r.Value, r.Revision); err != nil {
			return err
		}
	}
	e.setView(v)
	for !v.MayCampaign(e.self) {
		next, log, err := e.store.Watch(ctx, Prefix, epoch, 10*constants.WatchBlock)
		if err != nil {
			return err
		}
		epoch = next
		for _, c := range log {
			key, value := c.Put, c.Value
			if c.Delete != "" {
				key, value = c.Delete, nil
			}
			if err := v.Apply(key, value, c.Revision); err != nil {
				return err
			}
		}
		e.setView(v)
	}
	return e.campaign(ctx, v, lead)
}

func (e *Elector) campaign(ctx context.Context, v View, lead func(context.Context, Grant) error) error {
	tenure, err := e.store.GrantLease(ctx, constants.LeaseTTL)
	if err != nil {
		return err
	}
	when, writes, next, err := v.Campaign(e.self, tenure)
	if err != nil {
		return err
	}
	stamp, err := e.store.Txn(ctx, statestore.ClassLease, when, writes)
	if err != nil {
		var c *statestore.ConflictError
		if errors.As(err, &c) {
			// Somebody else was faster: see who.
			_ = e.store.RevokeLease(ctx, tenure)
		}
		return err
	}
	v.Leader, v.LeaderRevision, v.Term, v.TermRevision = LeaderRecord{e.self, next}, stamp, next, stamp
	e.setView(v)
	e.log.Info("took the lead", "term", next)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		if err := e.keep(ctx, v, tenure); err != nil {
			cancel(err)
		}
	}()
	err = lead(ctx, Grant{next, stamp})
	cancel(err)
	<-renewed
	e.log.Info("gave up the lead", "term", next, "why", context.Cause(ctx))
	return err
}

// keep renews the lease while ctx lasts. It returns an error only when the
// lead is known to be lost. A lease that has run out is taken anew as long as
// nobody else has raised the term: safety rests on the term record, not on
// the lease.
func (e *Elector) keep(ctx context.Context, v View, tenure uint64) error {
	tick := time.NewTicker(constants.LeaseRenewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), context.Canceled) {
				// An orderly end: let another node lead at once.
				done, cancel := context.WithTimeout(context.WithoutCancel(ctx), constants.LeaseRenewInterval)
				defer cancel()
				_ = e.store.RevokeLease(done, tenure)
			}
			return nil
		case <-tick.C:
		}
		err := e.store.RenewLease(ctx, tenure)
		if !errors.Is(err, statestore.ErrLeaseExpired) {
			continue
		}
		fresh, err := e.store.GrantLease(ctx, constants.LeaseTTL)
		if err != nil {
			continue
		}
		lead, err := json.Marshal(v.Leader)
		if err != nil {
			return err
		}
		when := []statestore.Condition{{Key: LeaderKey}, {Key: TermKey, Revision: v.TermRevision}}
		_, err = e.store.Txn(ctx, statestore.ClassLease, when, []statestore.Write{{Put: LeaderKey, Value: lead, Lease: fresh}})
		var c *statestore.ConflictError
		switch {
		case errors.As(err, &c) && c.HasKey(TermKey):
			return errors.New("another node has raised the term")
		case err == nil:
			e.log.Info("took the lease again", "term", v.Term)
			tenure = fresh
		default:
			// Undecided: the next renewal of the old lease fails again.
			_ = e.store.RevokeLease(ctx, fresh)
		}
	}
}
