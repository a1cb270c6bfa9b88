package leader

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson/wirejsontest"
)

// recordStore is a loopStore that holds further records.
type recordStore struct {
	*loopStore
	records map[string]json.RawMessage
}

func (s *recordStore) Get(_ context.Context, _ statestore.Class, key string) (statestore.KeyValue, bool, error) {
	value, found := s.records[key]
	return statestore.KeyValue{Key: key, Value: value, Revision: 12}, found, nil
}

// TestLogHeadIgnoresFieldsOfOtherCase guards against a head of the log taken from unknown fields of its
// record, in a failover and after a conflict.
func TestLogHeadIgnoresFieldsOfOtherCase(t *testing.T) {
	head := wirejsontest.AddCaseVariants(t, []byte(`{"term":3,"turn":9,"from":7,"next":8,"area":"a","parts":1}`))
	l := testLeader(t)
	l.deps.Store = &recordStore{newLoopStore(), map[string]json.RawMessage{wal.HeadKey: head}}
	if rows, err := l.readLogRows(t.Context(), statestore.KeyValue{Key: wal.HeadKey, Value: head}); err != nil || len(rows) != 1 {
		t.Errorf("failover: got %d rows, error %v, want the head only", len(rows), err)
	}
	result := l.resolveConflict(t.Context(), &statestore.ConflictError{FailedKeys: []string{wal.HeadKey}})
	if want := (wal.Head{Term: 3, TxnSeq: 9, From: 7, Next: 8, Area: "a", Parts: 1}); result.head == nil || *result.head != want || result.headRevision != 12 {
		t.Errorf("conflict: got %+v at revision %d, error %v, want %+v", result.head, result.headRevision, result.err, want)
	}
}

// TestUpstreamEndIgnoresFieldsOfOtherCase guards against a job that is cancelled or waits forever because the
// end of the job that it depends on is taken from unknown fields of the final record.
func TestUpstreamEndIgnoresFieldsOfOtherCase(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	final := wirejsontest.AddCaseVariants(t, []byte(`{"status":"done","pieces":1,"atMs":5}`))
	l.deps.Store = &recordStore{newLoopStore(), map[string]json.RawMessage{jobs.FinalPrefix + "j-1": final}}
	spec := arraySpec("j-2", 1)
	spec.DependsOn = []string{"j-1"}
	dependent := addJob(t, l, spec, now)
	if !dependent.upstreams.blocked() {
		t.Fatal("the job does not wait for the other one")
	}
	l.readFinal("j-1")
	read := l.calls.queued[len(l.calls.queued)-1]
	read(t.Context())()
	if dependent.removed || dependent.upstreams.blocked() {
		t.Errorf("the job was cancelled: %v, still waits: %v", dependent.removed, dependent.upstreams.blocked())
	}
}
