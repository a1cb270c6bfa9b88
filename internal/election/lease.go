package election

import (
	"context"
	"errors"
	"fmt"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
)

// errTermSuperseded ends a term once another node has started a newer one.
var errTermSuperseded = errors.New("another node has started a newer term")

// holdLease renews the lease until ctx ends. It returns an error only if the term is known to
// be over. An expired lease is replaced as long as no other node has started a newer term,
// because safety depends on the term's record and not on the lease.
func (e *Elector) holdLease(ctx context.Context, view View, lease uint64) error {
	ticker := time.NewTicker(constants.LeaderLeaseRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.releaseLease(ctx, lease)
			return nil
		case <-ticker.C:
		}
		// After any error but ErrLeaseExpired the lease may or may not have been renewed; the
		// next tick shows which.
		if err := e.store.RenewLease(ctx, lease); !errors.Is(err, statestore.ErrLeaseExpired) {
			continue
		}
		reacquired, err := e.reacquireLease(ctx, view)
		switch {
		case err == nil:
			e.logger.Info("leader lease reacquired", "term", view.Term)
			lease = reacquired
		case errors.Is(err, errTermSuperseded):
			return err
		default:
			// The attempt failed or its outcome is unknown. Renewing the old lease fails
			// again at the next tick, which then retries the replacement.
		}
	}
}

// reacquireLease grants a new lease, writes the leader record of the view again under it, and
// returns the lease. The error is errTermSuperseded if another node has started a newer term.
func (e *Elector) reacquireLease(ctx context.Context, view View) (lease uint64, err error) {
	lease, err = e.store.GrantLease(ctx, constants.LeaderLeaseTTL)
	if err != nil {
		return 0, fmt.Errorf("grant replacement for expired lease: %w", err)
	}
	conditions, writes := view.reacquireLease(lease)
	_, err = e.store.Txn(ctx, statestore.ClassLease, conditions, writes)
	if err == nil {
		return lease, nil
	}
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) && conflict.HasKey(TermKey) {
		return 0, errTermSuperseded
	}
	// If the transaction was executed after all, revoking the lease removes the key, so
	// that the next attempt finds it free. If revoking fails too, the lease expires by
	// itself.
	_ = e.store.RevokeLease(ctx, lease)
	return 0, fmt.Errorf("reacquire leader lease for term %d: %w", view.Term, err)
}

// releaseLease revokes the lease after an orderly end of the term, so that another node can
// lead at once. After any other end the lease is left to expire.
func (e *Elector) releaseLease(ctx context.Context, lease uint64) {
	if !errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), constants.LeaderLeaseRenewInterval)
	defer cancel()
	_ = e.store.RevokeLease(ctx, lease) // expires by itself if this fails
}
