package userapi

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/jobs/jobstest"
	"thornnotch/internal/statestore"
)

// memory is a state service in a map; down makes it answer 503.
type memory struct {
	lock  sync.Mutex
	rows  map[string]statestore.KeyValue
	stamp uint64
	down  bool
	// calls counts reads and transactions; before runs ahead of each of these.
	gets, multis int
	before       func()
}

func (m *memory) Get(_ context.Context, _ statestore.Class, key string) (statestore.KeyValue, bool, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.gets++
	if m.down {
		return statestore.KeyValue{}, false, statestore.ErrUnavailable
	}
	r, ok := m.rows[key]
	return r, ok, nil
}

func (m *memory) Txn(_ context.Context, _ statestore.Class, when []statestore.Condition, writes []statestore.Write) (uint64, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.multis++
	if m.before != nil {
		m.before()
	}
	if m.down {
		return 0, statestore.ErrOutcomeUnknown
	}
	c := &statestore.ConflictError{}
	for _, w := range when {
		if m.rows[w.Key].Revision != w.Revision {
			c.FailedKeys = append(c.FailedKeys, w.Key)
		}
	}
	if len(c.FailedKeys) > 0 {
		return 0, c
	}
	m.stamp++
	for _, w := range writes {
		if w.Delete != "" {
			delete(m.rows, w.Delete)
		} else {
			m.rows[w.Put] = statestore.KeyValue{Key: w.Put, Value: w.Value, Revision: m.stamp}
		}
	}
	return m.stamp, nil
}

func (m *memory) List(context.Context, statestore.Class, string) ([]statestore.KeyValue, uint64, error) {
	return nil, 0, statestore.ErrUnavailable
}

func (m *memory) Watch(context.Context, string, uint64, time.Duration) (uint64, []statestore.Change, error) {
	return 0, nil, statestore.ErrUnavailable
}

// allRunning is a leader that knows every job.
func allRunning(_ context.Context, ids []string) map[string]TaskCounts {
	out := map[string]TaskCounts{}
	for _, id := range ids {
		out[id] = TaskCounts{3, 13}
	}
	return out
}

// TestAnswers walks through all that users may be told, good and bad.
func TestAnswers(t *testing.T) {
	store := &memory{rows: map[string]statestore.KeyValue{}}
	types := []jobs.MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}
	catalog := types
	s, err := NewServer(store, []config.Team{{Name: "vision", MaxGPUs: 16}}, config.StateLimits{TxnOps: 12, ValueKB: 16}, 4, func() []jobs.MachineType { return catalog },
		allRunning, func() bool { return len(catalog) > 0 }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = s.ServeStatusQueries(ctx) }()
	mux := http.NewServeMux()
	s.Register(mux)
	ask := func(method, path, body string, want int, holds string) {
		t.Helper()
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		if w.Code != want || !strings.Contains(w.Body.String(), holds) {
			t.Errorf("%s %s: %d %s, want %d with %q", method, path, w.Code, strings.TrimSpace(w.Body.String()), want, holds)
		}
		if strings.Count(w.Body.String(), "\n") > 1 {
			t.Errorf("%s %s: more than a line", method, path)
		}
		if w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s: 503 without a time to come back", method, path)
		}
	}
	job := func(edit func(map[string]any)) string { return string(jobstest.Edit(t, edit)) }
	good := job(func(map[string]any) {})

	catalog = nil
	ask("GET", "/ready", "", 503, "")
	ask("POST", "/work", good, 503, "")
	catalog = types
	ask("GET", "/ready", "", 200, "")
	ask("POST", "/work", "", 400, "not a JSON object")
	ask("POST", "/work", job(func(m map[string]any) { m["vcpus"] = -1 }), 400, `"field":"vcpus"`)
	ask("POST", "/work", `{"nameId":"`+strings.Repeat("x", 70<<10)+`"}`, 400, "")
	ask("POST", "/work", job(func(m map[string]any) { m["owner"] = "nobody" }), 422, "nobody")
	ask("GET", "/work/j-000412", "", 404, "")
	ask("POST", "/work/j-000412/cancel", "", 404, "")
	ask("POST", "/work", good, 201, `"status":"pending"`)
	ask("POST", "/work", good, 200, `"status":"running"`)
	ask("GET", "/work/j-000412", "", 200, `"done":3,"running":13`)
	// An accepted job stays accepted, even if the catalog changes.
	catalog = []jobs.MachineType{{Name: "other", CPUs: 1, MemoryGB: 1, Zones: []string{"a"}}}
	ask("POST", "/work", good, 200, "")
	catalog = types
	store.down = true
	ask("GET", "/work/j-000412", "", 503, "")
	ask("POST", "/work", good, 503, "")
	ask("POST", "/work/j-000412/cancel", "", 503, "")
	store.down = false
	ask("POST", "/work/j-000412/cancel", "", 200, jobs.StatusCancelled)
	store.down = true // final states are known without the state service
	ask("GET", "/work/j-000412", "", 200, jobs.StatusCancelled)
	ask("POST", "/work/j-000412/cancel", "", 200, jobs.StatusCancelled)
	store.down = false
	ask("POST", "/work", good, 200, jobs.StatusCancelled)
	ask("GET", "/work/nonsense", "", 404, "")
	ask("DELETE", "/work/j-000412", "", 405, "")
	ask("GET", "/nowhere", "", 404, "")

	// A job that was done before the cancellation came stays done.
	v, _ := json.Marshal(jobs.FinalRecord{Status: jobs.StatusDone, Tasks: 16})
	store.rows[jobs.FinalPrefix+"j-7"] = statestore.KeyValue{Value: v, Revision: 9}
	ask("POST", "/work/j-7/cancel", "", 200, jobs.StatusDone)
	ask("GET", "/work/j-7", "", 200, `"status":"done","done":16`)
}

