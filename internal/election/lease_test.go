package election

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/statestore"
)

// expiredLeaseStore grants one term whose lease then counts as expired. If termSuperseded is
// set, another node has started a newer term in the meantime.
type expiredLeaseStore struct {
	Store          // no other methods are expected to be called
	termSuperseded bool
}

func (s *expiredLeaseStore) List(context.Context, statestore.Class, string) ([]statestore.KeyValue, uint64, error) {
	return nil, 1, nil
}

func (s *expiredLeaseStore) GrantLease(context.Context, time.Duration) (uint64, error) { return 1, nil }

func (s *expiredLeaseStore) RevokeLease(context.Context, uint64) error { return nil }

func (s *expiredLeaseStore) RenewLease(context.Context, uint64) error {
	return statestore.ErrLeaseExpired
}

func (s *expiredLeaseStore) Txn(_ context.Context, _ statestore.Class, _ []statestore.Condition, writes []statestore.Write) (uint64, error) {
	if isCampaign := len(writes) > 1; !isCampaign && s.termSuperseded {
		return 0, &statestore.ConflictError{FailedKeys: []string{TermKey}}
	}
	return 2, nil
}

// TestExpiredLeaseIsReplaced checks that an expired lease is replaced while the term is the
// newest one, and that the leader stops leading once another node has started a newer term.
func TestExpiredLeaseIsReplaced(t *testing.T) {
	for name, termSuperseded := range map[string]bool{"term current": false, "term superseded": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended, err := leadWithExpiredLease(t, termSuperseded)
				if ended != termSuperseded {
					t.Errorf("term ended early: %v (%v)", ended, err)
				}
			})
		})
	}
}

// leadWithExpiredLease leads for a while with a lease that has expired. It reports whether
// the election ended the term before that time was up.
func leadWithExpiredLease(t *testing.T, termSuperseded bool) (ended bool, err error) {
	t.Helper()
	elector := New("a", &expiredLeaseStore{termSuperseded: termSuperseded}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	led := false
	err = elector.runRound(ctx, func(ctx context.Context, grant Grant) error {
		led = true
		if grant.Term != 1 || grant.Revision != 2 {
			t.Errorf("grant %+v, want term 1 and revision 2", grant)
		}
		select {
		case <-ctx.Done():
			ended = !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
		case <-time.After(1500 * time.Millisecond):
		}
		return ctx.Err()
	})
	if !led {
		t.Fatalf("the node never led: %v", err)
	}
	return ended, err
}
