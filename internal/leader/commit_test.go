package leader

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
	"thornnotch/internal/workers"
)

// TestFullTransactionSendsNextImmediately checks that changes that did not fit into a
// transaction are sent as soon as it is committed. At four operations per transaction, sending
// one every CommitInterval recorded only about 40 values a second, whatever rate the state
// service allowed, and starts on 4,000 machines waited a minute for their record. A small
// number of changes is still batched, and the loop does not spin if the remaining changes have
// become unnecessary.
func TestFullTransactionSendsNextImmediately(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	useUnavailableStore(t, l)
	l.deps.Settings.Params.State.TxnOps, l.deps.Settings.Params.State.ValueKB = constants.MinTxnOps, 1
	l.openLog(l.wal.Head(), 0)
	for i := range 100 {
		logAttemptOnNewMachine(l, i, now)
	}

	sent := 0
	for commitNextTxn(l, now); l.commits.lastTxnFull; commitNextTxn(l, now) {
		sent++
		if dueAt := l.commits.dueAt(); dueAt.After(now) {
			t.Fatalf("after transaction %d, the next one is delayed by %v", sent, dueAt.Sub(now))
		}
	}
	if sent < 3 {
		t.Errorf("all changes fit into %d transactions, want at least 4", sent+1)
	}
	if dueAt := l.commits.dueAt(); !dueAt.IsZero() {
		t.Errorf("nothing is pending, but a transaction is due at %v", dueAt)
	}

	logAttemptOnNewMachine(l, 200, now)
	if dueAt := l.commits.dueAt(); !dueAt.Equal(now.Add(constants.CommitInterval)) {
		t.Errorf("a single change is delayed by %v, want CommitInterval", dueAt.Sub(now))
	}
	commitNextTxn(l, now)
	l.commits.lastTxnFull = true // the remaining changes have become unnecessary
	if l.commit(now); l.commits.lastTxnFull || !l.commits.dueAt().IsZero() {
		t.Error("a transaction is due although nothing is pending")
	}
}

// logAttemptOnNewMachine logs an attempt on a new machine.
func logAttemptOnNewMachine(l *Leader, index int, now time.Time) {
	machine := addMachine(l, fmt.Sprintf("m-%04d", index), "east", now)
	attempt := &workers.Attempt{
		ID:    workers.AttemptID{Task: workers.TaskID{Job: "j-1", Index: index}, Number: uint64(index)},
		Epoch: 1, PlacedAt: now,
	}
	machine.worker.Attempts[attempt.ID] = attempt
	l.logAttempt(machine, attempt)
}

// commitNextTxn executes the next transaction, as Run's goroutines would.
func commitNextTxn(l *Leader, now time.Time) {
	l.commits.lastSentAt = now
	if l.commits.next() != nil {
		l.commits.setLastTxnFull(l.commits.hasRemaining(), now)
		l.applyCommitResult(commitResult{revision: 1})
	}
}

// TestUnansweredTransactionIsResolvedByHead checks that a transaction that got no answer is
// sent again unchanged. If the retry conflicts, the log's head shows whether the transaction
// had been executed the first time.
func TestUnansweredTransactionIsResolvedByHead(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	machine := addMachine(l, "m-1", "east", now)
	addJob(t, l, arraySpec("j-1", 1), now)
	l.runSchedulingPass(now)
	first := l.commits.next()
	l.applyCommitResult(commitResult{err: fmt.Errorf("no answer")})
	if l.commits.backoff == 0 || len(machine.worker.Commands(true, now)) != 0 {
		t.Fatalf("a transaction without an answer is treated as committed")
	}
	if again := l.commits.next(); again != first {
		t.Fatalf("retry sends a different transaction")
	}
	var head wal.Head
	if err := wirejson.Decode(first.Writes[0].Value, &head); err != nil || first.Writes[0].Put != wal.HeadKey {
		t.Fatalf("writes %+v: %v", first.Writes, err)
	}
	headConflict := &statestore.ConflictError{FailedKeys: []string{wal.HeadKey}}
	l.applyCommitResult(commitResult{err: headConflict, conflict: headConflict, head: &head, headRevision: 55})
	if l.term.err() != nil || len(machine.worker.Commands(true, now)) != 1 {
		t.Fatalf("the transaction was executed the first time, but the start command is not sent (term error: %v)", l.term.err())
	}
	addJob(t, l, arraySpec("j-2", 1), now)
	l.runSchedulingPass(now)
	if next := l.commits.next(); next.Conditions[0].Revision != 55 {
		t.Errorf("the next transaction has conditions %+v, want revision 55 of the head", next.Conditions)
	}
	// A head that this leader did not write means that another node writes the log.
	l.applyCommitResult(commitResult{err: headConflict, conflict: headConflict, head: &wal.Head{Term: 9}, headRevision: 60})
	if l.term.err() == nil {
		t.Errorf("the term continues although another node writes the log")
	}
}

