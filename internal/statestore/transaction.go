package statestore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"thornnotch/internal/constants"
)

// Txn carries out all writes at once if all conditions hold, and gives the revision of
// these changes. Without writes it only compares.
//
// Nothing was written by this try if the error is a *ConflictError, ErrUnavailable,
// ErrRejected or ErrLeaseExpired; after ErrOutcomeUnknown it may have been, or may yet be.
func (c *Client) Txn(ctx context.Context, class Class, conditions []Condition, writes []Write) (revision uint64, err error) {
	if err := c.Budget.Take(ctx, class, len(writes)); err != nil {
		return 0, fmt.Errorf("transaction: %w: %w", ErrUnavailable, err)
	}
	var result txnAnswer
	request := request{
		class: class, timeout: constants.StateTimeout,
		method: http.MethodPost, path: pathTxn,
		body: txnRequest{Conditions: conditions, Writes: writes}, result: &result,
	}
	if class != ClassLease {
		request.timeout = c.txnTimeout.next()
	}
	sent := time.Now()
	answer, err := c.call(ctx, request)
	if ctx.Err() == nil { // that a caller gave up says nothing
		c.noteTxn(err, time.Since(sent))
	}
	switch {
	case err != nil:
		return 0, err
	case answer.status == http.StatusOK:
		return result.Revision, nil
	case answer.status == http.StatusConflict:
		return 0, conflictOf(request, answer)
	case answer.status == http.StatusBadRequest && bytes.Contains(answer.body, []byte(leaseExpiredMessage)):
		return 0, ErrLeaseExpired
	case answer.status == http.StatusBadRequest:
		return 0, fmt.Errorf("transaction of %d writes: %w: %.120s", len(writes), ErrRejected, answer.body)
	}
	return 0, request.unexpected(answer)
}

// noteTxn has the timeout of transactions follow how long this one took.
func (c *Client) noteTxn(err error, took time.Duration) {
	if errors.Is(err, ErrOutcomeUnknown) {
		c.txnTimeout.lost()
		return
	}
	c.txnTimeout.answered(took)
}

// conflictOf reads which conditions failed. A conflict on none makes no sense, so it proves
// nothing.
func conflictOf(request request, answer answer) error {
	var conflict conflictAnswer
	if err := json.Unmarshal(answer.body, &conflict); err != nil || len(conflict.FailedKeys) == 0 {
		return request.unexpected(answer)
	}
	return &ConflictError{FailedKeys: conflict.FailedKeys}
}
