package wal

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/statestore"
)

// TestReplayEqualsWhatWasCommitted: for any order of changes, checkpoints,
// lost answers, late copies of transactions and failovers, what a new leader
// reads holds every start that stood and is not known to be over, none whose
// end stood, every completion that stood and none that never was.
func TestReplayEqualsWhatWasCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplayRun(t)
		t.Repeat(map[string]func(*rapid.T){
			"add":        r.placeAttempt,
			"del":        r.endAttempt,
			"meta":       r.changeMachine,
			"gone":       r.removeMachine,
			"done":       r.completeTask,
			"checkpoint": r.beginCheckpoint,
			"ring":       r.allowLargeRing,
			"send":       r.sendTransaction,
			"send2":      r.sendTransaction, // twice as often
			"late":       r.deliverLateCopy,
			"takeover":   r.failOver,
		})
	})
}

// termKey stands for the term's record, on which every transaction is conditioned.
const termKey = "term/number"

// replayLimits are so small that entries and parts are split and transactions fill up.
var replayLimits = Limits{ValueBytes: 600, TxnOps: 5}

// replayRun is one generated history: a state service, the leader of the present term,
// and copies of transactions that are under way yet.
type replayRun struct {
	store  *fakeStore
	leader *leaderModel
	late   []transactionCopy
	// attempts counts what needs a number of its own: attempts, zones, machines.
	attempts uint64
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

// newReplayWriter has a large ring so small that it wraps, and that any checkpoint is
// large enough for.
func newReplayWriter(t *rapid.T, term uint64, head Head, headRevision uint64) *Writer {
	writer := NewWriter(term, replayLimits, head, headRevision)
	writer.largeRingSize, writer.largeRingParts = 24, 0
	writer.AllowLargeRing(rapid.Bool().Draw(t, "large"))
	return writer
}

func (r *replayRun) drawMachine(t *rapid.T) string {
	return rapid.SampledFrom(r.machines).Draw(t, "rig")
}

func (r *replayRun) placeAttempt(t *rapid.T) {
	machine := r.drawMachine(t)
	r.attempts++
	r.leader.place(machine, Attempt{
		Task:   fmt.Sprintf("%s/%d", rapid.SampledFrom(r.jobs).Draw(t, "job"), r.attempts%20),
		Number: r.attempts, Epoch: 1,
	})
}

func (r *replayRun) endAttempt(t *rapid.T) {
	machine := r.drawMachine(t)
	attempts := r.leader.attemptsOn(machine)
	if len(attempts) == 0 {
		t.Skip()
	}
	r.leader.end(machine, rapid.SampledFrom(attempts).Draw(t, "attempt"))
}

func (r *replayRun) changeMachine(t *rapid.T) {
	// Each zone is new, so that it tells which record was read.
	r.attempts++
	r.leader.setZone(r.drawMachine(t), fmt.Sprint("z-", r.attempts))
}

func (r *replayRun) removeMachine(t *rapid.T) {
	machine := r.drawMachine(t)
	r.leader.removeMachine(machine)
	// The cloud never gives a name twice.
	r.attempts++
	r.machines[slices.Index(r.machines, machine)] = fmt.Sprint("m-", r.attempts+10)
}

func (r *replayRun) completeTask(t *rapid.T) {
	r.leader.complete(rapid.SampledFrom(r.jobs).Draw(t, "job"), rapid.IntRange(0, 63).Draw(t, "task"))
}

func (r *replayRun) beginCheckpoint(*rapid.T) {
	r.leader.writer.BeginCheckpoint(r.leader.machineNames(), r.jobs, r.leader, nil)
}

func (r *replayRun) allowLargeRing(t *rapid.T) {
	r.leader.writer.AllowLargeRing(rapid.Bool().Draw(t, "large"))
}

// sendTransaction sends the next transaction, or the one in flight once more. The state
// service may carry it out or not, and the answer may be lost.
func (r *replayRun) sendTransaction(t *rapid.T) {
	writer := r.leader.writer
	if !writer.Pending() && !writer.Checkpointing() {
		return
	}
	var jobWrites []JobWrite
	if !writer.InFlight() && rapid.IntRange(0, 4).Draw(t, "extra") == 0 {
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
	const lostRequest, lostAnswer = 0, 1
	fate := rapid.IntRange(0, 5).Draw(t, "fate")
	if fate == lostRequest { // it may arrive later
		r.late = append(r.late, sent)
		return
	}
	failed := r.store.run(sent.conditions, sent.writes)
	if fate == lostAnswer { // and a copy is under way yet
		r.late = append(r.late, sent)
		return
	}
	if failed == nil {
		writer.Committed(r.store.revision)
		return
	}
	r.resolveConflict(t, failed)
}

// drawJobWrite draws a write of another key, whose condition may fail.
func (r *replayRun) drawJobWrite(t *rapid.T) JobWrite {
	key := fmt.Sprint("open/", rapid.IntRange(0, 3).Draw(t, "which"))
	revision := r.store.revisions[key]
	if rapid.Bool().Draw(t, "wrong") {
		revision += 100
	}
	return JobWrite{
		Conditions: []statestore.Condition{{Key: key, Revision: revision}},
		Writes:     []statestore.Write{{Put: key, Value: json.RawMessage("1")}},
		Committed: func(revision uint64) {
			if r.store.revisions[key] != revision {
				t.Fatalf("%s is told to stand at revision %d, it stands at %d", key, revision, r.store.revisions[key])
			}
		},
	}
}

func checkLimits(t *rapid.T, txn *Txn) {
	t.Helper()
	if len(txn.Writes) > replayLimits.TxnOps+1 {
		t.Fatalf("%d writes at once", len(txn.Writes))
	}
	for _, write := range txn.Writes {
		if len(write.Value) > replayLimits.ValueBytes {
			t.Fatalf("%s has %d bytes", write.Put, len(write.Value))
		}
	}
}

// resolveConflict finds out, as a leader does, what became of the transaction in flight.
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
		writer.Committed(r.store.revisions[HeadKey])
	case slices.Contains(failed, HeadKey):
		t.Fatalf("somebody else wrote the head: %+v", head)
	default:
		writer.Conflicted(func(key string) bool { return slices.Contains(failed, key) })
	}
}

