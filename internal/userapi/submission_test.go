package userapi

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
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

// blockingStore blocks the transactions of submissions until the channel unblocked is closed.
type blockingStore struct {
	*memoryStore
	unblocked chan struct{}
}

func (s *blockingStore) Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error) {
	if class == statestore.ClassSubmit {
		<-s.unblocked
	}
	return s.memoryStore.Txn(ctx, class, conditions, writes)
}

// TestSubmissionLimit checks that a submission beyond the limit is rejected at once with
// Retry-After, while status queries and cancellations are still answered.
func TestSubmissionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 4
		store := &blockingStore{memoryStore: newMemoryStore(), unblocked: make(chan struct{})}
		server := newTestServer(t, store, func(options *Options) {
			options.MaxSubmissions = limit
			options.Progress = nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		var serving sync.WaitGroup
		defer serving.Wait()
		defer cancel()
		serving.Go(func() { _ = server.ServeStatusQueries(ctx) })
		handler := newHandler(server)
		submit := func(id string) *httptest.ResponseRecorder {
			return request(handler, "POST", "/work", string(jobstest.Edit(t, func(fields map[string]any) { fields["nameId"] = id })))
		}

		// Fill all submission slots.
		var accepted [limit]*httptest.ResponseRecorder
		var users sync.WaitGroup
		for i := range limit {
			users.Go(func() { accepted[i] = submit(fmt.Sprintf("j-%06d", i)) })
		}
		synctest.Wait()

		start := time.Now()
		rejected := submit("j-000009")
		if rejected.Code != http.StatusServiceUnavailable || rejected.Header().Get("Retry-After") == "" || time.Since(start) != 0 {
			t.Errorf("submission beyond the limit: %d after %v", rejected.Code, time.Since(start))
		}
		if query := request(handler, "GET", "/work/j-000009", ""); query.Code != http.StatusNotFound {
			t.Errorf("status query at the limit: %d", query.Code)
		}
		if cancellation := request(handler, "POST", "/work/j-000009/cancel", ""); cancellation.Code != http.StatusNotFound {
			t.Errorf("cancellation at the limit: %d", cancellation.Code)
		}

		close(store.unblocked)
		users.Wait()
		for _, response := range accepted {
			if response.Code != http.StatusCreated {
				t.Errorf("submission within the limit: %d", response.Code)
			}
		}
		if retried := submit("j-000009"); retried.Code != http.StatusCreated {
			t.Errorf("submission after slots were released: %d", retried.Code)
		}
	})
}

// Outcomes of a transaction.
const (
	executed     = ""
	responseLost = "lost" // executed at once, but the response is lost
	executedLate = "late" // executed some time later, without a response
)

// lossyStore is a state service that loses the responses to some transactions, or executes
// them late.
type lossyStore struct {
	*memoryStore
	// outcomes holds the outcomes of the next transactions. Later ones are executed normally.
	outcomes []string
	// delayed holds the transactions to be executed late; each may be executed more than once.
	delayed []func()
}

func (s *lossyStore) Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error) {
	outcome := executed
	if len(s.outcomes) > 0 {
		outcome, s.outcomes = s.outcomes[0], s.outcomes[1:]
	}
	execute := func() { _, _ = s.memoryStore.Txn(ctx, class, conditions, writes) }
	switch outcome {
	case responseLost:
		execute()
		return 0, statestore.ErrOutcomeUnknown
	case executedLate:
		s.delayed = append(s.delayed, execute)
		return 0, statestore.ErrOutcomeUnknown
	}
	return s.memoryStore.Txn(ctx, class, conditions, writes)
}

// countNextUnanswered returns how many of the next transactions get no response, up to the
// first that gets one.
func (s *lossyStore) countNextUnanswered() int {
	count := 0
	for _, outcome := range s.outcomes {
		if outcome == executed {
			break
		}
		count++
	}
	return count
}

// executeSomeDelayed executes a random subset of the delayed transactions.
func (s *lossyStore) executeSomeDelayed(t *rapid.T) {
	for _, execute := range s.delayed {
		if rapid.Bool().Draw(t, "execute") {
			execute()
		}
	}
}

// postUntilAnswered repeats a POST request until its response isn't 503. A 503 is allowed only
// if all attempts at a transaction went unanswered.
func postUntilAnswered(t *rapid.T, handler http.Handler, store *lossyStore, path, body string) (status int, answer string) {
	for {
		unanswered := store.countNextUnanswered()
		response := request(handler, "POST", path, body)
		if response.Code != http.StatusServiceUnavailable {
			return response.Code, response.Body.String()
		}
		if unanswered < constants.MaxUserTxnAttempts {
			t.Fatalf("%s: 503 after %d unanswered transactions", path, unanswered)
		}
	}
}

