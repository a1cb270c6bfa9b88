package userapi

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/jobs/jobstest"
	"thornnotch/internal/statestore"
)

// gatedStore is a state service that holds submissions back until the gate is closed.
type gatedStore struct {
	*memoryStore
	gate chan struct{}
}

func (s *gatedStore) Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error) {
	if class == statestore.ClassSubmit {
		<-s.gate
	}
	return s.memoryStore.Txn(ctx, class, conditions, writes)
}

// TestTooManySubmissions: what can't be recorded in time is told so at once,
// with a time to come back, while polls and cancellations are answered.
func TestTooManySubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const atOnce = 4
		store := &gatedStore{memoryStore: newMemoryStore(), gate: make(chan struct{})}
		server := newTestServer(t, store, func(options *Options) {
			options.MaxSubmissions = atOnce
			options.Progress = nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		var serving sync.WaitGroup
		defer serving.Wait()
		defer cancel()
		serving.Go(func() { _ = server.ServeStatusQueries(ctx) })
		handler := handlerOf(server)
		submit := func(id string) *httptest.ResponseRecorder {
			return request(handler, "POST", "/work", string(jobstest.Edit(t, func(fields map[string]any) { fields["nameId"] = id })))
		}

		// As many as are taken at once are under way.
		var taken [atOnce]*httptest.ResponseRecorder
		var users sync.WaitGroup
		for i := range atOnce {
			users.Go(func() { taken[i] = submit(fmt.Sprintf("j-%06d", i)) })
		}
		synctest.Wait()

		began := time.Now()
		refused := submit("j-000009")
		if refused.Code != http.StatusServiceUnavailable || refused.Header().Get("Retry-After") == "" || time.Since(began) != 0 {
			t.Errorf("one too many: %d after %v", refused.Code, time.Since(began))
		}
		if poll := request(handler, "GET", "/work/j-000009", ""); poll.Code != http.StatusNotFound {
			t.Errorf("a poll meanwhile: %d", poll.Code)
		}
		if cancellation := request(handler, "POST", "/work/j-000009/cancel", ""); cancellation.Code != http.StatusNotFound {
			t.Errorf("a cancellation meanwhile: %d", cancellation.Code)
		}

		close(store.gate)
		users.Wait()
		for _, response := range taken {
			if response.Code != http.StatusCreated {
				t.Errorf("one that was taken: %d", response.Code)
			}
		}
		if again := submit("j-000009"); again.Code != http.StatusCreated {
			t.Errorf("there is room again: %d", again.Code)
		}
	})
}

// Fates of a transaction.
const (
	answered       = ""
	answerLost     = "lost" // carried out at once, but its sender is not told
	carriedOutLate = "late" // carried out some time later; its sender is not told
)

// lossyStore is a state service that carries transactions out and loses their answers, or
// carries them out later.
type lossyStore struct {
	*memoryStore
	// fates are those of the next transactions; all further ones are answered.
	fates []string
	// late are the transactions not carried out yet; each may come more than once.
	late []func()
}

func (s *lossyStore) Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error) {
	fate := answered
	if len(s.fates) > 0 {
		fate, s.fates = s.fates[0], s.fates[1:]
	}
	carryOut := func() { _, _ = s.memoryStore.Txn(ctx, class, conditions, writes) }
	switch fate {
	case answerLost:
		carryOut()
		return 0, statestore.ErrOutcomeUnknown
	case carriedOutLate:
		s.late = append(s.late, carryOut)
		return 0, statestore.ErrOutcomeUnknown
	}
	return s.memoryStore.Txn(ctx, class, conditions, writes)
}

// nextUnanswered is how many of the next transactions get no answer.
func (s *lossyStore) nextUnanswered() int {
	count := 0
	for _, fate := range s.fates {
		if fate == answered {
			break
		}
		count++
	}
	return count
}

// carryOutSome has some of the late transactions arrive.
func (s *lossyStore) carryOutSome(t *rapid.T) {
	for _, carryOut := range s.late {
		if rapid.Bool().Draw(t, "arrives") {
			carryOut()
		}
	}
}

// askUntilAnswered posts to a path until there is an answer. There must be one unless all
// attempts at a transaction go without.
func askUntilAnswered(t *rapid.T, handler http.Handler, store *lossyStore, path, body string) (status int, answer string) {
	for {
		unanswered := store.nextUnanswered()
		response := request(handler, "POST", path, body)
		if response.Code != http.StatusServiceUnavailable {
			return response.Code, response.Body.String()
		}
		if unanswered < constants.UserTxnAttempts {
			t.Fatalf("%s: 503 after %d without an answer", path, unanswered)
		}
	}
}

// TestUnansweredIsSentAgain: a user's transaction whose answer is lost, or that is
// carried out late, is sent again at once. The user is answered, what was answered
// holds, and what comes late changes nothing.
func TestUnansweredIsSentAgain(t *testing.T) {
	const id = "j-000412"
	good := string(jobstest.Edit(t, func(map[string]any) {}))
	rapid.Check(t, func(t *rapid.T) {
		fates := rapid.SliceOfN(rapid.SampledFrom([]string{answered, answered, answerLost, carriedOutLate}), 0, 12).Draw(t, "fates")
		store := &lossyStore{memoryStore: newMemoryStore(), fates: fates}
		handler := handlerOf(newTestServer(t, store, nil))
		ask := func(path, body string) (status int, answer string) {
			return askUntilAnswered(t, handler, store, path, body)
		}

		status, answer := ask("/work", good)
		if status != http.StatusCreated && status != http.StatusOK || !strings.Contains(answer, id) || strings.Contains(answer, jobs.StatusCancelled) {
			t.Fatalf("submission: %d %s", status, answer)
		}
		record := store.rows[jobs.OpenPrefix+id]
		store.carryOutSome(t)
		if now := store.rows[jobs.OpenPrefix+id]; record.Revision == 0 || now.Revision != record.Revision {
			t.Fatalf("accepted at %d, stands at %d", record.Revision, now.Revision)
		}

		status, answer = ask("/work/"+id+"/cancel", "")
		if status != http.StatusOK || !strings.Contains(answer, jobs.StatusCancelled) {
			t.Fatalf("cancellation: %d %s", status, answer)
		}
		store.carryOutSome(t)
		_, open := store.rows[jobs.OpenPrefix+id]
		final := string(store.rows[jobs.FinalPrefix+id].Value)
		if open || !strings.Contains(final, jobs.StatusCancelled) {
			t.Fatalf("after the cancellation: open %v, %s", open, final)
		}
	})
}
