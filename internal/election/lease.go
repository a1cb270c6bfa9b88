package election

import (
	"context"
	"errors"
	"fmt"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
)

// errTermRaised is why a term ends whose successor has begun.
var errTermRaised = errors.New("another node has raised the term")

// holdLease renews the lease while ctx lasts. It returns an error only when the term is
// known to be over. A lease that has expired is taken again as long as nobody else has
// raised the term: safety rests on the term's record, not on the lease.
func (e *Elector) holdLease(ctx context.Context, view View, lease uint64) error {
	ticker := time.NewTicker(constants.LeaseRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.releaseLease(ctx, lease)
			return nil
		case <-ticker.C:
		}
		// Any other error leaves open whether the lease was renewed: the next tick tells.
		if err := e.store.RenewLease(ctx, lease); !errors.Is(err, statestore.ErrLeaseExpired) {
			continue
		}
		retaken, err := e.retakeLease(ctx, view)
		switch {
		case err == nil:
			e.logger.Info("lease taken again", "term", view.Term)
			lease = retaken
		case errors.Is(err, errTermRaised):
			return err
		default:
			// Undecided: renewing the old lease fails again, and then this is tried again.
		}
	}
}

// retakeLease has the leader of the view named again, under a lease of its own. The error
// is errTermRaised if another node leads or did.
func (e *Elector) retakeLease(ctx context.Context, view View) (lease uint64, err error) {
	lease, err = e.store.GrantLease(ctx, constants.LeaseTTL)
	if err != nil {
		return 0, fmt.Errorf("grant a lease in place of an expired one: %w", err)
	}
	conditions, writes := view.retakeLease(lease)
	_, err = e.store.Txn(ctx, statestore.ClassLease, conditions, writes)
	if err == nil {
		return lease, nil
	}
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) && conflict.HasKey(TermKey) {
		return 0, errTermRaised
	}
	// Should the transaction have been carried out, its key goes with the lease, so that the
	// next try finds it free. If this fails too, the lease ends by itself.
	_ = e.store.RevokeLease(ctx, lease)
	return 0, fmt.Errorf("take the lease of term %d again: %w", view.Term, err)
}

// releaseLease ends the lease after an orderly end of the term, so that another node can
// lead at once. Otherwise the lease is left to expire.
func (e *Elector) releaseLease(ctx context.Context, lease uint64) {
	if !errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), constants.LeaseRenewInterval)
	defer cancel()
	_ = e.store.RevokeLease(ctx, lease) // if this fails it ends by itself
}