// TestUnansweredTxnIsRetried checks that a user's transaction is resent at once if its
// response is lost or it is executed late. The user gets a response, which stays true, and a
// late execution changes nothing.
func TestUnansweredTxnIsRetried(t *testing.T) {
	const id = "j-000412"
	submission := string(jobstest.Edit(t, func(map[string]any) {}))
	rapid.Check(t, func(t *rapid.T) {
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]string{executed, executed, responseLost, executedLate}), 0, 12).Draw(t, "outcomes")
		store := &lossyStore{memoryStore: newMemoryStore(), outcomes: outcomes}
		handler := newHandler(newTestServer(t, store, nil))
		post := func(path, body string) (status int, answer string) {
			return postUntilAnswered(t, handler, store, path, body)
		}

		status, answer := post("/work", submission)
		if status != http.StatusCreated && status != http.StatusOK || !strings.Contains(answer, id) || strings.Contains(answer, jobs.StatusCancelled) {
			t.Fatalf("submission: %d %s", status, answer)
		}
		record := store.records[jobs.OpenPrefix+id]
		store.executeSomeDelayed(t)
		if now := store.records[jobs.OpenPrefix+id]; record.Revision == 0 || now.Revision != record.Revision {
			t.Fatalf("accepted at revision %d, the record now has %d", record.Revision, now.Revision)
		}

		status, answer = post("/work/"+id+"/cancel", "")
		if status != http.StatusOK || !strings.Contains(answer, jobs.StatusCancelled) {
			t.Fatalf("cancellation: %d %s", status, answer)
		}
		store.executeSomeDelayed(t)
		_, open := store.records[jobs.OpenPrefix+id]
		final := string(store.records[jobs.FinalPrefix+id].Value)
		if open || !strings.Contains(final, jobs.StatusCancelled) {
			t.Fatalf("after the cancellation: open %v, %s", open, final)
		}
	})
}

// TestUnknownFieldsOfOtherCaseChangeNoJob guards against a submission that is recorded under the ID or
// with the zone of an unknown field: the user's job would be unknown, another one would exist that
// nobody submitted, and its tasks would run where the user forbade it.
func TestUnknownFieldsOfOtherCaseChangeNoJob(t *testing.T) {
	store := newMemoryStore()
	server := newTestServer(t, store, func(options *Options) {
		types := slices.Clone(testMachineTypes)
		types[0].Zones = []string{"a", "b"}
		options.MachineTypes = func() []jobs.MachineType { return types }
	})
	handler := newHandler(server)
	body := string(jobstest.Edit(t, func(fields map[string]any) { fields["hall"] = "a" }))
	body = strings.TrimSuffix(body, "}") + `,"NameID":"j-000399","Hall":"b","Loaners":false}`
	if response := request(handler, "POST", "/work", body); response.Code != http.StatusCreated || !strings.Contains(response.Body.String(), `"j-000412"`) {
		t.Fatalf("submission answered %d %s, want 201 for j-000412", response.Code, response.Body)
	}
	if len(store.records) != 1 {
		t.Errorf("recorded %v, want one job", store.records)
	}
	record := string(store.records[jobs.OpenPrefix+"j-000412"].Value)
	for _, want := range []string{`"nameId":"j-000412"`, `"hall":"a"`, `"loaners":true`} {
		if !strings.Contains(record, want) {
			t.Errorf("record %s does not contain %s", record, want)
		}
	}
}

// TestMalformedRepeatOfAcceptedJobIsAnswered guards against a job that is accepted by one version of the
// program and rejected with 400 by another, when its user repeats the submission during an upgrade. Earlier
// versions took an unknown field "RamGb" for a missing "ramGb".
func TestMalformedRepeatOfAcceptedJobIsAnswered(t *testing.T) {
	store := newMemoryStore()
	handler := newHandler(newTestServer(t, store, nil))
	malformed := string(jobstest.Edit(t, func(fields map[string]any) {
		fields["RamGb"] = fields["ramGb"]
		delete(fields, "ramGb")
	}))
	if response := request(handler, "POST", "/work", malformed); response.Code != http.StatusBadRequest || !strings.Contains(response.Body.String(), "ramGb") {
		t.Errorf("first submission answered %d %s, want 400 for ramGb", response.Code, response.Body)
	}
	if response := request(handler, "POST", "/work", jobstest.Submission); response.Code != http.StatusCreated {
		t.Fatalf("accepting version answered %d %s", response.Code, response.Body)
	}
	if response := request(handler, "POST", "/work", malformed); response.Code != http.StatusOK || !strings.Contains(response.Body.String(), `"j-000412"`) {
		t.Errorf("repeated submission answered %d %s, want 200 for j-000412", response.Code, response.Body)
	}
	store.unavailable = true
	if response := request(handler, "POST", "/work", malformed); response.Code != http.StatusServiceUnavailable {
		t.Errorf("without the state service: %d %s, want 503", response.Code, response.Body)
	}
	for _, body := range []string{`{}`, `[`, `{"nameId":"x"}`, `{"nameId":7}`} {
		if response := request(handler, "POST", "/work", body); response.Code != http.StatusBadRequest {
			t.Errorf("%s without the state service: %d, want 400", body, response.Code)
		}
	}
}
