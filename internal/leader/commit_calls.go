package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"thornnotch/internal/election"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
)

// commit sends the next transaction if one is due.
func (l *Leader) commit(now time.Time) {
	if l.term.ended() {
		return
	}
	txn := l.commits.beginTxn(now)
	if txn == nil {
		return
	}
	conditions := append([]statestore.Condition{l.term.condition()}, txn.Conditions...)
	writes := txn.Writes
	l.calls.queue(func(ctx context.Context) func() {
		result := l.sendTxn(ctx, conditions, writes)
		return func() { l.applyCommitResult(result) }
	})
}

// sendTxn executes a transaction on the state service. After a conflict on keys other than the
// term record, it also reads the log's head.
func (l *Leader) sendTxn(ctx context.Context, conditions []statestore.Condition, writes []statestore.Write) commitResult {
	revision, err := l.deps.Store.Txn(ctx, statestore.ClassRecord, conditions, writes)
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) && !conflict.HasKey(election.TermKey) {
		return l.resolveConflict(ctx, conflict)
	}
	return commitResult{revision: revision, err: err}
}

// resolveConflict reads the log's head after a conflict, because an earlier copy of the same
// transaction, which got no answer, may have been executed.
func (l *Leader) resolveConflict(ctx context.Context, conflict *statestore.ConflictError) commitResult {
	row, found, err := l.deps.Store.Get(ctx, statestore.ClassRecord, wal.HeadKey)
	if err != nil {
		return commitResult{err: fmt.Errorf("read %s after transaction conflict: %w", wal.HeadKey, err)}
	}
	result := commitResult{err: conflict, conflict: conflict, head: &wal.Head{}}
	if found {
		result.headRevision = row.Revision
		if err := wirejson.Decode(row.Value, result.head); err != nil {
			return commitResult{err: fmt.Errorf("decode %s after transaction conflict: %w", wal.HeadKey, err)}
		}
	}
	return result
}

// applyCommitResult handles the result of a transaction, successful or not.
func (l *Leader) applyCommitResult(result commitResult) {
	outcome := l.commits.finishTxn(result, time.Now())
	l.counts.Commits++
	l.counts.CommitSeconds += outcome.duration.Seconds()
	if outcome.endReason != "" {
		l.term.end(outcome.endReason)
	}
	if outcome.requestPass {
		l.passes.request()
	}
}

// openLog creates the log writer, which continues after the given head. revision is the
// revision of the head's key.
func (l *Leader) openLog(head wal.Head, revision uint64) {
	state := l.deps.Settings.Params.State
	l.wal = wal.NewWriter(l.term.number(), wal.Limits{ValueBytes: int(state.ValueKB * 1024), TxnOps: state.TxnOps}, head, revision)
	// If the large ring is in use, all nodes could read it when it was chosen. Nodes are not
	// downgraded to a version that can't read it unless operators have turned the setting off
	// first.
	l.wal.AllowLargeRing(head.Ring > 0 && l.deps.Operator.Log.LargeRing)
	l.commits.setLog(l.wal, state.TxnOps)
}

// checkLargeRingSupport periodically asks whether all nodes can read the log's large ring, if
// the fleet is large enough to need it.
func (l *Leader) checkLargeRingSupport(now time.Time) {
	if l.deps.ReadsLargeRing == nil || !l.deps.Operator.Log.LargeRing || !l.commits.largeRingCheckDue(now) {
		return
	}
	l.calls.queue(func(ctx context.Context) func() {
		if !l.deps.ReadsLargeRing(ctx) {
			return nil
		}
		return func() {
			l.deps.Log.Info("switching to the large log ring", "reason", "all nodes can read it", "parts", l.wal.Head().Parts)
			l.wal.AllowLargeRing(true)
		}
	})
}
