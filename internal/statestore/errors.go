package statestore

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrUnavailable means that the request was not executed and never will be: the
	// service refused it (503 or 429), or it was not sent because the budget was exhausted.
	// An earlier attempt of the same transaction may still be executed.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrOutcomeUnknown means that there was no valid response. The request may have been
	// executed, or may be executed at any later time. A caller that needs the outcome must
	// read the keys or send the same transaction again. If its conditions then fail, the
	// revisions of the keys show whether an earlier attempt changed them.
	ErrOutcomeUnknown = errors.New("state service request outcome unknown")
	// ErrRejected means that the service considers the request invalid (400) and has not
	// executed it: the transaction exceeds the service's current size limits.
	ErrRejected = errors.New("state service rejected the request")
	// ErrLeaseExpired means that the lease has ended and the keys attached to it have been
	// deleted. A transaction that refers to it has written nothing.
	ErrLeaseExpired = errors.New("state service lease expired")
	// ErrCompacted means that the service no longer has all changes since the start revision
	// of a watch. The keys must be listed again.
	ErrCompacted = errors.New("watch start revision compacted")
)

// ConflictError means that conditions of a transaction did not hold. This attempt has written
// nothing and never will. If an earlier attempt of the same transaction had an unknown
// outcome, the conditions may have failed because that attempt was executed.
type ConflictError struct {
	// FailedKeys contains the keys whose conditions did not hold.
	FailedKeys []string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction conditions failed on keys %v", e.FailedKeys)
}

// HasKey reports whether the condition on key failed.
func (e *ConflictError) HasKey(key string) bool { return slices.Contains(e.FailedKeys, key) }

// notExecuted reports whether an HTTP status guarantees that the request was not executed.
func notExecuted(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