// TestPollsAreProvenTogether: polls of one window cost one transaction, and
// one whose job has ended meanwhile is never answered from memory.
func TestPollsAreProvenTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Each job is open, final or nobody's; the node knows its revision, a
		// wrong one, or none. One may end just before its keys are compared.
		truth := rapid.SliceOfN(rapid.SampledFrom([]string{jobs.StatusPending, jobs.StatusPending, jobs.StatusPending, jobs.StatusDone, jobs.StatusCancelled, ""}), 1, 20).Draw(rt, "truth")
		knows := rapid.SliceOfN(rapid.IntRange(0, 5), len(truth), len(truth)).Draw(rt, "knowledge")
		ending := rapid.IntRange(-1, len(truth)-1).Draw(rt, "ending")
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = pollAll(t, truth, knows, ending) })
		if len(problems) > 0 {
			rt.Fatal(strings.Join(problems, "; "))
		}
	})
}

// pollAll polls jobs with these states at once and tells what went wrong.
func pollAll(t *testing.T, truth []string, knows []int, ending int) (problems []string) {
	store := &memory{rows: map[string]statestore.KeyValue{}, stamp: 10}
	s, err := NewServer(store, nil, config.StateLimits{TxnOps: 12, ValueKB: 16}, 4, nil, allRunning, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	clean := true
	set := func(i int, status string) {
		id := fmt.Sprintf("j-%d", i)
		delete(store.rows, jobs.OpenPrefix+id)
		delete(store.rows, jobs.FinalPrefix+id)
		store.stamp++
		truth[i] = status
		switch status {
		case jobs.StatusPending:
			store.rows[jobs.OpenPrefix+id] = statestore.KeyValue{Key: jobs.OpenPrefix + id, Revision: store.stamp}
		case jobs.StatusDone, jobs.StatusCancelled:
			v, _ := json.Marshal(jobs.FinalRecord{Status: status, Tasks: 1})
			store.rows[jobs.FinalPrefix+id] = statestore.KeyValue{Value: v, Revision: store.stamp}
		}
	}
	for i, know := range knows {
		set(i, truth[i])
		id := fmt.Sprintf("j-%d", i)
		stamp := store.rows[jobs.OpenPrefix+id].Revision
		switch {
		case know == 1:
			s.mirror.learn(id, 3, jobs.Dependencies{})
			clean = false
		case know != 0 && stamp != 0:
			s.mirror.learn(id, stamp, jobs.Dependencies{})
		default:
			clean = clean && truth[i] == ""
		}
	}
	store.before = func() {
		if ending >= 0 && truth[ending] == jobs.StatusPending {
			set(ending, jobs.StatusDone)
			clean = false
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = s.ServeStatusQueries(ctx) }()
	got := make([]answer, len(truth))
	var wait sync.WaitGroup
	for i := range got {
		wait.Go(func() {
			st, found, err := s.ask(ctx, fmt.Sprintf("j-%d", i))
			got[i] = answer{st, found, err}
		})
	}
	wait.Wait()
	cancel()
	for i, a := range got {
		want := truth[i]
		if want == jobs.StatusPending {
			want = jobs.StatusRunning // as far as the leader tells
		}
		if a.err != nil || a.found != (want != "") || a.found && a.st.Status != want {
			problems = append(problems, fmt.Sprintf("job %d is %q, answered %+v", i, truth[i], a))
		}
	}
	if clean && (store.multis != 1 || store.gets != 0) {
		problems = append(problems, fmt.Sprintf("%d polls took %d transactions and %d reads", len(got), store.multis, store.gets))
	}
	return problems
}

// slowSubmits is a state service that lets submissions wait.
type slowSubmits struct {
	*memory
	mu   sync.Mutex
	open chan struct{}
}

func (s *slowSubmits) Txn(ctx context.Context, class statestore.Class, when []statestore.Condition, writes []statestore.Write) (uint64, error) {
	if class == statestore.ClassSubmit {
		<-s.open
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Txn(ctx, class, when, writes)
}

// TestTooManySubmissions: what can't be recorded in time is told so at once,
// with a time to come back, while polls and cancellations are answered.
func TestTooManySubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowSubmits{memory: &memory{rows: map[string]statestore.KeyValue{}}, open: make(chan struct{})}
		types := []jobs.MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}
		s, err := NewServer(store, []config.Team{{Name: "vision", MaxGPUs: 16}}, config.StateLimits{TxnOps: 12, ValueKB: 16}, 4, func() []jobs.MachineType { return types },
			nil, nil, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		defer wait.Wait()
		defer cancel()
		wait.Go(func() { _ = s.ServeStatusQueries(ctx) })
		mux := http.NewServeMux()
		s.Register(mux)
		ask := func(method, path, body string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
			return w
		}
		var taken []*httptest.ResponseRecorder
		var mu sync.Mutex
		var users sync.WaitGroup
		for i := range 4 {
			users.Go(func() {
				w := ask("POST", "/work", string(jobstest.Edit(t, func(m map[string]any) { m["nameId"] = fmt.Sprintf("j-%06d", i) })))
				mu.Lock()
				defer mu.Unlock()
				taken = append(taken, w)
			})
		}
		synctest.Wait()
		began := time.Now()
		w := ask("POST", "/work", string(jobstest.Edit(t, func(m map[string]any) { m["nameId"] = "j-000009" })))
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || time.Since(began) != 0 {
			t.Errorf("one too many: %d after %v", w.Code, time.Since(began))
		}
		if w := ask("GET", "/work/j-000009", ""); w.Code != http.StatusNotFound {
			t.Errorf("a poll meanwhile: %d", w.Code)
		}
		if w := ask("POST", "/work/j-000009/cancel", ""); w.Code != http.StatusNotFound {
			t.Errorf("a cancellation meanwhile: %d", w.Code)
		}
		close(store.open)
		users.Wait()
		for _, w := range taken {
			if w.Code != http.StatusCreated {
				t.Errorf("one that was taken: %d", w.Code)
			}
		}
		if w := ask("POST", "/work", string(jobstest.Edit(t, func(m map[string]any) { m["nameId"] = "j-000009" }))); w.Code != http.StatusCreated {
			t.Errorf("there is room again: %d", w.Code)
		}
	})
}

