package wal

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/statestore"
)

// TestReplayMatchesCommittedState checks what a new leader reads after changes, checkpoints,
// lost responses, delayed copies of transactions and failovers in any order. It must include
// every committed start that is not known to have ended and every committed completion, but no
// start whose end was committed and no completion that never happened.
func TestReplayMatchesCommittedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplayRun(t)
		t.Repeat(map[string]func(*rapid.T){
			"add attempt":          r.placeAttempt,
			"end attempt":          r.endAttempt,
			"metadata change":      r.changeMachine,
			"machine removed":      r.removeMachine,
			"finish task":          r.completeTask,
			"checkpoint":           r.beginCheckpoint,
			"ring allowed":         r.allowLargeRing,
			"send":                 r.sendTransaction,
			"send (again)":         r.sendTransaction, // doubles the frequency
			"message arrives late": r.deliverDelayedCopy,
			"takeover":             r.failOver,
		})
	})
}

// termKey stands in for the key of the term's record, on which every transaction is
// conditioned.
const termKey = "term/number"

// replayLimits are small enough that entries and parts are split and transactions fill up.
var replayLimits = Limits{ValueBytes: 600, TxnOps: 5}

// replayRun is one generated history: a state service, the leader of the current term, and
// copies of transactions that are still in transit.
type replayRun struct {
	store   *fakeStore
	leader  *leaderModel
	delayed []transactionCopy
	// lastID is the last number given to an attempt, a zone or a machine.
	lastID   uint64
	machines []string
	jobs     []string
}

// transactionCopy is a transaction as it was sent.
type transactionCopy struct {
	conditions []statestore.Condition
	writes     []statestore.Write
}

func newReplayRun(t *rapid.T) *replayRun {
	r := &replayRun{
		store:    newFakeStore(),
		machines: []string{"m-1", "m-2", "m-3", "m-4"},
		jobs:     []string{"j-1", "j-2"},
	}
	r.store.revision, r.store.revisions[termKey] = 1, 1
	r.leader = newLeaderModel(1, newReplayWriter(t, 1, Head{}, 0))
	return r
}

// newReplayWriter returns a writer whose large ring is small enough to wrap around and is
// used for a checkpoint of any size.
func newReplayWriter(t *rapid.T, term uint64, head Head, headRevision uint64) *Writer {
	writer := NewWriter(term, replayLimits, head, headRevision)
	writer.largeRingSize, writer.largeRingParts = 24, 0
	writer.AllowLargeRing(rapid.Bool().Draw(t, "large ring allowed"))
	return writer
}

func (r *replayRun) drawMachine(t *rapid.T) string {
	return rapid.SampledFrom(r.machines).Draw(t, "machine")
}

func (r *replayRun) placeAttempt(t *rapid.T) {
	machine := r.drawMachine(t)
	r.lastID++
	r.leader.addAttempt(machine, Attempt{
		Task:   fmt.Sprintf("%s/%d", rapid.SampledFrom(r.jobs).Draw(t, "job"), r.lastID%20),
		Number: r.lastID, Epoch: 1,
	})
}

func (r *replayRun) endAttempt(t *rapid.T) {
	machine := r.drawMachine(t)
	attempts := r.leader.attemptsOn(machine)
	if len(attempts) == 0 {
		t.Skip()
	}
	r.leader.removeAttempt(machine, rapid.SampledFrom(attempts).Draw(t, "attempt"))
}

func (r *replayRun) changeMachine(t *rapid.T) {
	// Each zone is new, so that it identifies the record that was read.
	r.lastID++
	r.leader.setZone(r.drawMachine(t), fmt.Sprint("z-", r.lastID))
}

func (r *replayRun) removeMachine(t *rapid.T) {
	machine := r.drawMachine(t)
	r.leader.removeMachine(machine)
	// The cloud never reuses a name.
	r.lastID++
	r.machines[slices.Index(r.machines, machine)] = fmt.Sprint("m-", r.lastID+10)
}

func (r *replayRun) completeTask(t *rapid.T) {
	r.leader.finishTask(rapid.SampledFrom(r.jobs).Draw(t, "job"), rapid.IntRange(0, 63).Draw(t, "task"))
}

func (r *replayRun) beginCheckpoint(*rapid.T) {
	r.leader.writer.BeginCheckpoint(r.leader.machineNames(), r.jobs, r.leader, nil)
}

func (r *replayRun) allowLargeRing(t *rapid.T) {
	r.leader.writer.AllowLargeRing(rapid.Bool().Draw(t, "large ring allowed"))
}

// sendTransaction sends the next transaction, or the one in flight once more. The state
// service may or may not execute it, and the response may be lost.
func (r *replayRun) sendTransaction(t *rapid.T) {
	writer := r.leader.writer
	if !writer.HasUncommitted() && !writer.Checkpointing() {
		return
	}
	var jobWrites []JobWrite
	if !writer.InFlight() && rapid.IntRange(0, 4).Draw(t, "with job write") == 0 {
		jobWrites = append(jobWrites, r.drawJobWrite(t))
	}
	txn := writer.Next(jobWrites)
	if txn == nil {
		return
	}
	checkLimits(t, txn)
	sent := transactionCopy{
		conditions: append([]statestore.Condition{{Key: termKey, Revision: r.leader.term}}, txn.Conditions...),
		writes:     txn.Writes,
	}
	const lostRequest, lostResponse = 0, 1
	outcome := rapid.IntRange(0, 5).Draw(t, "outcome")
	if outcome == lostRequest { // it may arrive later
		r.delayed = append(r.delayed, sent)
		return
	}
	failed := r.store.commit(sent.conditions, sent.writes)
	if outcome == lostResponse { // a copy may arrive later
		r.delayed = append(r.delayed, sent)
		return
	}
	if failed == nil {
		writer.OnCommitted(r.store.revision)
		return
	}
	r.resolveConflict(t, failed)
}

