package statestore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"thornnotch/internal/constants"
)

// GrantLease creates a lease that expires when it has not been renewed for ttl. After
// ErrOutcomeUnknown a lease may exist whose ID was lost; it expires after ttl.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error) {
	if err := c.Budget.Take(ctx, ClassLease, 0); err != nil {
		return 0, fmt.Errorf("grant lease: wait for request budget: %w: %w", ErrUnavailable, err)
	}
	var result leaseResponse
	request := request{
		class: ClassLease, timeout: constants.StateTimeout,
		method: http.MethodPost, path: pathLeases,
		body: leaseRequest{TTLMS: ttl.Milliseconds()}, result: &result,
	}
	response, err := c.call(ctx, request)
	if err != nil {
		return 0, err
	}
	if response.status != http.StatusOK || result.Lease == 0 {
		return 0, request.unexpectedResponseError(response)
	}
	return result.Lease, nil
}

// RenewLease extends a lease by its full TTL. It returns ErrLeaseExpired if the lease has
// ended.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	if err := c.Budget.Take(ctx, ClassLease, 0); err != nil {
		return fmt.Errorf("renew lease %d: wait for request budget: %w: %w", lease, ErrUnavailable, err)
	}
	request := request{
		class: ClassLease, timeout: constants.LeaderLeaseRenewInterval, // by then the next renewal is due
		method: http.MethodPost, path: leasePath(lease) + pathRenew,
	}
	response, err := c.call(ctx, request)
	switch {
	case err != nil:
		return err
	case response.status == http.StatusOK:
		return nil
	case response.status == http.StatusNotFound:
		return ErrLeaseExpired
	}
	return request.unexpectedResponseError(response)
}

// RevokeLease ends a lease immediately, for example on shutdown, and deletes the keys that
// are attached to it. It takes no tokens from the budget, so that a shutdown never waits.
// After an error the lease may last until its TTL expires.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	_, err := c.call(ctx, request{
		class: ClassLease, timeout: constants.StateTimeout,
		method: http.MethodDelete, path: leasePath(lease),
	})
	return err
}

func leasePath(lease uint64) string { return fmt.Sprintf("%s/%d", pathLeases, lease) }
