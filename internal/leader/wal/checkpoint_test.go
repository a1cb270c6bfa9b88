package wal

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
)

// TestCheckpointCompletesUnderLoad uses the smallest limits on transactions and values that
// the state service may impose, and more changes than fit into them. The checkpoint of a
// large fleet must complete before the ring is full. This includes the case that a job ends
// in every transaction, which leaves a single operation for entries and parts to share: only
// a few transactions in a row may then carry no entry, so that starts are not blocked.
func TestCheckpointCompletesUnderLoad(t *testing.T) {
	for _, machines := range []int{500, 4000, 6000} {
		for _, jobsEnd := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d machines, jobs end %v", machines, jobsEnd), func(t *testing.T) {
				runCheckpointUnderLoad(t, machines, jobsEnd)
			})
		}
	}
}

// maxTxnsWithoutEntry is how many transactions in a row may carry no entry where a job ends
// in each of them. Where no job ends, every transaction must carry one.
const maxTxnsWithoutEntry = 5

func runCheckpointUnderLoad(t *testing.T, machines int, jobsEnd bool) {
	t.Helper()
	limits := Limits{ValueBytes: 2048, TxnOps: constants.MinTxnOps}
	fleet := newLoadedFleet(limits, machines, 100) // about the size of the images and other metadata (bytes)
	writer := fleet.writer
	checkpoints, txnsWithoutEntry := 0, 0
	for i := range 6 * constants.LogRingSize {
		fleet.placeAttempts(40) // more than fit into one value
		var jobWrites []JobWrite
		if jobsEnd {
			jobWrites = append(jobWrites, jobEndWrite(fmt.Sprint("j-", i)))
		}
		if writer.Backlog() > constants.MinCheckpointEntries {
			// No effect while a checkpoint is being written.
			writer.BeginCheckpoint(fleet.machines, nil, fleet.leader, func() { checkpoints++ })
		}
		before := writer.Head().Next
		commitNext(t, fleet.store, writer, jobWrites) // also checks the limits

		if maxBacklog := constants.LogRingSize - constants.LogFreeKeys - limits.TxnOps; writer.Backlog() > maxBacklog {
			t.Fatal("the ring is full")
		}
		if writer.Head().Next > before {
			txnsWithoutEntry = 0
			continue
		}
		if txnsWithoutEntry++; !jobsEnd || txnsWithoutEntry > maxTxnsWithoutEntry {
			t.Fatalf("no entry written at a backlog of %d entries, after %d checkpoints", writer.Backlog(), checkpoints)
		}
	}
	if checkpoints < 2 {
		t.Errorf("%d checkpoints completed, want at least 2", checkpoints)
	}
}

// jobEndWrite returns the job write that moves a job from the open jobs to the final ones.
func jobEndWrite(id string) JobWrite {
	return JobWrite{Writes: []statestore.Write{{Delete: "open/" + id}, {Put: "final/" + id, Value: json.RawMessage(`{}`)}}}
}

// TestRepeatedFailoverBeforeCheckpointCompletes ends each term before its checkpoint is
// complete, so that every new leader starts another one and the ring fills up. No live entry
// may be overwritten, no start may be reported as committed that is not, and the first leader
// that stays long enough must bring the backlog down again.
func TestRepeatedFailoverBeforeCheckpointCompletes(t *testing.T) {
	sequence := newLeaderSequence(300)
	for sequence.partOnlyTxns == 0 && sequence.term < 1000 {
		sequence.runTerm(t, 12)
	}
	if sequence.partOnlyTxns == 0 {
		t.Fatal("the ring never became full")
	}
	for range 5 {
		sequence.runTerm(t, 12)
		sequence.checkRecorded(t)
	}

	before := len(sequence.recorded)
	sequence.runTerm(t, 600)
	sequence.checkRecorded(t)
	if backlog := sequence.leader.writer.Backlog(); backlog > 2*constants.MinCheckpointEntries || len(sequence.recorded) < before+400 {
		t.Errorf("backlog of %d entries, %d starts committed, %d before", backlog, len(sequence.recorded), before)
	}
}

// leaderSequence is a sequence of leaders, each of which continues from the log of the
// previous one.
type leaderSequence struct {
	store        *fakeStore
	leader       *leaderModel
	term         uint64
	machines     []string
	attemptCount uint64
	// recorded maps the starts that are known to be committed to their machine.
	recorded map[Attempt]string
	// partOnlyTxns counts the transactions that held only checkpoint parts.
	partOnlyTxns int
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

// runTerm lets the next leader commit the given number of transactions, each with one start.
func (s *leaderSequence) runTerm(t *testing.T, transactions int) {
	t.Helper()
	s.term++
	head, err := s.store.head()
	if err != nil {
		t.Fatal(err)
	}
	s.leader.writer = NewWriter(s.term, Limits{ValueBytes: 600, TxnOps: 4}, head, s.store.revisions[HeadKey])
	s.dropUnrecordedAttempts()
	for range transactions {
		s.commitStart(t)
	}
}

// dropUnrecordedAttempts removes the attempts that the previous leader had planned but not
// committed; they were never started.
func (s *leaderSequence) dropUnrecordedAttempts() {
	for _, attempts := range s.leader.liveAttempts {
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
	s.attemptCount++
	machine := s.machines[s.attemptCount%uint64(len(s.machines))]
	attempt := Attempt{Task: fmt.Sprintf("j-%06d/0", s.attemptCount), Number: s.attemptCount, Epoch: 1}
	s.leader.liveAttempts[machine][attempt] = true
	writer.AttemptPlaced(machine, attempt, "j-1", JobUsage{Team: "x"}, func() { s.recorded[attempt] = machine })
	if writer.Backlog() > constants.MinCheckpointEntries {
		writer.BeginCheckpoint(slices.Clone(s.machines), nil, s.leader, nil) // no effect while one is being written
	}

	before := writer.Backlog()
	commitNext(t, s.store, writer, nil)
	if writer.Backlog() > constants.LogRingSize-constants.LogFreeKeys {
		t.Fatalf("term %d: backlog of %d entries, want at most LogRingSize-LogFreeKeys", s.term, writer.Backlog())
	}
	if writer.Backlog() == before && writer.Checkpointing() {
		s.partOnlyTxns++
	}
}

// checkRecorded fails if a start that is known to be committed is not read back.
func (s *leaderSequence) checkRecorded(t *testing.T) {
	t.Helper()
	state, _, err := Replay(s.store.allRows())
	if err != nil {
		t.Fatal(err)
	}
	for attempt, name := range s.recorded {
		if machine := state.Machines[name]; machine == nil || !slices.Contains(machine.Attempts, attempt) {
			t.Fatalf("%v on %s was committed but is not read back", attempt, name)
		}
	}
}
