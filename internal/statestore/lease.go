package statestore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"thornnotch/internal/constants"
)

// GrantLease makes a lease that ends when it has not been renewed for ttl. After
// ErrOutcomeUnknown there may be one that nobody knows of; it ends by itself.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error) {
	if err := c.Budget.Take(ctx, ClassLease, 0); err != nil {
		return 0, fmt.Errorf("grant a lease: %w: %w", ErrUnavailable, err)
	}
	var result leaseAnswer
	request := request{
		class: ClassLease, timeout: constants.StateTimeout,
		method: http.MethodPost, path: pathLeases,
		body: leaseRequest{TTLMS: ttl.Milliseconds()}, result: &result,
	}
	answer, err := c.call(ctx, request)
	if err != nil {
		return 0, err
	}
	if answer.status != http.StatusOK || result.Lease == 0 {
		return 0, request.unexpected(answer)
	}
	return result.Lease, nil
}

// RenewLease gives a lease its full time again. ErrLeaseExpired means that it has ended.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	if err := c.Budget.Take(ctx, ClassLease, 0); err != nil {
		return fmt.Errorf("renew lease %d: %w: %w", lease, ErrUnavailable, err)
	}
	request := request{
		class: ClassLease, timeout: constants.LeaseRenewInterval, // then the next one is due
		method: http.MethodPost, path: leasePath(lease) + pathRenew,
	}
	answer, err := c.call(ctx, request)
	switch {
	case err != nil:
		return err
	case answer.status == http.StatusOK:
		return nil
	case answer.status == http.StatusNotFound:
		return ErrLeaseExpired
	}
	return request.unexpected(answer)
}

// RevokeLease ends a lease at once, as on an orderly shutdown, and with it the keys that
// are attached to it. It draws on no budget, as whoever shuts down must not wait. Whatever
// the answer, the lease has ended or ends by itself: an error only means that this may
// take its full time.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	_, err := c.call(ctx, request{
		class: ClassLease, timeout: constants.StateTimeout,
		method: http.MethodDelete, path: leasePath(lease),
	})
	return err
}

func leasePath(lease uint64) string { return fmt.Sprintf("%s/%d", pathLeases, lease) }
