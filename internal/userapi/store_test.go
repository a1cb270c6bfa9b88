package userapi

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/jobs/jobstest"
	"thornnotch/internal/statestore"
)

// memoryStore is an in-memory state service.
type memoryStore struct {
	mu       sync.Mutex
	records  map[string]statestore.KeyValue
	revision uint64
	// unavailable makes all calls fail. The outcome of transactions is then unknown, as if
	// their responses were lost.
	unavailable bool
	// gets and transactions count calls. beforeTxn, if set, runs before each transaction.
	gets, transactions int
	beforeTxn          func()
}

func newMemoryStore() *memoryStore {
	return &memoryStore{records: map[string]statestore.KeyValue{}}
}

func (m *memoryStore) Get(_ context.Context, _ statestore.Class, key string) (statestore.KeyValue, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gets++
	if m.unavailable {
		return statestore.KeyValue{}, false, statestore.ErrUnavailable
	}
	record, ok := m.records[key]
	return record, ok, nil
}

func (m *memoryStore) Txn(_ context.Context, _ statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.transactions++
	if m.beforeTxn != nil {
		m.beforeTxn()
	}
	if m.unavailable {
		return 0, statestore.ErrOutcomeUnknown
	}
	conflict := &statestore.ConflictError{}
	for _, condition := range conditions {
		if m.records[condition.Key].Revision != condition.Revision {
			conflict.FailedKeys = append(conflict.FailedKeys, condition.Key)
		}
	}
	if len(conflict.FailedKeys) > 0 {
		return 0, conflict
	}
	m.revision++
	for _, write := range writes {
		if write.Delete != "" {
			delete(m.records, write.Delete)
		} else {
			m.records[write.Put] = statestore.KeyValue{Key: write.Put, Value: write.Value, Revision: m.revision}
		}
	}
	return m.revision, nil
}

func (m *memoryStore) List(context.Context, statestore.Class, string) ([]statestore.KeyValue, uint64, error) {
	return nil, 0, statestore.ErrUnavailable
}

func (m *memoryStore) Watch(context.Context, string, uint64, time.Duration) (uint64, []statestore.Change, error) {
	return 0, nil, statestore.ErrUnavailable
}

// putOpen stores an open record for a job.
func (m *memoryStore) putOpen(id string, revision uint64) {
	key := jobs.OpenPrefix + id
	m.records[key] = statestore.KeyValue{Key: key, Value: json.RawMessage(`{}`), Revision: revision}
}

// putFinal stores the final record of a job.
func (m *memoryStore) putFinal(t jobstest.TestingT, id string, final jobs.FinalRecord, revision uint64) {
	t.Helper()
	value, err := json.Marshal(final)
	if err != nil {
		t.Fatal(err)
	}
	key := jobs.FinalPrefix + id
	m.records[key] = statestore.KeyValue{Key: key, Value: value, Revision: revision}
}

// testMachineTypes holds a machine type that fits the submission of package jobstest.
var testMachineTypes = []jobs.MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}}

// fixedProgress is a Progress that returns the same task counts for every job.
func fixedProgress(_ context.Context, ids []string) map[string]TaskCounts {
	counts := map[string]TaskCounts{}
	for _, id := range ids {
		counts[id] = TaskCounts{Done: 3, Running: 13}
	}
	return counts
}

// newTestServer returns a server on the given store; edit, if not nil, modifies its options.
func newTestServer(t jobstest.TestingT, store Store, edit func(options *Options)) *Server {
	t.Helper()
	options := Options{
		Store:          store,
		Teams:          []config.Team{{Name: "vision", MaxGPUs: 16}},
		Limits:         config.StateLimits{TxnOps: 12, ValueKB: 16},
		MaxSubmissions: 4,
		MachineTypes:   func() []jobs.MachineType { return testMachineTypes },
		Progress:       fixedProgress,
		Ready:          func() bool { return true },
		Log:            slog.New(slog.DiscardHandler),
	}
	if edit != nil {
		edit(&options)
	}
	server, err := NewServer(options)
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// newHandler returns a handler with only the server's endpoints.
func newHandler(server *Server) http.Handler {
	mux := http.NewServeMux()
	server.Register(mux)
	return mux
}

// request serves one request with the handler and returns the recorded response.
func request(handler http.Handler, method, path, body string) *httptest.ResponseRecorder {
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, newRequest(method, path, body))
	return response
}

func newRequest(method, path, body string) *http.Request {
	return httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
}
