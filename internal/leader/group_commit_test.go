package leader

import (
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// testCommit makes a group commit over an empty log, without a leader.
func testCommit(t *testing.T, txnOps int) *groupCommit {
	t.Helper()
	c := newGroupCommit(slog.New(slog.DiscardHandler), func() { t.Error("a checkpoint is begun") })
	c.open(wal.NewWriter(3, wal.Limits{ValueBytes: 16 << 10, TxnOps: txnOps}, wal.Head{}, 0), txnOps)
	return &c
}

// testRecord is a job's final record that tells what became of it.
type testRecord struct {
	key                            string
	obsolete                       bool
	written, committed, conflicted int
}

// queue hands the record to the group commit, and does so again when it is to be retried.
func (r *testRecord) queue(c *groupCommit) {
	c.recordCompleted(finalRecord{
		obsolete: func() bool { return r.obsolete },
		write: func() wal.JobWrite {
			r.written++
			return wal.JobWrite{
				Conditions: []statestore.Condition{{Key: r.key, Revision: 1}},
				Writes:     []statestore.Write{{Delete: r.key}, {Put: "final/" + r.key}},
				Committed:  func(uint64) { r.committed++ },
				Conflicted: func() { r.conflicted++ },
				Retry:      func() { r.queue(c) },
			}
		},
	})
}

// TestFinalRecordsGoAlong: jobs' final records go with a transaction as far as it has room,
// in their order; what has become obsolete takes none.
func TestFinalRecordsGoAlong(t *testing.T) {
	now := time.Now()
	c := testCommit(t, opsKeptForLog+2*opsPerFinalRecord)
	records := make([]*testRecord, 5)
	for i := range records {
		records[i] = &testRecord{key: fmt.Sprint("j-", i), obsolete: i == 1}
		records[i].queue(c)
	}
	for _, want := range [][]int{{0, 2}, {3, 4}} {
		txn := c.begin(now)
		if txn == nil {
			t.Fatalf("no transaction, due at %v", c.due())
		}
		if c.begin(now) != nil {
			t.Fatal("two transactions at a time")
		}
		if outcome := c.finished(commitResult{revision: 10}, now); outcome.endTerm != "" {
			t.Fatalf("the term ends: %v", outcome.endTerm)
		}
		for _, i := range want {
			if records[i].committed != 1 {
				t.Errorf("%s did not go along", records[i].key)
			}
		}
		now = now.Add(constants.CommitInterval)
	}
	if records[1].written != 0 {
		t.Error("an obsolete record was written")
	}
	if due := c.due(); !due.IsZero() {
		t.Errorf("nothing is left, and due at %v", due)
	}
}

// TestClashingRecordLeavesTheOthers: a final record whose job its user has cancelled clashes;
// the others of its transaction are asked for anew.
func TestClashingRecordLeavesTheOthers(t *testing.T) {
	now := time.Now()
	c := testCommit(t, 20)
	cancelled, other := &testRecord{key: "j-1"}, &testRecord{key: "j-2"}
	cancelled.queue(c)
	other.queue(c)
	if c.begin(now) == nil {
		t.Fatal("no transaction")
	}
	conflict := &statestore.ConflictError{FailedKeys: []string{"j-1"}}
	outcome := c.finished(commitResult{err: conflict, conflict: conflict, head: &wal.Head{}}, now)
	if outcome.endTerm != "" || !outcome.schedule {
		t.Fatalf("%+v", outcome)
	}
	if cancelled.conflicted != 1 || other.committed != 0 {
		t.Fatalf("conflicted %d, committed %d", cancelled.conflicted, other.committed)
	}
	now = now.Add(constants.CommitInterval)
	if c.begin(now) == nil {
		t.Fatal("the other is not asked for again")
	}
	c.finished(commitResult{revision: 11}, now)
	if other.committed != 1 || cancelled.written != 1 {
		t.Errorf("committed %d, the clashing one written %d times", other.committed, cancelled.written)
	}
}

// TestUnansweredTransactionBacksOff: while the state service doesn't answer the same
// transaction is sent again, after pauses that grow up to a bound; an answer ends that. What
// comes up meanwhile goes out with the next one.
func TestUnansweredTransactionBacksOff(t *testing.T) {
	now := time.Now()
	c := testCommit(t, 20)
	record := &testRecord{key: "j-1"}
	record.queue(c)
	first := c.begin(now)
	if first == nil {
		t.Fatal("no transaction")
	}
	later := &testRecord{key: "j-2"}
	later.queue(c)
	for range 12 {
		if outcome := c.finished(commitResult{err: errors.New("no answer")}, now); outcome.schedule || outcome.endTerm != "" {
			t.Fatalf("%+v", outcome)
		}
		if c.healthy() || c.backoff > constants.MaxBackoff {
			t.Fatalf("backoff %v", c.backoff)
		}
		due := c.due()
		if pause := due.Sub(now); pause < c.backoff/2 {
			t.Fatalf("sent again after %v", pause)
		}
		if c.begin(due.Add(-time.Nanosecond)) != nil {
			t.Fatal("sent before it is due")
		}
		now = due
		if again := c.begin(now); again != first {
			t.Fatal("another transaction is sent in place of the first")
		}
	}
	if outcome := c.finished(commitResult{revision: 10}, now); !outcome.schedule || !c.healthy() {
		t.Errorf("an answer does not end it: %+v, backoff %v", outcome, c.backoff)
	}
	if record.committed != 1 || later.written != 0 {
		t.Errorf("committed %d times, the later one written %d times", record.committed, later.written)
	}
	if now = c.due(); c.begin(now) == nil {
		t.Fatal("no transaction for what came later")
	}
	c.finished(commitResult{revision: 11}, now)
	if later.committed != 1 {
		t.Errorf("the later one is committed %d times", later.committed)
	}
}

// TestOtherWriterEndsTheTerm: a clash on the term record, or on a head that this leader has
// not written, means that another node leads.
func TestOtherWriterEndsTheTerm(t *testing.T) {
	for _, key := range []string{election.TermKey, wal.HeadKey} {
		now := time.Now()
		c := testCommit(t, 20)
		(&testRecord{key: "j-1"}).queue(c)
		if c.begin(now) == nil {
			t.Fatal("no transaction")
		}
		conflict := &statestore.ConflictError{FailedKeys: []string{key}}
		result := commitResult{err: conflict}
		if key == wal.HeadKey {
			result.conflict, result.head = conflict, &wal.Head{Term: 9}
		}
		if outcome := c.finished(result, now); outcome.endTerm != ErrDeposed {
			t.Errorf("clash on %s: %+v", key, outcome)
		}
	}
}

// TestKeysGoOnceACheckpointStands: keys that a checkpoint replaces are removed once it
// stands, and not before.
func TestKeysGoOnceACheckpointStands(t *testing.T) {
	now := time.Now()
	c := testCommit(t, 20)
	c.removeAfterCheckpoint("rig/m-1", 5)
	if !c.due().IsZero() || !c.keysWaitForCheckpoint() {
		t.Fatalf("due at %v before the checkpoint", c.due())
	}
	c.checkpointCommitted()
	txn := c.begin(now)
	if txn == nil || c.keysWaitForCheckpoint() {
		t.Fatal("not removed after the checkpoint")
	}
	if last := txn.Writes[len(txn.Writes)-1]; last.Delete != "rig/m-1" {
		t.Errorf("writes %+v", txn.Writes)
	}
	c.finished(commitResult{revision: 10}, now)
	if due := c.due(); !due.IsZero() {
		t.Errorf("nothing is left, and due at %v", due)
	}
}
