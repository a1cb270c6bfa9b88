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

// loopStore is a state service that holds no records at first and carries out every
// transaction.
type loopStore struct {
	changes chan []statestore.Change

	mu           sync.Mutex // guards what follows
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

func (s *loopStore) Watch(ctx context.Context, _ string, from uint64, block time.Duration) (uint64, []statestore.Change, error) {
	select {
	case changes := <-s.changes:
		return from + 1, changes, nil
	case <-time.After(block):
		return from, nil, nil
	case <-ctx.Done():
		return from, nil, ctx.Err()
	}
}

// wrote tells whether a key was written.
func (s *loopStore) wrote(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.written, key)
}

// startRun has a leader run on the store. The returned function ends it, and returns what Run
// did.
func startRun(t *testing.T, store *loopStore) (l *Leader, stop func() error) {
	t.Helper()
	l = testLeader(t)
	l.deps.Store, l.deps.Cloud = store, &cloudCalls{}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	return l, func() error {
		cancel()
		return <-ended
	}
}

// heartbeatsUntilCommanded has a machine send heartbeats until it is told something.
func heartbeatsUntilCommanded(t *testing.T, l *Leader) []workers.Command {
	t.Helper()
	for sequence := uint64(1); sequence < 10; sequence++ {
		heartbeat := &workers.Heartbeat{Machine: "m-1", MachineType: "g4", Zone: "east", Epoch: 1, Sequence: sequence, Token: 3}
		reply, ok := l.Heartbeat(t.Context(), heartbeat)
		if !ok || reply.Status != 200 {
			t.Fatalf("heartbeat %d: %v, %d", sequence, ok, reply.Status)
		}
		if len(reply.Answer.Commands) > 0 {
			return reply.Answer.Commands
		}
		time.Sleep(time.Second)
	}
	return nil
}

// TestSubmissionReachesAMachine: a submission that the watch tells of comes by the loop, a
// pass and a transaction to a machine, with the reply to its heartbeat. Once its context ends
// Run waits for all that it has started.
func TestSubmissionReachesAMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newLoopStore()
		l, stop := startRun(t, store)
		record, err := json.Marshal(jobs.Record{Spec: arraySpec("j-1", 1), AcceptedAtMS: time.Now().UnixMilli()})
		if err != nil {
			t.Fatal(err)
		}
		store.changes <- []statestore.Change{{Put: jobs.OpenPrefix + "j-1", Value: record, Revision: 101}}

		commands := heartbeatsUntilCommanded(t, l)
		if len(commands) != 1 || commands[0].Verb != workers.VerbRun {
			t.Errorf("the machine is told %+v", commands)
		}
		if !store.wrote(wal.HeadKey) {
			t.Error("it was told before anything was recorded")
		}
		if progress := l.Progress(t.Context(), []string{"j-1", "j-2"}); len(progress) != 1 {
			t.Errorf("progress %v", progress)
		}
		if status, ok := l.Status(t.Context()); !ok || status.Term != 3 || len(status.Queue) != 1 {
			t.Errorf("status %v: %+v", ok, status)
		}
		if err := stop(); !errors.Is(err, context.Canceled) {
			t.Errorf("ended: %v", err)
		}
		if _, ok := l.Status(t.Context()); ok {
			t.Error("it answers after its end")
		}
	})
}

// TestRunEndsWithItsTerm: a leader that finds another's term once its records are read ends
// with the reason, and decides nothing.
func TestRunEndsWithItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newLoopStore()
		store.termRevision++
		l, stop := startRun(t, store)
		time.Sleep(constants.TickInterval)
		if err := stop(); !errors.Is(err, ErrDeposed) {
			t.Errorf("ended: %v", err)
		}
		if len(store.written) > 0 {
			t.Errorf("written: %v", store.written)
		}
		if _, ok := l.Heartbeat(t.Context(), &workers.Heartbeat{Machine: "m-1", Epoch: 1, Sequence: 1}); ok {
			t.Error("it answers workers after its end")
		}
	})
}
