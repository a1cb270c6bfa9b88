package leader

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// loopStore is a state service that holds only the term record. It accepts every transaction but
// stores only the written keys, and its watch reports the changes that a test sends.
type loopStore struct {
	changes chan []statestore.Change

	mu           sync.Mutex // guards the fields below
	termRevision uint64
	revision     uint64
	written      []string // keys
}

func newLoopStore() *loopStore {
	return &loopStore{changes: make(chan []statestore.Change), termRevision: 7, revision: 100}
}

func (s *loopStore) Get(_ context.Context, _ statestore.Class, key string) (statestore.KeyValue, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return statestore.KeyValue{Key: key, Revision: s.termRevision}, key == election.TermKey, nil
}

func (s *loopStore) List(context.Context, statestore.Class, string) ([]statestore.KeyValue, uint64, error) {
	return nil, 100, nil
}

func (s *loopStore) Txn(_ context.Context, _ statestore.Class, _ []statestore.Condition, writes []statestore.Write) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range writes {
		s.written = append(s.written, write.Put+write.Delete)
	}
	s.revision++
	return s.revision, nil
}

func (s *loopStore) Watch(ctx context.Context, _ string, fromRevision uint64, maxWait time.Duration) (uint64, []statestore.Change, error) {
	select {
	case changes := <-s.changes:
		return fromRevision + 1, changes, nil
	case <-time.After(maxWait):
		return fromRevision, nil, nil
	case <-ctx.Done():
		return fromRevision, nil, ctx.Err()
	}
}

// hasWritten reports whether a key was written.
func (s *loopStore) hasWritten(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.written, key)
}

// startRun runs a leader on the store. The returned function stops it and returns the result
// of Run.
func startRun(t *testing.T, store *loopStore) (l *Leader, stop func() error) {
	t.Helper()
	l = testLeader(t)
	l.deps.Store, l.deps.Cloud = store, &countingCloud{}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	return l, func() error {
		cancel()
		return <-ended
	}
}

// sendHeartbeatsUntilCommands sends up to nine heartbeats of machine m-1 until a reply carries
// commands. It returns these commands, or nil if no reply carries any.
func sendHeartbeatsUntilCommands(t *testing.T, l *Leader) []workers.Command {
	t.Helper()
	for sequence := uint64(1); sequence < 10; sequence++ {
		heartbeat := &workers.Heartbeat{Machine: "m-1", MachineType: "g4", Zone: "east", Epoch: 1, Sequence: sequence, Token: 3}
		reply, ok := l.Heartbeat(t.Context(), heartbeat)
		if !ok || reply.Status != 200 {
			t.Fatalf("heartbeat %d: answered %v, status %d", sequence, ok, reply.Status)
		}
		if len(reply.Batch.Commands) > 0 {
			return reply.Batch.Commands
		}
		time.Sleep(time.Second)
	}
	return nil
}

// TestSubmissionReachesMachine checks that a submission reported by the watch passes through
// the loop, a scheduling pass and a transaction, and reaches a machine in the reply to its
// heartbeat. When its context ends, Run waits for everything that it has started.
func TestSubmissionReachesMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newLoopStore()
		l, stop := startRun(t, store)
		record, err := json.Marshal(jobs.Record{Spec: arraySpec("j-1", 1), AcceptedAtMS: time.Now().UnixMilli()})
		if err != nil {
			t.Fatal(err)
		}
		store.changes <- []statestore.Change{{Put: jobs.OpenPrefix + "j-1", Value: record, Revision: 101}}

		commands := sendHeartbeatsUntilCommands(t, l)
		if len(commands) != 1 || commands[0].Verb != workers.VerbRun {
			t.Errorf("the machine received commands %+v, want one run command", commands)
		}
		if !store.hasWritten(wal.HeadKey) {
			t.Error("commands were sent before anything was committed")
		}
		if progress := l.Progress(t.Context(), []string{"j-1", "j-2"}); len(progress) != 1 {
			t.Errorf("progress %v, want only that of j-1", progress)
		}
		if status, ok := l.Status(t.Context()); !ok || status.Term != 3 || len(status.Queue) != 1 {
			t.Errorf("status (ok %v): %+v", ok, status)
		}
		if err := stop(); !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v, want context.Canceled", err)
		}
		if _, ok := l.Status(t.Context()); ok {
			t.Error("the leader answers status requests after its end")
		}
	})
}

// TestRunEndsIfDeposedDuringLoad checks that Run ends with ErrDeposed, without writing
// anything, if another node started a newer term while the records were loaded.
func TestRunEndsIfDeposedDuringLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newLoopStore()
		store.termRevision++
		l, stop := startRun(t, store)
		time.Sleep(constants.TickInterval)
		if err := stop(); !errors.Is(err, ErrDeposed) {
			t.Errorf("Run returned %v, want ErrDeposed", err)
		}
		if len(store.written) > 0 {
			t.Errorf("deposed leader wrote %v", store.written)
		}
		if _, ok := l.Heartbeat(t.Context(), &workers.Heartbeat{Machine: "m-1", Epoch: 1, Sequence: 1}); ok {
			t.Error("the leader answers heartbeats after its end")
		}
	})
}
