package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/wirejson"
)

// Txn atomically executes all writes if all conditions hold, and returns the revision of the
// changes. Without writes it only checks the conditions.
//
// This attempt has written nothing if the error is a *ConflictError, ErrUnavailable,
// ErrRejected or ErrLeaseExpired. After ErrOutcomeUnknown the transaction may have been
// executed, or may be executed later.
func (c *Client) Txn(ctx context.Context, class Class, conditions []Condition, writes []Write) (revision uint64, err error) {
	if err := c.Budget.Take(ctx, class, len(writes)); err != nil {
		return 0, fmt.Errorf("execute transaction: wait for request budget: %w: %w", ErrUnavailable, err)
	}
	var result txnResponse
	request := request{
		class: class, timeout: constants.StateTimeout,
		method: http.MethodPost, path: pathTxn,
		body: txnRequest{Conditions: conditions, Writes: writes}, result: &result,
	}
	if class != ClassLease {
		request.timeout = c.txnTimeout.next()
	}
	start := time.Now()
	response, err := c.call(ctx, request)
	if ctx.Err() == nil { // a call that the caller cancelled says nothing about the latency
		c.adjustTxnTimeout(err, time.Since(start))
	}
	switch {
	case err != nil:
		return 0, err
	case response.status == http.StatusOK:
		return result.Revision, nil
	case response.status == http.StatusConflict:
		return 0, decodeConflict(request, response)
	case response.status == http.StatusBadRequest && namesExpiredLease(response):
		return 0, ErrLeaseExpired
	case response.status == http.StatusBadRequest:
		return 0, fmt.Errorf("execute transaction with %d writes: %w: %.120s", len(writes), ErrRejected, response.body)
	}
	return 0, request.unexpectedResponseError(response)
}

// adjustTxnTimeout adapts the transaction timeout to the outcome and duration of a
// transaction.
func (c *Client) adjustTxnTimeout(err error, elapsed time.Duration) {
	if errors.Is(err, ErrOutcomeUnknown) {
		c.txnTimeout.recordTimeout()
		return
	}
	c.txnTimeout.recordResponse(elapsed)
}

// decodeConflict returns a *ConflictError with the keys in the response. A response without
// keys violates the protocol and leaves the outcome unknown.
func decodeConflict(request request, response response) error {
	var conflict conflictResponse
	if err := wirejson.Decode(response.body, &conflict); err != nil || len(conflict.FailedKeys) == 0 {
		return request.unexpectedResponseError(response)
	}
	return &ConflictError{FailedKeys: conflict.FailedKeys}
}

// namesExpiredLease reports whether the error in a response is that the transaction's lease has ended.
func namesExpiredLease(response response) bool {
	var body errorResponse
	err := wirejson.Decode(response.body, &body)
	return err == nil && strings.Contains(body.Error, leaseExpiredMessage)
}