// TestLargeJobStaysWithinStoreLimits checks that a nearly completed job of the maximum size
// keeps every value and transaction within the state service's limits.
func TestLargeJobStaysWithinStoreLimits(t *testing.T) {
	const valueKB, txnOps = 8, 4
	now := time.Now()
	l := testLeader(t)
	l.deps.Settings.Params.State.ValueKB, l.deps.Settings.Params.State.TxnOps = valueKB, txnOps
	l.openLog(wal.Head{}, 0)
	for i := range 3 {
		addMachine(l, fmt.Sprint("m-", i), "east", now)
	}
	spec := arraySpec("j-00000000000000000001", constants.MaxTasks)
	spec.CPUs, spec.GPUs, spec.MemoryGB = 0.01, 0, 0.01
	job := addJob(t, l, spec, now)
	for i := range spec.Tasks - 300 {
		job.progress.complete(i)
	}
	job.stale = true
	l.runSchedulingPass(now)
	commitWithinLimits(t, l, valueKB<<10, txnOps)

	l.beginCheckpoint()
	if parts := commitWithinLimits(t, l, valueKB<<10, txnOps); parts < 3 || l.wal.Checkpointing() {
		t.Errorf("checkpoint incomplete after %d parts", parts)
	}

	for i := range spec.Tasks {
		job.progress.complete(i)
	}
	l.checkComplete(job)
	commitWithinLimits(t, l, valueKB<<10, txnOps)
	if l.jobs.get(spec.ID) != nil {
		t.Errorf("the completed job is still open")
	}
}

// commitWithinLimits executes all pending transactions, and fails if one exceeds the state
// service's limits. It returns the number of their operations, not counting writes of the
// log's head.
func commitWithinLimits(t *testing.T, l *Leader, valueBytes, txnOps int) (ops int) {
	t.Helper()
	for txn := l.commits.next(); txn != nil; txn = l.commits.next() {
		if len(txn.Writes) > txnOps {
			t.Fatalf("transaction has %d operations", len(txn.Writes))
		}
		ops += len(txn.Writes) - 1
		for _, write := range txn.Writes {
			if len(write.Value) > valueBytes {
				t.Fatalf("value of %s has %d bytes", write.Put, len(write.Value))
			}
		}
		l.applyCommitResult(commitResult{revision: uint64(1000 + ops)})
	}
	return ops
}

// newerTermStore is a state service on which another node has started a newer term, but not
// yet written to the log.
type newerTermStore struct {
	Store
	writeCount int
}

func (s *newerTermStore) Txn(_ context.Context, _ statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error) {
	for _, c := range conditions {
		if c.Key == election.TermKey {
			return 0, &statestore.ConflictError{FailedKeys: []string{c.Key}} // the term record has another revision
		}
	}
	s.writeCount += len(writes)
	return 99, nil
}

// TestDeposedLeaderWritesNothing checks that a deposed leader's transactions are refused even
// before its successor, which has already read the log, writes to it. The condition on the
// log's head alone would let them through, and the successor would not know of the attempt
// that they record.
func TestDeposedLeaderWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		l := testLeader(t)
		store := &newerTermStore{}
		l.deps.Store = store
		addMachine(l, "m-1", "east", now)
		addJob(t, l, arraySpec("j-1", 1), now)
		l.runSchedulingPass(now)
		l.commit(now.Add(time.Second))
		runNextEvent(t, l)
		if store.writeCount != 0 || !errors.Is(l.term.err(), ErrDeposed) {
			t.Errorf("%d writes, term ended: %v, want no writes and ErrDeposed", store.writeCount, l.term.err())
		}
	})
}

// TestRejectedTransactionEndsTerm checks that a transaction that the state service rejects as
// too large is not retried forever: the term ends, so that a copy still in flight can no
// longer be executed.
func TestRejectedTransactionEndsTerm(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	addMachine(l, "m-1", "east", now)
	addJob(t, l, arraySpec("j-1", 1), now)
	l.runSchedulingPass(now)
	if l.commits.next() == nil {
		t.Fatal("no transaction to send")
	}
	l.applyCommitResult(commitResult{err: fmt.Errorf("multi: %w", statestore.ErrRejected)})
	if !errors.Is(l.term.err(), ErrTxnTooLarge) {
		t.Errorf("term ended: %v, want ErrTxnTooLarge", l.term.err())
	}
}