// watcher looks at what the process vouches for at the moment of an answer.
type watcher struct {
	*httptest.ResponseRecorder
	at func()
}

func (w watcher) WriteHeader(status int) {
	w.at()
	w.ResponseRecorder.WriteHeader(status)
}

// TestNotedBeforeTold: by whichever way a user learns that a job is cancelled, the
// process vouches for it by then.
func TestNotedBeforeTold(t *testing.T) {
	for _, way := range []string{"cancels", "cancels again", "asks", "submits again"} {
		synctest.Test(t, func(t *testing.T) {
			store := &memory{rows: map[string]statestore.KeyValue{}}
			types := []jobs.MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}
			node := func() (*Server, *http.ServeMux) {
				s, err := NewServer(store, []config.Team{{Name: "vision", MaxGPUs: 16}}, config.StateLimits{TxnOps: 12, ValueKB: 16}, 4, func() []jobs.MachineType { return types }, nil,
					func() bool { return true }, slog.New(slog.DiscardHandler))
				if err != nil {
					t.Fatal(err)
				}
				mux := http.NewServeMux()
				s.Register(mux)
				return s, mux
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			s, mux := node()
			go func() { _ = s.ServeStatusQueries(ctx) }()
			job := jobstest.Submission
			mux.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/work", strings.NewReader(job)))
			req := httptest.NewRequest("POST", "/work/j-000412/cancel", nil)
			if way != "cancels" {
				_, other := node() // has it cancelled, and this one learns of it
				other.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/work/j-000412/cancel", nil))
			}
			switch way {
			case "asks":
				req = httptest.NewRequest("GET", "/work/j-000412", nil)
			case "submits again":
				req = httptest.NewRequest("POST", "/work", strings.NewReader(job))
			}
			time.Sleep(10 * time.Second)
			told := false
			w := watcher{httptest.NewRecorder(), func() {
				ids, ok := s.AttestCancellations(5 * time.Second)
				told = ok && len(ids) == 1 && ids[0] == "j-000412"
			}}
			mux.ServeHTTP(w, req)
			if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), jobs.StatusCancelled) {
				t.Fatalf("%s: %d %s", way, w.Code, w.Body)
			}
			if !told {
				t.Errorf("a user who %s is told of what the process does not vouch for", way)
			}
		})
	}
}

