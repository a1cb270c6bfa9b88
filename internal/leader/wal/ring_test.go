package wal

import (
	"fmt"
	"strings"
	"testing"

	"thornnotch/internal/constants"
	"thornnotch/internal/wirejson"
)

// TestRingNeverOverwritesLiveEntries checks that live entries are not overwritten, however
// long a checkpoint takes.
func TestRingNeverOverwritesLiveEntries(t *testing.T) {
	store := newFakeStore()
	writer := NewWriter(1, Limits{ValueBytes: 2000, TxnOps: 8}, Head{}, 0)
	leader := newLeaderModel(1, writer)
	machines := []string{"m-0", "m-1", "m-2", "m-3", "m-4", "m-5", "m-6"}
	for i := range 3 * constants.LogRingSize {
		machine := machines[i%len(machines)]
		attempt := Attempt{Task: "j-1/0", Number: uint64(i), Epoch: 1}
		leader.addAttempt(machine, attempt)
		if i%50 != 0 { // most attempts end before they are written
			leader.removeAttempt(machine, attempt)
			leader.setZone(machine, fmt.Sprint(i))
		}

		commitNext(t, store, writer, nil)
		if writer.Backlog() > constants.LogRingSize-constants.LogFreeKeys {
			t.Fatalf("backlog of %d entries, want at most LogRingSize-LogFreeKeys", writer.Backlog())
		}
		if writer.Backlog() > constants.LogRingSize-2*constants.LogFreeKeys {
			writer.BeginCheckpoint(machines, nil, leader, nil) // no effect while one is being written
		}
	}

	state, _, err := Replay(store.allRows())
	if err != nil {
		t.Fatal(err)
	}
	for name, attempts := range leader.liveAttempts {
		if len(state.Machines[name].Attempts) != len(attempts) {
			t.Errorf("%s: %d attempts read, want %d", name, len(state.Machines[name].Attempts), len(attempts))
		}
	}
}

// TestFullRingAcceptsNoEntries checks that without a checkpoint entries are written until only
// constants.LogFreeKeys slots of the ring are free and none after that, and that writing
// continues once a checkpoint is committed.
func TestFullRingAcceptsNoEntries(t *testing.T) {
	fleet := newLoadedFleet(Limits{ValueBytes: 2048, TxnOps: 8}, 20, 10)
	writer := fleet.writer
	const maxBacklog = constants.LogRingSize - constants.LogFreeKeys
	for writer.Backlog() < maxBacklog {
		before := writer.Backlog()
		fleet.placeAttempts(200)
		commitNext(t, fleet.store, writer, nil)
		if backlog := writer.Backlog(); backlog <= before || backlog > maxBacklog {
			t.Fatalf("backlog of %d entries, %d before", backlog, before)
		}
	}
	if txn := writer.Next(nil); txn != nil {
		t.Fatalf("a full ring accepts a transaction of %d writes", len(txn.Writes))
	}

	writer.BeginCheckpoint(fleet.machines, nil, fleet.leader, nil)
	for writer.Checkpointing() {
		commitNext(t, fleet.store, writer, nil)
	}
	commitNext(t, fleet.store, writer, nil)
	if backlog := writer.Backlog(); backlog == 0 || backlog >= maxBacklog {
		t.Errorf("backlog of %d entries after the checkpoint", backlog)
	}
}

// TestLargeRing checks that entries go to the large ring once the checkpoint is too large for
// the small one and the large ring is allowed. Checkpoints must then take fewer bytes than
// entries do. A version that knows only the small ring must find an entry missing, so that it
// makes no decisions. Once the large ring is no longer allowed, the small ring must be in use
// again as soon as a checkpoint is committed.
func TestLargeRing(t *testing.T) {
	fleet := newLoadedFleet(Limits{ValueBytes: 2048, TxnOps: 10}, 6000, 200)
	writer := fleet.writer

	fleet.commitStarts(t, 1000)
	before := writer.Stats()
	if err := readSmallRingOnly(fleet.store); writer.Head().Ring != 0 || err != nil || !writer.WantsLargeRing() {
		t.Fatalf("head %+v, wants large ring %v, small ring only: error %v", writer.Head(), writer.WantsLargeRing(), err)
	}

	writer.AllowLargeRing(true)
	fleet.commitStarts(t, 3000)
	after := writer.Stats()
	if writer.Head().Ring != constants.LogLargeRingSize || readSmallRingOnly(fleet.store) == nil {
		t.Errorf("head %+v: a version without the large ring does not notice it", writer.Head())
	}
	if _, _, err := Replay(fleet.store.failoverRows()); err != nil {
		t.Error(err)
	}
	smallRatio := float64(before.PartBytes) / float64(before.EntryBytes)
	largeRatio := float64(after.PartBytes-before.PartBytes) / float64(after.EntryBytes-before.EntryBytes)
	if smallRatio < 1 || largeRatio > 0.75 {
		t.Errorf("checkpoint bytes per entry byte: %.2f in the small ring, %.2f in the large one", smallRatio, largeRatio)
	}

	writer.AllowLargeRing(false)
	fleet.commitStarts(t, 500)
	if err := readSmallRingOnly(fleet.store); writer.Head().Ring != 0 || err != nil {
		t.Errorf("head %+v, small ring only: error %v", writer.Head(), err)
	}
	if state, _, err := Replay(fleet.store.failoverRows()); err != nil || len(state.Machines) != len(fleet.machines) {
		t.Errorf("%d machines read, error %v", len(state.Machines), err)
	}
}

// readSmallRingOnly reads the live entries as a version does that knows only the small ring.
func readSmallRingOnly(store *fakeStore) error {
	head, err := store.head()
	if err != nil {
		return err
	}
	for seq := head.From; seq < head.Next; seq++ {
		var entry Entry
		if err := wirejson.Decode(store.rows[smallRingKey(seq)].Value, &entry); err != nil {
			return fmt.Errorf("entry %d: %w", seq, err)
		}
		if entry.Seq != seq {
			return fmt.Errorf("entry %d: slot holds entry %d", seq, entry.Seq)
		}
	}
	return nil
}

// loadedFleet is a leader whose machines have large records and who always has more starts to
// record than fit into a transaction.
type loadedFleet struct {
	store        *fakeStore
	writer       *Writer
	leader       *leaderModel
	machines     []string
	attemptCount uint64
}

// newLoadedFleet returns a fleet with the given number of machines and bytes of metadata for
// each of them.
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

// placeAttempts records count starts, spread evenly over the machines.
func (f *loadedFleet) placeAttempts(count int) {
	for range count {
		f.attemptCount++
		attempt := Attempt{Task: fmt.Sprintf("j-%06d/0", f.attemptCount), Number: f.attemptCount, Epoch: 1}
		f.writer.AttemptPlaced(f.machines[int(f.attemptCount)%len(f.machines)], attempt, "j-000001", JobUsage{Team: "someone"}, nil)
	}
}

// commitStarts commits the given number of transactions and starts checkpoints when they are
// due.
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
