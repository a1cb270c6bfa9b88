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

// newTestGroupCommit returns a groupCommit with an empty log, without a leader.
func newTestGroupCommit(t *testing.T, txnOps int) *groupCommit {
	t.Helper()
	c := newGroupCommit(slog.New(slog.DiscardHandler), func() { t.Error("unexpected checkpoint") })
	c.setLog(wal.NewWriter(3, wal.Limits{ValueBytes: 16 << 10, TxnOps: txnOps}, wal.Head{}, 0), txnOps)
	return &c
}

// testFinalRecord is a job's final record that counts its writes and their outcomes.
type testFinalRecord struct {
	key                            string
	obsolete                       bool
	written, committed, conflicted int
}

// queue adds the record to the group commit, and adds it again when it must be retried.
func (r *testFinalRecord) queue(c *groupCommit) {
	c.queueCompleted(finalRecord{
		obsolete: func() bool { return r.obsolete },
		write: func() wal.JobWrite {
			r.written++
			return wal.JobWrite{
				Conditions:  []statestore.Condition{{Key: r.key, Revision: 1}},
				Writes:      []statestore.Write{{Delete: r.key}, {Put: "final/" + r.key}},
				OnCommitted: func(uint64) { r.committed++ },
				OnConflict:  func() { r.conflicted++ },
				OnRetry:     func() { r.queue(c) },
			}
		},
	})
}

// TestFinalRecordsShareTransactions checks that each transaction includes final records in
// order, as many as fit, and that obsolete ones take no space.
func TestFinalRecordsShareTransactions(t *testing.T) {
	now := time.Now()
	c := newTestGroupCommit(t, opsReservedForLog+2*opsPerFinalRecord)
	records := make([]*testFinalRecord, 5)
	for i := range records {
		records[i] = &testFinalRecord{key: fmt.Sprint("j-", i), obsolete: i == 1}
		records[i].queue(c)
	}
	for _, want := range [][]int{{0, 2}, {3, 4}} {
		txn := c.beginTxn(now)
		if txn == nil {
			t.Fatalf("no transaction, due at %v", c.dueAt())
		}
		if c.beginTxn(now) != nil {
			t.Fatal("second transaction started while one is in flight")
		}
		if outcome := c.finishTxn(commitResult{revision: 10}, now); outcome.endReason != "" {
			t.Fatalf("unexpected end of term: %v", outcome.endReason)
		}
		for _, i := range want {
			if records[i].committed != 1 {
				t.Errorf("%s was not committed", records[i].key)
			}
		}
		now = now.Add(constants.CommitInterval)
	}
	if records[1].written != 0 {
		t.Error("obsolete record was written")
	}
	if dueAt := c.dueAt(); !dueAt.IsZero() {
		t.Errorf("nothing is pending, but a transaction is due at %v", dueAt)
	}
}

// TestConflictingFinalRecordDoesNotBlockOthers checks that if a final record conflicts,
// because its job's user has cancelled the job, the other records of the transaction are sent
// again.
func TestConflictingFinalRecordDoesNotBlockOthers(t *testing.T) {
	now := time.Now()
	c := newTestGroupCommit(t, 20)
	cancelled, other := &testFinalRecord{key: "j-1"}, &testFinalRecord{key: "j-2"}
	cancelled.queue(c)
	other.queue(c)
	if c.beginTxn(now) == nil {
		t.Fatal("no transaction")
	}
	conflict := &statestore.ConflictError{FailedKeys: []string{"j-1"}}
	outcome := c.finishTxn(commitResult{err: conflict, conflict: conflict, head: &wal.Head{}}, now)
	if outcome.endReason != "" || !outcome.requestPass {
		t.Fatalf("unexpected outcome %+v", outcome)
	}
	if cancelled.conflicted != 1 || other.committed != 0 {
		t.Fatalf("cancelled job's record conflicted %d times, the other was committed %d times", cancelled.conflicted, other.committed)
	}
	now = now.Add(constants.CommitInterval)
	if c.beginTxn(now) == nil {
		t.Fatal("the other record is not sent again")
	}
	c.finishTxn(commitResult{revision: 11}, now)
	if other.committed != 1 || cancelled.written != 1 {
		t.Errorf("the other record was committed %d times, the conflicting one written %d times", other.committed, cancelled.written)
	}
}

