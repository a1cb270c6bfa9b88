package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"thornnotch/internal/election"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// commit sends the next transaction if one is due.
func (l *Leader) commit(now time.Time) {
	if l.term.ended() {
		return
	}
	txn := l.commits.begin(now)
	if txn == nil {
		return
	}
	conditions := append([]statestore.Condition{l.term.condition()}, txn.Conditions...)
	writes := txn.Writes
	l.calls.queue(func(ctx context.Context) func() {
		result := l.sendTxn(ctx, conditions, writes)
		return func() { l.committed(result) }
	})
}

// sendTxn has the state service carry out a transaction.
func (l *Leader) sendTxn(ctx context.Context, conditions []statestore.Condition, writes []statestore.Write) commitResult {
	revision, err := l.deps.Store.Txn(ctx, statestore.ClassRecord, conditions, writes)
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) && !conflict.HasKey(election.TermKey) {
		return l.resolveConflict(ctx, conflict)
	}
	return commitResult{revision: revision, err: err}
}

// resolveConflict reads the log's head after a clash: an earlier try without an answer may
// have been carried out after all.
func (l *Leader) resolveConflict(ctx context.Context, conflict *statestore.ConflictError) commitResult {
	row, found, err := l.deps.Store.Get(ctx, statestore.ClassRecord, wal.HeadKey)
	if err != nil {
		return commitResult{err: fmt.Errorf("read %s after a conflict: %w", wal.HeadKey, err)}
	}
	result := commitResult{err: conflict, conflict: conflict, head: &wal.Head{}}
	if found {
		result.headRevision = row.Revision
		if err := json.Unmarshal(row.Value, result.head); err != nil {
			return commitResult{err: fmt.Errorf("decode %s after a conflict: %w", wal.HeadKey, err)}
		}
	}
	return result
}

// committed takes in what became of a transaction.
func (l *Leader) committed(result commitResult) {
	outcome := l.commits.finished(result, time.Now())
	l.counts.Commits++
	l.counts.CommitSeconds += outcome.took.Seconds()
	if outcome.endTerm != "" {
		l.term.end(outcome.endTerm)
	}
	if outcome.schedule {
		l.passes.request()
	}
}

// openLog begins to write behind the head that was read, which has this revision.
func (l *Leader) openLog(head wal.Head, revision uint64) {
	state := l.deps.Settings.Params.State
	l.wal = wal.NewWriter(l.term.number(), wal.Limits{ValueBytes: int(state.ValueKB * 1024), TxnOps: state.TxnOps}, head, revision)
	// In use it was found to be read by all nodes, and they do not go back unless the
	// operators' setting has said so first.
	l.wal.AllowLargeRing(head.Ring > 0 && l.deps.Operator.Log.LargeRing)
	l.commits.open(l.wal, state.TxnOps)
}

// checkLargeRingSupport asks, now and then, whether all nodes read the log's large ring, if
// the fleet has grown so large that it is wanted.
func (l *Leader) checkLargeRingSupport(now time.Time) {
	if l.deps.ReadsLargeRing == nil || !l.deps.Operator.Log.LargeRing || !l.commits.largeRingCheckDue(now) {
		return
	}
	l.calls.queue(func(ctx context.Context) func() {
		if !l.deps.ReadsLargeRing(ctx) {
			return nil
		}
		return func() {
			l.deps.Log.Info("log moves to the large ring", "reason", "all nodes read it", "parts", l.wal.Head().Parts)
			l.wal.AllowLargeRing(true)
		}
	})
}
