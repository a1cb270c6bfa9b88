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
	LeadKey   = "term/lead"
	NumberKey = "term/number"
)

// Lead is the value of the leader's key, which lives with its lease.
type Lead struct {
	Label string `json:"label"`
	Term  uint64 `json:"term"`
}

// Number is the term record. Every write of a leader is conditioned on it.
type Number struct {
	Term  uint64 `json:"term"`
	Label string `json:"label"`
}

// View is what a node knows of the election.
type View struct {
	Lead        Lead
	LeadStamp   uint64 // 0: nobody leads
	Term        uint64
	NumberStamp uint64 // 0: there was no term yet
}

// Apply brings the view up to date with one row; a nil value removes it.
func (v *View) Apply(key string, value json.RawMessage, stamp uint64) error {
	switch key {
	case LeadKey:
		if value == nil {
			v.Lead, v.LeadStamp = Lead{}, 0
			return nil
		}
		var l Lead
		if err := json.Unmarshal(value, &l); err != nil {
			return err
		}
		v.Lead, v.LeadStamp = l, stamp
	case NumberKey:
		var n Number
		if value != nil {
			if err := json.Unmarshal(value, &n); err != nil {
				return err
			}
		} else {
			stamp = 0
		}
		v.Term, v.NumberStamp = n.Term, stamp
	}
	return nil
}

// MayCampaign tells whether the node may try to lead: nobody does, or its own
// earlier process did, which is gone.
func (v View) MayCampaign(self string) bool { return v.LeadStamp == 0 || v.Lead.Label == self }

// Campaign is the transaction that takes the lead: it raises the term, and
// fails if anybody else did anything meanwhile.
func (v View) Campaign(self string, tenure uint64) ([]statestore.Cond, []statestore.Write, uint64, error) {
	next := v.Term + 1
	lead, err := json.Marshal(Lead{self, next})
	if err != nil {
		return nil, nil, 0, err
	}
	number, err := json.Marshal(Number{next, self})
	if err != nil {
		return nil, nil, 0, err
	}
	return []statestore.Cond{{K: LeadKey, Stamp: v.LeadStamp}, {K: NumberKey, Stamp: v.NumberStamp}},
		[]statestore.Write{{Set: LeadKey, V: lead, Tenure: tenure}, {Set: NumberKey, V: number}}, next, nil
}

// Grant is the right to lead for one term.
type Grant struct {
	Term  uint64
	Stamp uint64 // revision of the term record, the condition of every write
}

// Store is what the election needs of the state service.
type Store interface {
	List(ctx context.Context, class statestore.Class, prefix string) ([]statestore.Row, uint64, error)
	Follow(ctx context.Context, prefix string, from uint64, block time.Duration) (uint64, []statestore.Change, error)
	Multi(ctx context.Context, class statestore.Class, when []statestore.Cond, writes []statestore.Write) (uint64, error)
	Acquire(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, tenure uint64) error
	Release(ctx context.Context, tenure uint64) error
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
	if e.view.LeadStamp == 0 {
		return "", e.view.Term
	}
	return e.view.Lead.Label, e.view.Term
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
			pause(ctx, constants.BackoffMin)
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
	rows, epoch, err := e.store.List(ctx, statestore.Lease, Prefix)
	if err != nil {
		return err
	}
	var v View
	for _, r := range rows {
		if err := v.Apply(r.K, r.V, r.Stamp); err != nil {
			return err
		}
	}
	e.setView(v)
	for !v.MayCampaign(e.self) {
		next, log, err := e.store.Follow(ctx, Prefix, epoch, 10*constants.WatchBlock)
		if err != nil {
			return err
		}
		epoch = next
		for _, c := range log {
			key, value := c.Set, c.V
			if c.Remove != "" {
				key, value = c.Remove, nil
			}
			if err := v.Apply(key, value, c.Stamp); err != nil {
				return err
			}
		}
		e.setView(v)
	}
	return e.campaign(ctx, v, lead)
}

func (e *Elector) campaign(ctx context.Context, v View, lead func(context.Context, Grant) error) error {
	tenure, err := e.store.Acquire(ctx, constants.LeaseTTL)
	if err != nil {
		return err
	}
	when, writes, next, err := v.Campaign(e.self, tenure)
	if err != nil {
		return err
	}
	stamp, err := e.store.Multi(ctx, statestore.Lease, when, writes)
	if err != nil {
		var c *statestore.Conflict
		if errors.As(err, &c) {
			// Somebody else was faster: see who.
			_ = e.store.Release(ctx, tenure)
		}
		return err
	}
	v.Lead, v.LeadStamp, v.Term, v.NumberStamp = Lead{e.self, next}, stamp, next, stamp
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
	tick := time.NewTicker(constants.LeaseRenew)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), context.Canceled) {
				// An orderly end: let another node lead at once.
				done, cancel := context.WithTimeout(context.WithoutCancel(ctx), constants.LeaseRenew)
				defer cancel()
				_ = e.store.Release(done, tenure)
			}
			return nil
		case <-tick.C:
		}
		err := e.store.Renew(ctx, tenure)
		if !errors.Is(err, statestore.ErrNoLease) {
			continue
		}
		fresh, err := e.store.Acquire(ctx, constants.LeaseTTL)
		if err != nil {
			continue
		}
		lead, err := json.Marshal(v.Lead)
		if err != nil {
			return err
		}
		when := []statestore.Cond{{K: LeadKey}, {K: NumberKey, Stamp: v.NumberStamp}}
		_, err = e.store.Multi(ctx, statestore.Lease, when, []statestore.Write{{Set: LeadKey, V: lead, Tenure: fresh}})
		var c *statestore.Conflict
		switch {
		case errors.As(err, &c) && c.Has(NumberKey):
			return errors.New("another node has raised the term")
		case err == nil:
			e.log.Info("took the lease again", "term", v.Term)
			tenure = fresh
		default:
			// Undecided: the next renewal of the old lease fails again.
			_ = e.store.Release(ctx, fresh)
		}
	}
}
