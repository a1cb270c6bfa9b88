package userapi

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// slowStore takes a while for each transaction, as a service in another place does.
type slowStore struct {
	*memory
	mu    sync.Mutex
	takes time.Duration
}

func (s *slowStore) Txn(ctx context.Context, class statestore.Class, when []statestore.Condition, writes []statestore.Write) (uint64, error) {
	time.Sleep(s.takes)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Txn(ctx, class, when, writes)
}

// TestPollsOfALargeFleet: with the fewest changes a transaction that may come to be
// allowed, one node answers the polls of thousands of jobs within its users' time, and
// with no more transactions than it takes to carry them. One batch at a time settled
// some 60 polls a second, which 300 open jobs use up.
func TestPollsOfALargeFleet(t *testing.T) {
	const jobCount, every = 2000, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{memory: &memory{rows: map[string]statestore.KeyValue{}, stamp: 10}, takes: 40 * time.Millisecond}
		s, err := NewServer(store, nil, config.StateLimits{TxnOps: constants.MinTxnOps, ValueKB: 2}, 4, nil, allRunning, nil, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		for i := range jobCount {
			id := fmt.Sprintf("j-%06d", i)
			store.rows[jobs.OpenPrefix+id] = statestore.KeyValue{Key: jobs.OpenPrefix + id, Revision: uint64(i + 1)}
			s.mirror.learn(id, uint64(i+1), jobs.Dependencies{})
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.ServeStatusQueries(ctx) }()
		var failed atomic.Int64
		var wait sync.WaitGroup
		for i := range jobCount {
			wait.Go(func() {
				time.Sleep(every * time.Duration(i) / jobCount)
				patience, stop := context.WithTimeout(ctx, constants.PollTimeout)
				defer stop()
				if _, found, err := s.ask(patience, fmt.Sprintf("j-%06d", i)); err != nil || !found {
					failed.Add(1)
				}
			})
		}
		wait.Wait()
		cancel()
		if n := failed.Load(); n > 0 {
			t.Errorf("%d of %d polls without an answer", n, jobCount)
		}
		// Each takes one condition, and the last batch of a window may not be full.
		if most := jobCount/s.batchSize() + int(every/constants.PollBatchWindow) + 1; store.multis > most || store.gets > 0 {
			t.Errorf("%d transactions and %d reads, at most %d and none", store.multis, store.gets, most)
		}
	})
}
