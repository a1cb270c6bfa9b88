package wal

import "fmt"

// The errors of Read. Each names a record that the head counts on: it may tell of a task
// that still runs, so nothing may be decided without it. docs/operations.md quotes their
// messages.

// MissingRecordError says that a record which counts does not exist.
type MissingRecordError struct{ Key string }

func (e *MissingRecordError) Error() string { return fmt.Sprintf("record %s is missing", e.Key) }

// UnreadableRecordError says that a record can't be decoded, and why.
type UnreadableRecordError struct {
	Key string
	Err error
}

func (e *UnreadableRecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap gives the decoder's error.
func (e *UnreadableRecordError) Unwrap() error { return e.Err }

// MisplacedEntryError says that a slot of the ring holds another entry than the one that
// counts: what was to be written there never was, or was written over.
type MisplacedEntryError struct {
	Key            string
	Holds, Expects uint64
}

func (e *MisplacedEntryError) Error() string {
	return fmt.Sprintf("record %s holds entry %d, not %d", e.Key, e.Holds, e.Expects)
}