func (r *replayRun) deliverLateCopy(t *rapid.T) {
	if len(r.late) == 0 {
		t.Skip()
	}
	late := r.late[rapid.IntRange(0, len(r.late)-1).Draw(t, "copy")]
	r.store.run(late.conditions, late.writes)
}

// failOver has another leader raise the term and read the log. What it reads is checked
// against what the one before knew.
func (r *replayRun) failOver(t *rapid.T) {
	r.store.revision++
	term := r.store.revision
	r.store.revisions[termKey] = term
	state, foreign, err := Read(r.store.failoverRows())
	if err != nil || len(foreign) > 0 {
		t.Fatalf("can't read the log: %v %v", err, foreign)
	}
	checkAttempts(t, r.leader, state)
	checkZones(t, r.leader, state)
	for _, job := range r.jobs {
		checkDone(t, r.leader, state, job)
	}
	writer := newReplayWriter(t, term, state.Head, r.store.revisions[HeadKey])
	r.leader = restoreLeaderModel(term, writer, state, r.jobs)
}

// checkAttempts: every start that stood is read, and none whose end stood.
func checkAttempts(t *rapid.T, leader *leaderModel, state State) {
	t.Helper()
	machineOf := map[Attempt]string{}
	for name, machine := range state.Machines {
		for _, attempt := range machine.Attempts {
			machineOf[attempt] = name
		}
	}
	for name, attempts := range leader.live {
		for attempt := range attempts {
			if leader.recorded[attempt] && machineOf[attempt] != name {
				t.Fatalf("%v stood on %s and is forgotten", attempt, name)
			}
		}
	}
	if leader.writer.Pending() {
		return // ends may not be recorded yet
	}
	for attempt, name := range machineOf {
		if !leader.live[name][attempt] {
			t.Fatalf("%v is over, and its end stood, but it is read again", attempt)
		}
	}
}

// checkZones: metadata that stood, and that nothing came after, are read.
func checkZones(t *rapid.T, leader *leaderModel, state State) {
	t.Helper()
	for name := range leader.live {
		recorded, ok := leader.zoneRecorded[name]
		if !ok || leader.zone[name] != recorded {
			continue
		}
		if machine := state.Machines[name]; machine == nil || machine.Zone != recorded {
			t.Fatalf("%s: %+v, its zone %q stood", name, machine, recorded)
		}
	}
}

// checkDone: every completion that stood is read, and none that never was.
func checkDone(t *rapid.T, leader *leaderModel, state State, job string) {
	t.Helper()
	read := map[int]bool{}
	for _, task := range state.Done[job] {
		if !leader.done[job][task] {
			t.Fatalf("%s/%d was never done", job, task)
		}
		read[task] = true
	}
	for task := range leader.doneRecorded[job] {
		if !read[task] {
			t.Fatalf("%s/%d was done and is forgotten", job, task)
		}
	}
}
