package intake

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"thornnotch/internal/config"
	"thornnotch/internal/ledger"
)

// memory is a state service in a map; down makes it answer 503.
type memory struct {
	rows  map[string]ledger.Row
	stamp uint64
	down  bool
}

func (m *memory) Get(_ context.Context, _ ledger.Class, key string) (ledger.Row, bool, error) {
	if m.down {
		return ledger.Row{}, false, ledger.ErrUnavailable
	}
	r, ok := m.rows[key]
	return r, ok, nil
}

func (m *memory) Multi(_ context.Context, _ ledger.Class, when []ledger.Cond, writes []ledger.Write) (uint64, error) {
	if m.down {
		return 0, ledger.ErrUnknown
	}
	c := &ledger.Conflict{}
	for _, w := range when {
		if m.rows[w.K].Stamp != w.Stamp {
			c.Failed = append(c.Failed, w.K)
		}
	}
	if len(c.Failed) > 0 {
		return 0, c
	}
	m.stamp++
	for _, w := range writes {
		if w.Remove != "" {
			delete(m.rows, w.Remove)
		} else {
			m.rows[w.Set] = ledger.Row{K: w.Set, V: w.V, Stamp: m.stamp}
		}
	}
	return m.stamp, nil
}

// TestAnswers walks through all that users may be told, good and bad.
func TestAnswers(t *testing.T) {
	store := &memory{rows: map[string]ledger.Row{}}
	types := []MachineType{{SKU: "g8", VCPUs: 96, Accelerators: 8, RAMGB: 768, Halls: []string{"a"}}}
	catalog := types
	s, err := NewServer(store, []config.Team{{Name: "vision", GPUsMax: 16}}, func() []MachineType { return catalog },
		func(context.Context, string) (int, int, bool) { return 3, 13, true }, func() bool { return len(catalog) > 0 }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
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
	job := func(edit func(map[string]any)) string { return string(change(t, edit)) }
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
	catalog = []MachineType{{SKU: "other", VCPUs: 1, RAMGB: 1, Halls: []string{"a"}}}
	ask("POST", "/work", good, 200, "")
	catalog = types
	store.down = true
	ask("GET", "/work/j-000412", "", 503, "")
	ask("POST", "/work", good, 503, "")
	ask("POST", "/work/j-000412/cancel", "", 503, "")
	store.down = false
	ask("POST", "/work/j-000412/cancel", "", 200, Aborted)
	store.down = true // final states are known without the state service
	ask("GET", "/work/j-000412", "", 200, Aborted)
	ask("POST", "/work/j-000412/cancel", "", 200, Aborted)
	store.down = false
	ask("POST", "/work", good, 200, Aborted)
	ask("GET", "/work/nonsense", "", 404, "")
	ask("DELETE", "/work/j-000412", "", 405, "")
	ask("GET", "/nowhere", "", 404, "")

	// A job that was done before the cancellation came stays done.
	v, _ := json.Marshal(Final{Status: Done, Pieces: 16})
	store.rows[FinalPrefix+"j-7"] = ledger.Row{V: v, Stamp: 9}
	ask("POST", "/work/j-7/cancel", "", 200, Done)
	ask("GET", "/work/j-7", "", 200, `"status":"done","done":16`)
}
