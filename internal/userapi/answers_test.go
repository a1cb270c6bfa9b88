package userapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/jobs/jobstest"
)

// TestAnswers walks through all that users may be told, good and bad.
func TestAnswers(t *testing.T) {
	store := newMemoryStore()
	types := g8
	server := newTestServer(t, store, func(options *Options) {
		options.MachineTypes = func() []jobs.MachineType { return types }
		options.Ready = func() bool { return len(types) > 0 }
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.ServeStatusQueries(ctx) }()
	handler := handlerOf(server)
	ask := func(method, path, body string, wantStatus int, wantBody string) {
		t.Helper()
		response := request(handler, method, path, body)
		answer := response.Body.String()
		if response.Code != wantStatus || !strings.Contains(answer, wantBody) {
			t.Errorf("%s %s: %d %s, want %d with %q", method, path, response.Code, strings.TrimSpace(answer), wantStatus, wantBody)
		}
		if strings.Count(answer, "\n") > 1 {
			t.Errorf("%s %s: more than a line", method, path)
		}
		if response.Code == http.StatusServiceUnavailable && response.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s: 503 without a time to come back", method, path)
		}
	}
	edited := func(edit func(fields map[string]any)) string { return string(jobstest.Edit(t, edit)) }
	good := edited(func(map[string]any) {})

	// Before the machine types are known.
	types = nil
	ask("GET", "/ready", "", 503, "")
	ask("POST", "/work", good, 503, "")
	types = g8
	ask("GET", "/ready", "", 200, "")

	// Submissions that are malformed, or can never run.
	ask("POST", "/work", "", 400, "not a JSON object")
	ask("POST", "/work", edited(func(fields map[string]any) { fields["vcpus"] = -1 }), 400, `"field":"vcpus"`)
	ask("POST", "/work", `{"nameId":"`+strings.Repeat("x", 70<<10)+`"}`, 400, "")
	ask("POST", "/work", edited(func(fields map[string]any) { fields["owner"] = "nobody" }), 422, "nobody")

	// A job that nobody has submitted, and then somebody has.
	ask("GET", "/work/j-000412", "", 404, "")
	ask("POST", "/work/j-000412/cancel", "", 404, "")
	ask("POST", "/work", good, 201, `"status":"pending"`)
	ask("POST", "/work", good, 200, `"status":"running"`)
	ask("GET", "/work/j-000412", "", 200, `"done":3,"running":13`)

	// An accepted job stays accepted, even if the catalog changes.
	types = []jobs.MachineType{{Name: "other", CPUs: 1, MemoryGB: 1, Zones: []string{"a"}}}
	ask("POST", "/work", good, 200, "")
	types = g8

	// Without the state service.
	store.unavailable = true
	ask("GET", "/work/j-000412", "", 503, "")
	ask("POST", "/work", good, 503, "")
	ask("POST", "/work/j-000412/cancel", "", 503, "")
	store.unavailable = false

	// Cancelled: final states are known without the state service.
	ask("POST", "/work/j-000412/cancel", "", 200, jobs.StatusCancelled)
	store.unavailable = true
	ask("GET", "/work/j-000412", "", 200, jobs.StatusCancelled)
	ask("POST", "/work/j-000412/cancel", "", 200, jobs.StatusCancelled)
	store.unavailable = false
	ask("POST", "/work", good, 200, jobs.StatusCancelled)

	// Paths that are none.
	ask("GET", "/work/nonsense", "", 404, "")
	ask("DELETE", "/work/j-000412", "", 405, "")
	ask("GET", "/nowhere", "", 404, "")

	// A job that was done before the cancellation came stays done.
	store.putFinal(t, "j-7", jobs.FinalRecord{Status: jobs.StatusDone, Tasks: 16}, 9)
	ask("POST", "/work/j-7/cancel", "", 200, jobs.StatusDone)
	ask("GET", "/work/j-7", "", 200, `"status":"done","done":16`)
}

// TestDoneAheadOfItsCancellation: a job that is done between the look at its record and its
// cancellation stays done, and its user is told so.
func TestDoneAheadOfItsCancellation(t *testing.T) {
	store := newMemoryStore()
	store.putOpen("j-7", 5)
	store.beforeTxn = func() {
		delete(store.rows, jobs.OpenPrefix+"j-7")
		store.putFinal(t, "j-7", jobs.FinalRecord{Status: jobs.StatusDone, Tasks: 16}, 6)
	}
	server := newTestServer(t, store, nil)

	response := request(handlerOf(server), "POST", "/work/j-7/cancel", "")

	if response.Code != http.StatusOK || !strings.Contains(response.Body.String(), jobs.StatusDone) {
		t.Errorf("%d %s", response.Code, response.Body)
	}
	if final := string(store.rows[jobs.FinalPrefix+"j-7"].Value); !strings.Contains(final, jobs.StatusDone) {
		t.Errorf("recorded: %s", final)
	}
}

// headerObserver runs a function at the moment at which an answer begins.
type headerObserver struct {
	*httptest.ResponseRecorder
	onHeader func()
}

func (o headerObserver) WriteHeader(status int) {
	o.onHeader()
	o.ResponseRecorder.WriteHeader(status)
}

// TestNotedBeforeTold: by whichever way a user learns that a job is cancelled, the
// process attests to it by then.
func TestNotedBeforeTold(t *testing.T) {
	for _, way := range []string{"cancels", "cancels again", "asks", "submits again"} {
		synctest.Test(t, func(t *testing.T) { learnOfCancellation(t, way) })
	}
}

// learnOfCancellation has a user learn in this way that a job is cancelled.
func learnOfCancellation(t *testing.T, way string) {
	t.Helper()
	store := newMemoryStore()
	withoutProgress := func(options *Options) { options.Progress = nil }
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	server := newTestServer(t, store, withoutProgress)
	go func() { _ = server.ServeStatusQueries(ctx) }()
	handler := handlerOf(server)
	request(handler, "POST", "/work", jobstest.Submission)
	if way != "cancels" {
		// Another node has it cancelled, and this one learns of it.
		other := newTestServer(t, store, withoutProgress)
		request(handlerOf(other), "POST", "/work/j-000412/cancel", "")
	}
	ask := newRequest("POST", "/work/j-000412/cancel", "")
	switch way {
	case "asks":
		ask = newRequest("GET", "/work/j-000412", "")
	case "submits again":
		ask = newRequest("POST", "/work", jobstest.Submission)
	}
	time.Sleep(10 * time.Second)

	attested := false
	response := headerObserver{httptest.NewRecorder(), func() {
		ids, ok := server.AttestCancellations(5 * time.Second)
		attested = ok && len(ids) == 1 && ids[0] == "j-000412"
	}}
	handler.ServeHTTP(response, ask)

	if response.Code != http.StatusOK || !strings.Contains(response.Body.String(), jobs.StatusCancelled) {
		t.Fatalf("%s: %d %s", way, response.Code, response.Body)
	}
	if !attested {
		t.Errorf("a user who %s is told of what the process does not attest to", way)
	}
}
