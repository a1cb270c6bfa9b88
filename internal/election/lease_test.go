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

// expiredLeaseStore grants one term, whose lease then has expired. If termRaised is set,
// another node has raised the term meanwhile.
type expiredLeaseStore struct {
	Store      // no other calls are expected
	termRaised bool
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
	if campaigns := len(writes) > 1; !campaigns && s.termRaised {
		return 0, &statestore.ConflictError{FailedKeys: []string{TermKey}}
	}
	return 2, nil
}

// TestLostLease: a lease that ran out is taken anew while the term stands, and
// the lead ends once another node has raised it.
func TestLostLease(t *testing.T) {
	for name, termRaised := range map[string]bool{"term stands": false, "term raised": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended, err := leadWithExpiredLease(t, termRaised)
				if ended != termRaised {
					t.Errorf("the lead was lost: %v (%v)", ended, err)
				}
			})
		})
	}
}

// leadWithExpiredLease leads for a while with a lease that has expired. It tells whether
// the election ended the term before.
func leadWithExpiredLease(t *testing.T, termRaised bool) (ended bool, err error) {
	t.Helper()
	elector := New("a", &expiredLeaseStore{termRaised: termRaised}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	led := false
	err = elector.runRound(ctx, func(ctx context.Context, grant Grant) error {
		led = true
		if grant.Term != 1 || grant.Revision != 2 {
			t.Errorf("grant %+v", grant)
		}
		select {
		case <-ctx.Done():
			ended = !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
		case <-time.After(1500 * time.Millisecond):
		}
		return ctx.Err()
	})
	if !led {
		t.Fatalf("the node has not led: %v", err)
	}
	return ended, err
}