// TestUnansweredTransactionBacksOff checks that while the state service does not answer, the
// same transaction is sent again after growing, bounded delays. An answer resets the delay.
// Later changes wait for the next transaction.
func TestUnansweredTransactionBacksOff(t *testing.T) {
	now := time.Now()
	c := newTestGroupCommit(t, 20)
	record := &testFinalRecord{key: "j-1"}
	record.queue(c)
	first := c.beginTxn(now)
	if first == nil {
		t.Fatal("no transaction")
	}
	later := &testFinalRecord{key: "j-2"}
	later.queue(c)
	for range 12 {
		if outcome := c.finishTxn(commitResult{err: errors.New("no answer")}, now); outcome.requestPass || outcome.endReason != "" {
			t.Fatalf("unexpected outcome %+v", outcome)
		}
		if c.healthy() || c.backoff > constants.MaxStateBackoff {
			t.Fatalf("backoff %v", c.backoff)
		}
		dueAt := c.dueAt()
		if pause := dueAt.Sub(now); pause < c.backoff/2 {
			t.Fatalf("retried after only %v", pause)
		}
		if c.beginTxn(dueAt.Add(-time.Nanosecond)) != nil {
			t.Fatal("sent before it was due")
		}
		now = dueAt
		if again := c.beginTxn(now); again != first {
			t.Fatal("retry sends a different transaction")
		}
	}
	if outcome := c.finishTxn(commitResult{revision: 10}, now); !outcome.requestPass || !c.healthy() {
		t.Errorf("an answer does not end the backoff: outcome %+v, backoff %v", outcome, c.backoff)
	}
	if record.committed != 1 || later.written != 0 {
		t.Errorf("first record committed %d times, later one written %d times", record.committed, later.written)
	}
	if now = c.dueAt(); c.beginTxn(now) == nil {
		t.Fatal("no transaction for the later record")
	}
	c.finishTxn(commitResult{revision: 11}, now)
	if later.committed != 1 {
		t.Errorf("later record committed %d times", later.committed)
	}
}

// TestConflictWithOtherLeaderEndsTerm checks that a conflict on the term record, or on a log
// head that this leader did not write, means that another node leads.
func TestConflictWithOtherLeaderEndsTerm(t *testing.T) {
	for _, key := range []string{election.TermKey, wal.HeadKey} {
		now := time.Now()
		c := newTestGroupCommit(t, 20)
		(&testFinalRecord{key: "j-1"}).queue(c)
		if c.beginTxn(now) == nil {
			t.Fatal("no transaction")
		}
		conflict := &statestore.ConflictError{FailedKeys: []string{key}}
		result := commitResult{err: conflict}
		if key == wal.HeadKey {
			result.conflict, result.head = conflict, &wal.Head{Term: 9}
		}
		if outcome := c.finishTxn(result, now); outcome.endReason != ErrDeposed {
			t.Errorf("conflict on %s: outcome %+v", key, outcome)
		}
	}
}

// TestReplacedKeysAreDeletedAfterCheckpoint checks that keys replaced by a checkpoint are
// deleted once it is committed, not before.
func TestReplacedKeysAreDeletedAfterCheckpoint(t *testing.T) {
	now := time.Now()
	c := newTestGroupCommit(t, 20)
	c.deleteAfterCheckpoint("rig/m-1", 5)
	if !c.dueAt().IsZero() || !c.hasReplacedKeys() {
		t.Fatalf("due at %v before the checkpoint", c.dueAt())
	}
	c.checkpointCommitted()
	txn := c.beginTxn(now)
	if txn == nil || c.hasReplacedKeys() {
		t.Fatal("replaced key is not deleted after the checkpoint")
	}
	if last := txn.Writes[len(txn.Writes)-1]; last.Delete != "rig/m-1" {
		t.Errorf("writes %+v, want the deletion of rig/m-1 last", txn.Writes)
	}
	c.finishTxn(commitResult{revision: 10}, now)
	if dueAt := c.dueAt(); !dueAt.IsZero() {
		t.Errorf("nothing is pending, but a transaction is due at %v", dueAt)
	}
}
