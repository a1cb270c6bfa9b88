package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// TestFullTransactionsFollowAtOnce: what had no room in a transaction goes out as soon
// as that one stands. With four changes a transaction, one every CommitInterval recorded
// some 40 values a second, whatever rate the state service allowed: starts of 4,000
// machines waited a minute for their record. Little is gathered as before, and the
// routine does not spin when what was left has become needless.
func TestFullTransactionsFollowAtOnce(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	offline(t, l)
	l.deps.Settings.Params.State.TxnOps, l.deps.Settings.Params.State.ValueKB = constants.MinTxnOps, 1
	l.openLog(l.commits.log.Head(), 0)
	plan := func(i int) *workers.Attempt {
		r := addRig(l, fmt.Sprintf("m-%04d", i), "east", now)
		a := &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Job: "j-1", Index: i}, Number: uint64(i)}, Epoch: 1, PlacedAt: now}
		r.agent.Attempts[a.ID] = a
		l.logAttempt(r, a)
		return a
	}
	for i := range 100 {
		plan(i)
	}
	// send has the next transaction sent and carried out, as Run's routines would.
	send := func() {
		l.commits.lastCommitAt = now
		if t := l.nextTxn(); t != nil {
			l.commits.setMore(l.hasRemaining(), now)
			l.committed(commitResult{epoch: 1})
		}
	}
	sent := 0
	for send(); l.commits.hasMore; send() {
		sent++
		if due := l.commitDue(); due.After(now) {
			t.Fatalf("transaction %d: the next waits for %v", sent, due.Sub(now))
		}
	}
	if sent < 3 {
		t.Errorf("all went into %d transactions", sent+1)
	}
	if due := l.commitDue(); !due.IsZero() {
		t.Errorf("nothing is left, and due at %v", due)
	}
	plan(200)
	if due := l.commitDue(); !due.Equal(now.Add(constants.CommitInterval)) {
		t.Errorf("little waits for %v", due.Sub(now))
	}
	send()
	l.commits.hasMore = true // what had remained has become needless
	if l.commit(now); l.commits.hasMore || !l.commitDue().IsZero() {
		t.Error("the routine would spin")
	}
}
