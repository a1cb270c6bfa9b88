package wal

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"thornnotch/internal/constants"
)

// TestRingIsNeverOverrun: however long a checkpoint takes, entries that still
// count are not written over.
func TestRingIsNeverOverrun(t *testing.T) {
	store := newFakeStore()
	writer := NewWriter(1, Limits{ValueBytes: 2000, TxnOps: 8}, Head{}, 0)
	leader := newLeaderModel(1, writer)
	machines := []string{"m-0", "m-1", "m-2", "m-3", "m-4", "m-5", "m-6"}
	for i := range 3 * constants.LogRingSize {
		machine := machines[i%len(machines)]
		attempt := Attempt{Task: "j-1/0", Number: uint64(i), Epoch: 1}
		leader.place(machine, attempt)
		if i%50 != 0 { // and some are over soon
			leader.end(machine, attempt)
			leader.setZone(machine, fmt.Sprint(i))
		}

		commitNext(t, store, writer, nil)
		if writer.Backlog() > constants.LogRingSize-constants.LogSlack {
			t.Fatalf("%d entries are to be read", writer.Backlog())
		}
		if writer.Backlog() > constants.LogRingSize-2*constants.LogSlack {
			writer.BeginCheckpoint(machines, nil, leader, nil) // unless one is being written
		}
	}

	state, _, err := Read(store.allRows())
	if err != nil {
		t.Fatal(err)
	}
	for name, attempts := range leader.live {
		if len(state.Machines[name].Attempts) != len(attempts) {
			t.Errorf("%s: %d attempts read, %d there", name, len(state.Machines[name].Attempts), len(attempts))
		}
	}
}

// TestFullRingTakesNoEntry: without a checkpoint entries are written until the ring is full
// but for its slack, and none after that; once a checkpoint stands they go on.
func TestFullRingTakesNoEntry(t *testing.T) {
	fleet := newLoadedFleet(Limits{ValueBytes: 2048, TxnOps: 8}, 20, 10)
	writer := fleet.writer
	const full = constants.LogRingSize - constants.LogSlack
	for writer.Backlog() < full {
		before := writer.Backlog()
		fleet.placeAttempts(200)
		commitNext(t, fleet.store, writer, nil)
		if backlog := writer.Backlog(); backlog <= before || backlog > full {
			t.Fatalf("%d entries are to be read, %d were before", backlog, before)
		}
	}
	if txn := writer.Next(nil); txn != nil {
		t.Fatalf("a full ring takes %d writes", len(txn.Writes))
	}

	writer.BeginCheckpoint(fleet.machines, nil, fleet.leader, nil)
	for writer.Checkpointing() {
		commitNext(t, fleet.store, writer, nil)
	}
	commitNext(t, fleet.store, writer, nil)
	if backlog := writer.Backlog(); backlog == 0 || backlog >= full {
		t.Errorf("%d entries are to be read after the checkpoint", backlog)
	}
}

// TestLargeRing: a checkpoint too large for the ring that all versions read has entries
// go to the large one, once that is allowed. The checkpoint then is written less often
// than entries; a version that reads the first ring alone finds an entry missing and
// decides nothing; and when it is no longer allowed, the first one is in use again as
// soon as a checkpoint stands.
func TestLargeRing(t *testing.T) {
	fleet := newLoadedFleet(Limits{ValueBytes: 2048, TxnOps: 10}, 6000, 200)
	writer := fleet.writer

	fleet.commitStarts(t, 1000)
	before := writer.Stats()
	if err := readSmallRingAlone(fleet.store); writer.Head().Ring != 0 || err != nil || !writer.WantsLargeRing() {
		t.Fatalf("head %+v, wants the large ring %v, earlier versions: %v", writer.Head(), writer.WantsLargeRing(), err)
	}

	writer.AllowLargeRing(true)
	fleet.commitStarts(t, 3000)
	after := writer.Stats()
	if writer.Head().Ring != constants.LogLargeRingSize || readSmallRingAlone(fleet.store) == nil {
		t.Errorf("head %+v, earlier versions read on", writer.Head())
	}
	if _, _, err := Read(fleet.store.failoverRows()); err != nil {
		t.Error(err)
	}
	small := float64(before.PartBytes) / float64(before.EntryBytes)
	large := float64(after.PartBytes-before.PartBytes) / float64(after.EntryBytes-before.EntryBytes)
	if small < 1 || large > 0.75 {
		t.Errorf("checkpoints take %.2f of what entries do in the first ring, %.2f in the large one", small, large)
	}

	writer.AllowLargeRing(false)
	fleet.commitStarts(t, 500)
	if err := readSmallRingAlone(fleet.store); writer.Head().Ring != 0 || err != nil {
		t.Errorf("head %+v, earlier versions: %v", writer.Head(), err)
	}
	if state, _, err := Read(fleet.store.failoverRows()); err != nil || len(state.Machines) != len(fleet.machines) {
		t.Errorf("%d machines read, %v", len(state.Machines), err)
	}
}

// readSmallRingAlone reads the entries that count as a version does that knows one ring.
func readSmallRingAlone(store *fakeStore) error {
	head, err := store.head()
	if err != nil {
		return err
	}
	for seq := head.From; seq < head.Next; seq++ {
		var entry Entry
		if err := json.Unmarshal(store.rows[smallRingKey(seq)].Value, &entry); err != nil {
			return fmt.Errorf("entry %d: %w", seq, err)
		}
		if entry.Seq != seq {
			return fmt.Errorf("entry %d: its slot holds %d", seq, entry.Seq)
		}
	}
	return nil
}

// loadedFleet is a leader whose machines have large records and who always has more
// starts to record than a transaction holds.
type loadedFleet struct {
	store    *fakeStore
	writer   *Writer
	leader   *leaderModel
	machines []string
	attempts uint64
}

// newLoadedFleet makes a fleet of so many machines, with metadata of so many bytes each.
func newLoadedFleet(limits Limits, machines, metadataBytes int) *loadedFleet {
	writer := NewWriter(1, limits, Head{}, 0)
	f := &loadedFleet{store: newFakeStore(), writer: writer, leader: newLeaderModel(1, writer)}
	for i := range machines {
		name := fmt.Sprintf("m-%06d", i)
		f.machines = append(f.machines, name)
		f.leader.addMachine(name)
		f.leader.zone[name] = strings.Repeat("z", metadataBytes)
	}
	return f
}

// placeAttempts has so many starts to be recorded, on all machines by turns.
func (f *loadedFleet) placeAttempts(count int) {
	for range count {
		f.attempts++
		attempt := Attempt{Task: fmt.Sprintf("j-%06d/0", f.attempts), Number: f.attempts, Epoch: 1}
		f.writer.AttemptPlaced(f.machines[int(f.attempts)%len(f.machines)], attempt, "j-000001", JobUse{Team: "someone"}, nil)
	}
}

// commitStarts writes so many transactions, with checkpoints as they are due.
func (f *loadedFleet) commitStarts(t *testing.T, transactions int) {
	t.Helper()
	for range transactions {
		f.placeAttempts(200)
		if f.writer.CheckpointDue() {
			f.writer.BeginCheckpoint(f.machines, nil, f.leader, nil)
		}
		commitNext(t, f.store, f.writer, nil)
	}
}
