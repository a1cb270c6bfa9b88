package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// TestFullTransactionsFollowAtOnce: what had no room in a transaction goes out as soon
// as that one stands. With four changes a transaction, one every CommitInterval recorded
// some 40 values a second, whatever rate the state service allowed: starts of 4,000
// machines waited a minute for their record. Little is gathered as before, and the
// loop does not spin when what was left has become needless.
func TestFullTransactionsFollowAtOnce(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	offline(t, l)
	l.deps.Settings.Params.State.TxnOps, l.deps.Settings.Params.State.ValueKB = constants.MinTxnOps, 1
	l.openLog(l.wal.Head(), 0)
	for i := range 100 {
		logAttemptOn(l, i, now)
	}

	sent := 0
	for commitNext(l, now); l.commits.hasMore; commitNext(l, now) {
		sent++
		if due := l.commits.due(); due.After(now) {
			t.Fatalf("transaction %d: the next waits for %v", sent, due.Sub(now))
		}
	}
	if sent < 3 {
		t.Errorf("all went into %d transactions", sent+1)
	}
	if due := l.commits.due(); !due.IsZero() {
		t.Errorf("nothing is left, and due at %v", due)
	}

	logAttemptOn(l, 200, now)
	if due := l.commits.due(); !due.Equal(now.Add(constants.CommitInterval)) {
		t.Errorf("little waits for %v", due.Sub(now))
	}
	commitNext(l, now)
	l.commits.hasMore = true // what had remained has become needless
	if l.commit(now); l.commits.hasMore || !l.commits.due().IsZero() {
		t.Error("the loop would spin")
	}
}

// logAttemptOn has an attempt on a machine of its own recorded.
func logAttemptOn(l *Leader, index int, now time.Time) {
	machine := addMachine(l, fmt.Sprintf("m-%04d", index), "east", now)
	attempt := &workers.Attempt{
		ID:    workers.AttemptID{Task: workers.TaskID{Job: "j-1", Index: index}, Number: uint64(index)},
		Epoch: 1, PlacedAt: now,
	}
	machine.agent.Attempts[attempt.ID] = attempt
	l.logAttempt(machine, attempt)
}

// commitNext has the next transaction sent and carried out, as Run's goroutines would.
func commitNext(l *Leader, now time.Time) {
	l.commits.lastCommitAt = now
	if l.commits.next() != nil {
		l.commits.setMore(l.commits.hasRemaining(), now)
		l.committed(commitResult{revision: 1})
	}
}

// TestLateTransactionConflicts: a transaction without an answer is sent again as it
// was; when it clashes, the head tells that the first try was carried out.
func TestLateTransactionConflicts(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	machine := addMachine(l, "m-1", "east", now)
	addJob(t, l, arraySpec("j-1", 1), now)
	l.runSchedulingPass(now)
	first := l.commits.next()
	l.committed(commitResult{err: fmt.Errorf("no answer")})
	if l.commits.backoff == 0 || len(machine.agent.Commands(true, now)) != 0 {
		t.Fatalf("an unknown outcome counts as success")
	}
	if again := l.commits.next(); again != first {
		t.Fatalf("another transaction is sent in place of the first")
	}
	var head wal.Head
	if err := json.Unmarshal(first.Writes[0].Value, &head); err != nil || first.Writes[0].Put != wal.HeadKey {
		t.Fatalf("%+v: %v", first.Writes, err)
	}
	clash := &statestore.ConflictError{FailedKeys: []string{wal.HeadKey}}
	l.committed(commitResult{err: clash, conflict: clash, head: &head, headRevision: 55})
	if l.term.err() != nil || len(machine.agent.Commands(true, now)) != 1 {
		t.Fatalf("the first try stands, but the start does not leave (%v)", l.term.err())
	}
	addJob(t, l, arraySpec("j-2", 1), now)
	l.runSchedulingPass(now)
	if next := l.commits.next(); next.Conditions[0].Revision != 55 {
		t.Errorf("the next one builds on %+v", next.Conditions)
	}
	// A head that is not ours means that another node writes the log.
	l.committed(commitResult{err: clash, conflict: clash, head: &wal.Head{Term: 9}, headRevision: 60})
	if l.term.err() == nil {
		t.Errorf("the leader goes on although another writes")
	}
}

// TestLargeJobFitsItsLimits: a job of the largest size, nearly done, keeps
// every value and transaction within the state service's limits.
func TestLargeJobFitsItsLimits(t *testing.T) {
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
		t.Errorf("not all that is done was written: %d parts", parts)
	}

	for i := range spec.Tasks {
		job.progress.complete(i)
	}
	l.checkComplete(job)
	commitWithinLimits(t, l, valueKB<<10, txnOps)
	if l.jobs.get(spec.ID) != nil {
		t.Errorf("the job is not closed")
	}
}

// commitWithinLimits carries out all transactions, and fails if one is larger than the state
// service takes. It returns the number of their changes, without the log's head.
func commitWithinLimits(t *testing.T, l *Leader, valueBytes, txnOps int) (changes int) {
	t.Helper()
	for txn := l.commits.next(); txn != nil; txn = l.commits.next() {
		if len(txn.Writes) > txnOps {
			t.Fatalf("%d changes in one transaction", len(txn.Writes))
		}
		changes += len(txn.Writes) - 1
		for _, write := range txn.Writes {
			if len(write.Value) > valueBytes {
				t.Fatalf("%s has %d bytes", write.Put, len(write.Value))
			}
		}
		l.committed(commitResult{revision: uint64(1000 + changes)})
	}
	return changes
}

// raised is a state service where another node has raised the term, and has not
// written to the log yet.
type raised struct {
	Store
	wrote int
}

func (s *raised) Txn(_ context.Context, _ statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error) {
	for _, c := range conditions {
		if c.Key == election.TermKey {
			return 0, &statestore.ConflictError{FailedKeys: []string{c.Key}} // its revision has changed
		}
	}
	s.wrote += len(writes)
	return 99, nil
}

// TestDeposedLeaderWritesNothing: what a deposed leader sends is refused also while
// its successor, which has read the log, has not begun to write: the log's head
// alone would let it through, and the successor would not know of the attempt.
func TestDeposedLeaderWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		l := testLeader(t)
		store := &raised{}
		l.deps.Store = store
		addMachine(l, "m-1", "east", now)
		addJob(t, l, arraySpec("j-1", 1), now)
		l.runSchedulingPass(now)
		l.commit(now.Add(time.Second))
		runNextEvent(t, l)
		if store.wrote != 0 || !errors.Is(l.term.err(), ErrDeposed) {
			t.Errorf("%d writes, ended %v", store.wrote, l.term.err())
		}
	})
}

// TestRejectedTransactionEndsTheTerm: a transaction that the state service takes for
// too large must not be sent for ever; the term ends, and with it whatever of the
// transaction may still be under way.
func TestRejectedTransactionEndsTheTerm(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	addMachine(l, "m-1", "east", now)
	addJob(t, l, arraySpec("j-1", 1), now)
	l.runSchedulingPass(now)
	if l.commits.next() == nil {
		t.Fatal("nothing to write")
	}
	l.committed(commitResult{err: fmt.Errorf("multi: %w", statestore.ErrRejected)})
	if !errors.Is(l.term.err(), ErrTxnTooLarge) {
		t.Errorf("ended: %v", l.term.err())
	}
}
