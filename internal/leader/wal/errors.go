package wal

import "fmt"

// Errors returned by Replay. Each names a record that the head refers to. The record may
// describe a task that is still running, so the leader must not make any decision without it.
// docs/operations.md quotes these messages.

// MissingRecordError reports that a record which the head refers to does not exist.
type MissingRecordError struct{ Key string }

func (e *MissingRecordError) Error() string { return fmt.Sprintf("record %s is missing", e.Key) }

// UnreadableRecordError reports that a record can't be decoded, and why.
type UnreadableRecordError struct {
	Key string
	Err error
}

func (e *UnreadableRecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns the decoder's error.
func (e *UnreadableRecordError) Unwrap() error { return e.Err }

// MisplacedEntryError reports that a slot of the ring holds a different entry than the
// expected one: the expected entry was never written, or was overwritten.
type MisplacedEntryError struct {
	Key         string
	Found, Want uint64
}

func (e *MisplacedEntryError) Error() string {
	return fmt.Sprintf("record %s holds entry %d, not %d", e.Key, e.Found, e.Want)
}