// drawJobWrite draws a write of another key, whose condition may fail.
func (r *replayRun) drawJobWrite(t *rapid.T) JobWrite {
	key := fmt.Sprint("open/", rapid.IntRange(0, 3).Draw(t, "key"))
	revision := r.store.revisions[key]
	if rapid.Bool().Draw(t, "wrong revision") {
		revision += 100
	}
	return JobWrite{
		Conditions: []statestore.Condition{{Key: key, Revision: revision}},
		Writes:     []statestore.Write{{Put: key, Value: json.RawMessage("1")}},
		OnCommitted: func(revision uint64) {
			if r.store.revisions[key] != revision {
				t.Fatalf("%s reported as committed at revision %d, but is at %d", key, revision, r.store.revisions[key])
			}
		},
	}
}

func checkLimits(t *rapid.T, txn *Txn) {
	t.Helper()
	if len(txn.Writes) > replayLimits.TxnOps+1 {
		t.Fatalf("%d writes in one transaction, want at most Limits.TxnOps+1", len(txn.Writes))
	}
	for _, write := range txn.Writes {
		if len(write.Value) > replayLimits.ValueBytes {
			t.Fatalf("%s has %d bytes, want at most Limits.ValueBytes", write.Put, len(write.Value))
		}
	}
}

// resolveConflict determines, as a leader does, the outcome of the transaction in flight.
func (r *replayRun) resolveConflict(t *rapid.T, failed []string) {
	head, err := r.store.head()
	if err != nil {
		t.Fatal(err)
	}
	writer := r.leader.writer
	switch {
	case slices.Contains(failed, termKey):
		t.Fatalf("deposed without a failover")
	case writer.WroteHead(head):
		writer.OnCommitted(r.store.revisions[HeadKey])
	case slices.Contains(failed, HeadKey):
		t.Fatalf("another leader wrote the head: %+v", head)
	default:
		writer.OnConflict(func(key string) bool { return slices.Contains(failed, key) })
	}
}

func (r *replayRun) deliverDelayedCopy(t *rapid.T) {
	if len(r.delayed) == 0 {
		t.Skip()
	}
	delayed := r.delayed[rapid.IntRange(0, len(r.delayed)-1).Draw(t, "copy")]
	r.store.commit(delayed.conditions, delayed.writes)
}

// failOver lets another leader start a newer term and read the log, and compares the result
// with what the previous leader knew.
func (r *replayRun) failOver(t *rapid.T) {
	r.store.revision++
	term := r.store.revision
	r.store.revisions[termKey] = term
	state, foreign, err := Replay(r.store.failoverRows())
	if err != nil || len(foreign) > 0 {
		t.Fatalf("read the log: error %v, foreign keys %v", err, foreign)
	}
	checkAttempts(t, r.leader, state)
	checkZones(t, r.leader, state)
	for _, job := range r.jobs {
		checkDone(t, r.leader, state, job)
	}
	writer := newReplayWriter(t, term, state.Head, r.store.revisions[HeadKey])
	r.leader = restoreLeaderModel(term, writer, state, r.jobs)
}

// checkAttempts fails if a committed start is not read, or if a start is read whose end was
// committed.
func checkAttempts(t *rapid.T, leader *leaderModel, state State) {
	t.Helper()
	machineOf := map[Attempt]string{}
	for name, machine := range state.Machines {
		for _, attempt := range machine.Attempts {
			machineOf[attempt] = name
		}
	}
	for name, attempts := range leader.liveAttempts {
		for attempt := range attempts {
			if leader.recorded[attempt] && machineOf[attempt] != name {
				t.Fatalf("%v on %s was committed but is not read", attempt, name)
			}
		}
	}
	if leader.writer.HasUncommitted() {
		return // ends may not be recorded yet
	}
	for attempt, name := range machineOf {
		if !leader.liveAttempts[name][attempt] {
			t.Fatalf("%v is read although its end was committed", attempt)
		}
	}
}

// checkZones fails if a machine's metadata is not read although it was committed and not
// changed since.
func checkZones(t *rapid.T, leader *leaderModel, state State) {
	t.Helper()
	for name := range leader.liveAttempts {
		recorded, ok := leader.zoneRecorded[name]
		if !ok || leader.zone[name] != recorded {
			continue
		}
		if machine := state.Machines[name]; machine == nil || machine.Zone != recorded {
			t.Fatalf("%s: read %+v, but zone %q was committed", name, machine, recorded)
		}
	}
}

// checkDone fails if a committed completion is not read, or if a completion is read that never
// happened.
func checkDone(t *rapid.T, leader *leaderModel, state State, job string) {
	t.Helper()
	restored := map[int]bool{}
	for _, task := range state.Done[job] {
		if !leader.done[job][task] {
			t.Fatalf("%s/%d is read as completed but never was", job, task)
		}
		restored[task] = true
	}
	for task := range leader.doneRecorded[job] {
		if !restored[task] {
			t.Fatalf("the completion of %s/%d was committed but is not read", job, task)
		}
	}
}