// lossy is a state service that carries transactions out and loses their answers, or
// carries them out later.
type lossy struct {
	*memory
	fate func() string
	late []func()
}

func (l *lossy) Txn(ctx context.Context, class statestore.Class, when []statestore.Condition, writes []statestore.Write) (uint64, error) {
	switch l.fate() {
	case "lost":
		_, _ = l.memory.Txn(ctx, class, when, writes)
		return 0, statestore.ErrOutcomeUnknown
	case "late":
		l.late = append(l.late, func() { _, _ = l.memory.Txn(ctx, class, when, writes) })
		return 0, statestore.ErrOutcomeUnknown
	}
	return l.memory.Txn(ctx, class, when, writes)
}

// TestUnansweredIsSentAgain: a user's transaction whose answer is lost, or that is
// carried out late, is sent again at once. The user is answered, what was answered
// holds, and what comes late changes nothing.
func TestUnansweredIsSentAgain(t *testing.T) {
	types := []jobs.MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}
	good := string(jobstest.Edit(t, func(map[string]any) {}))
	rapid.Check(t, func(t *rapid.T) {
		fates := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "lost", "late"}), 0, 12).Draw(t, "fates")
		store := &lossy{memory: &memory{rows: map[string]statestore.KeyValue{}}, fate: func() string {
			if len(fates) == 0 {
				return ""
			}
			f := fates[0]
			fates = fates[1:]
			return f
		}}
		s, err := NewServer(store, []config.Team{{Name: "vision", MaxGPUs: 16}}, config.StateLimits{TxnOps: 12, ValueKB: 16}, 4, func() []jobs.MachineType { return types },
			allRunning, func() bool { return true }, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		mux := http.NewServeMux()
		s.Register(mux)
		// try asks until there is an answer, and tells how often that was.
		try := func(method, path, body string) (code int, said string, n int) {
			for n = 1; ; n++ {
				unanswered := 0
				for _, f := range fates {
					if f == "" {
						break
					}
					unanswered++
				}
				w := httptest.NewRecorder()
				mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
				if w.Code != http.StatusServiceUnavailable {
					return w.Code, w.Body.String(), n
				}
				if unanswered < constants.UserTxnAttempts {
					t.Fatalf("%s: 503 after %d without an answer", path, unanswered)
				}
			}
		}
		if code, said, _ := try("POST", "/work", good); code != http.StatusCreated && code != http.StatusOK || !strings.Contains(said, "j-000412") || strings.Contains(said, jobs.StatusCancelled) {
			t.Fatalf("submission: %d %s", code, said)
		}
		id := "j-000412"
		record := store.rows[jobs.OpenPrefix+id]
		some := func() {
			for _, f := range store.late {
				if rapid.Bool().Draw(t, "arrives") {
					f()
				}
			}
		}
		some()
		if got := store.rows[jobs.OpenPrefix+id]; record.Revision == 0 || got.Revision != record.Revision {
			t.Fatalf("accepted at %d, stands at %d", record.Revision, got.Revision)
		}
		if code, said, _ := try("POST", "/work/"+id+"/cancel", ""); code != http.StatusOK || !strings.Contains(said, jobs.StatusCancelled) {
			t.Fatalf("cancellation: %d %s", code, said)
		}
		some()
		if _, open := store.rows[jobs.OpenPrefix+id]; open || !strings.Contains(string(store.rows[jobs.FinalPrefix+id].Value), jobs.StatusCancelled) {
			t.Fatalf("after the cancellation: open %v, %s", open, store.rows[jobs.FinalPrefix+id].Value)
		}
	})
}
