package wal

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
)

// TestCheckpointKeepsUpWithTheLog: with the smallest transactions and values that
// the state service may come to allow, and more to record than they hold, the
// checkpoint of a large fleet stands before the ring is full, also where jobs end with
// every transaction and leave one change for entries and parts to take turns at: at
// most a few transactions in a row carry nothing new, so starts are never held up.
func TestCheckpointKeepsUpWithTheLog(t *testing.T) {
	for _, machines := range []int{500, 4000, 6000} {
		for _, jobsEnd := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d machines, jobs end %v", machines, jobsEnd), func(t *testing.T) {
				checkpointUnderLoad(t, machines, jobsEnd)
			})
		}
	}
}

// maxWithoutEntry is how many transactions in a row may carry no entry where jobs end
// with each (transactions). Where none end, none may.
const maxWithoutEntry = 5

func checkpointUnderLoad(t *testing.T, machines int, jobsEnd bool) {
	t.Helper()
	limits := Limits{ValueBytes: 2048, TxnOps: constants.MinTxnOps}
	fleet := newLoadedFleet(limits, machines, 100) // images and the like
	writer := fleet.writer
	checkpoints, withoutEntry := 0, 0
	for i := range 6 * constants.LogRingSize {
		fleet.placeAttempts(40) // fills more than one value
		var jobWrites []JobWrite
		if jobsEnd {
			jobWrites = append(jobWrites, endOfJob(fmt.Sprint("j-", i)))
		}
		if writer.Backlog() > constants.CheckpointEntries {
			// Unless one is being written.
			writer.BeginCheckpoint(fleet.machines, nil, fleet.leader, func() { checkpoints++ })
		}
		before := writer.Head().Next
		commitNext(t, fleet.store, writer, jobWrites) // checks the limits

		if full := constants.LogRingSize - constants.LogSlack - limits.TxnOps; writer.Backlog() > full {
			t.Fatal("the ring is full")
		}
		if writer.Head().Next > before {
			withoutEntry = 0
			continue
		}
		if withoutEntry++; !jobsEnd || withoutEntry > maxWithoutEntry {
			t.Fatalf("nothing new is recorded with %d entries to be read, %d checkpoints", writer.Backlog(), checkpoints)
		}
	}
	if checkpoints < 2 {
		t.Errorf("%d checkpoints", checkpoints)
	}
}

// endOfJob moves a job from the open to the final ones.
func endOfJob(id string) JobWrite {
	return JobWrite{Writes: []statestore.Write{{Delete: "open/" + id}, {Put: "final/" + id, Value: json.RawMessage(`{}`)}}}
}

// TestCheckpointThatCantKeepUp: leaders end again and again before the
// checkpoint that each began anew is whole, until the ring is full. Then no
// entry that counts is written over, no start is told to stand that does not,
// and the first leader that lasts long enough brings the log in order again.
func TestCheckpointThatCantKeepUp(t *testing.T) {
	h := newLeaderSequence(300)
	for h.withoutEntry == 0 && h.term < 1000 {
		h.lead(t, 12)
	}
	if h.withoutEntry == 0 {
		t.Fatal("the ring never filled up")
	}
	for range 5 {
		h.lead(t, 12)
		h.checkRecorded(t)
	}

	before := len(h.recorded)
	h.lead(t, 600)
	h.checkRecorded(t)
	if backlog := h.leader.writer.Backlog(); backlog > 2*constants.CheckpointEntries || len(h.recorded) < before+400 {
		t.Errorf("%d entries are to be read, %d starts stand, %d did before", backlog, len(h.recorded), before)
	}
}

// leaderSequence is a row of leaders, each of which goes on where the one before ended.
type leaderSequence struct {
	store    *fakeStore
	leader   *leaderModel
	term     uint64
	machines []string
	attempts uint64
	// recorded are the starts that are known to stand, with their machine.
	recorded map[Attempt]string
	// withoutEntry counts transactions that held nothing but parts of a checkpoint.
	withoutEntry int
}

func newLeaderSequence(machines int) *leaderSequence {
	s := &leaderSequence{store: newFakeStore(), leader: newLeaderModel(0, nil), recorded: map[Attempt]string{}}
	for i := range machines {
		name := fmt.Sprintf("m-%04d", i)
		s.machines = append(s.machines, name)
		s.leader.addMachine(name)
	}
	return s
}

// lead has the next leader write so many transactions, each with one start.
func (s *leaderSequence) lead(t *testing.T, transactions int) {
	t.Helper()
	s.term++
	head, err := s.store.head()
	if err != nil {
		t.Fatal(err)
	}
	s.leader.writer = NewWriter(s.term, Limits{ValueBytes: 600, TxnOps: 4}, head, s.store.revisions[HeadKey])
	s.forgetUnrecorded()
	for range transactions {
		s.commitStart(t)
	}
}

// forgetUnrecorded: what the leader before had planned and not recorded never was.
func (s *leaderSequence) forgetUnrecorded() {
	for _, attempts := range s.leader.live {
		for attempt := range attempts {
			if s.recorded[attempt] == "" {
				delete(attempts, attempt)
			}
		}
	}
}

func (s *leaderSequence) commitStart(t *testing.T) {
	t.Helper()
	writer := s.leader.writer
	s.attempts++
	machine := s.machines[s.attempts%uint64(len(s.machines))]
	attempt := Attempt{Task: fmt.Sprintf("j-%06d/0", s.attempts), Number: s.attempts, Epoch: 1}
	s.leader.live[machine][attempt] = true
	writer.AttemptPlaced(machine, attempt, "j-1", JobUse{Team: "x"}, func() { s.recorded[attempt] = machine })
	if writer.Backlog() > constants.CheckpointEntries {
		writer.BeginCheckpoint(slices.Clone(s.machines), nil, s.leader, nil) // unless one is being written
	}

	before := writer.Backlog()
	commitNext(t, s.store, writer, nil)
	if writer.Backlog() > constants.LogRingSize-constants.LogSlack {
		t.Fatalf("term %d: %d entries are to be read", s.term, writer.Backlog())
	}
	if writer.Backlog() == before && writer.Checkpointing() {
		s.withoutEntry++
	}
}

// checkRecorded: whatever is known to stand is read back.
func (s *leaderSequence) checkRecorded(t *testing.T) {
	t.Helper()
	state, _, err := Read(s.store.allRows())
	if err != nil {
		t.Fatal(err)
	}
	for attempt, name := range s.recorded {
		if machine := state.Machines[name]; machine == nil || !slices.Contains(machine.Attempts, attempt) {
			t.Fatalf("%v stood on %s and is not read back", attempt, name)
		}
	}
}
