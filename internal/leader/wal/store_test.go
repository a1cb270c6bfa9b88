package wal

import (
	"slices"
	"strings"
	"testing"

	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
)

// fakeStore is an in-memory state service with atomic transactions.
type fakeStore struct {
	rows      map[string]statestore.KeyValue
	revisions map[string]uint64 // revision of each key's latest change
	revision  uint64            // revision of the whole store
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]statestore.KeyValue{}, revisions: map[string]uint64{}}
}

// commit executes a transaction, or returns the keys whose conditions failed.
func (s *fakeStore) commit(conditions []statestore.Condition, writes []statestore.Write) (failed []string) {
	for _, condition := range conditions {
		if s.revisions[condition.Key] != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	s.revision++
	for _, write := range writes {
		if write.Delete != "" {
			delete(s.rows, write.Delete)
			delete(s.revisions, write.Delete)
			continue
		}
		s.rows[write.Put] = statestore.KeyValue{Key: write.Put, Value: write.Value}
		s.revisions[write.Put] = s.revision
	}
	return nil
}

// head returns the log's current head, or the zero Head if there is none.
func (s *fakeStore) head() (head Head, err error) {
	if row, ok := s.rows[HeadKey]; ok {
		err = wirejson.Decode(row.Value, &head)
	}
	return head, err
}

// allRows returns all rows of the log.
func (s *fakeStore) allRows() []statestore.KeyValue { return s.rowsWithPrefixes(Prefix) }

// failoverRows returns the rows that a failover reads: the head and everything that it refers
// to.
func (s *fakeStore) failoverRows() []statestore.KeyValue {
	head, _ := s.head() // Replay reports a damaged head
	return s.rowsWithPrefixes(append(head.Prefixes(), HeadKey)...)
}

func (s *fakeStore) rowsWithPrefixes(prefixes ...string) (rows []statestore.KeyValue) {
	for key, row := range s.rows {
		if slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) }) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b statestore.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// commitNext commits the writer's next transaction, which must observe the limits and meet
// its conditions.
func commitNext(t *testing.T, store *fakeStore, writer *Writer, jobWrites []JobWrite) {
	t.Helper()
	txn := writer.Next(jobWrites)
	if txn == nil {
		t.Fatal("no transaction to write")
	}
	if len(txn.Writes) > writer.limits.TxnOps {
		t.Fatalf("%d writes in one transaction, want at most Limits.TxnOps", len(txn.Writes))
	}
	for _, write := range txn.Writes {
		if len(write.Value) > writer.limits.ValueBytes {
			t.Fatalf("%s has %d bytes, want at most Limits.ValueBytes", write.Put, len(write.Value))
		}
	}
	if failed := store.commit(txn.Conditions, txn.Writes); failed != nil {
		t.Fatalf("conditions on %v failed", failed)
	}
	writer.OnCommitted(store.revision)
}
