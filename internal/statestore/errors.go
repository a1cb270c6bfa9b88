package statestore

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
)

// Errors that callers tell apart, with errors.Is.
var (
	// ErrUnavailable means that the request was not executed and never will be: the
	// service refused it (503 or 429), or it was not sent for want of budget. Nothing was
	// written by it; an earlier try of the same transaction may still be executed.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrOutcomeUnknown means that there was no usable answer. The request may have been
	// executed, or may yet be, any time later. Whoever needs to know must read what it
	// writes, or send the same transaction again: if its conditions have since failed, the
	// keys' revisions tell whether it was this transaction that changed them.
	ErrOutcomeUnknown = errors.New("state service gave no answer")
	// ErrRejected means that the service does not take such a request (400) and has not
	// executed it: a transaction is larger than the limits that hold now.
	ErrRejected = errors.New("state service refuses the request")
	// ErrLeaseExpired means that the lease has ended, and with it the keys that were
	// attached to it. A transaction that names it has written nothing.
	ErrLeaseExpired = errors.New("no such lease")
	// ErrCompacted means that the service no longer has the changes from a watch's start
	// on: the keys must be read again.
	ErrCompacted = errors.New("watch start too old")
)

// ConflictError reports that conditions of a transaction did not hold. This try has written
// nothing and never will; but if an earlier try of the same transaction had no answer, the
// conditions may have failed because that one was carried out.
type ConflictError struct {
	// FailedKeys are the keys whose conditions did not hold.
	FailedKeys []string
}

func (e *ConflictError) Error() string { return fmt.Sprintf("conflict on %v", e.FailedKeys) }

// HasKey reports whether the condition on key failed.
func (e *ConflictError) HasKey(key string) bool { return slices.Contains(e.FailedKeys, key) }

// notExecuted reports whether a status says that the request was not executed.
func notExecuted(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
