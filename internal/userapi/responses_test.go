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

// TestUserResponses checks the responses of all endpoints, for success and for each kind of
// failure.
func TestUserResponses(t *testing.T) {
	store := newMemoryStore()
	types := testMachineTypes
	server := newTestServer(t, store, func(options *Options) {
		options.MachineTypes = func() []jobs.MachineType { return types }
		options.Ready = func() bool { return len(types) > 0 }
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.ServeStatusQueries(ctx) }()
	handler := newHandler(server)
	checkResponse := func(method, path, body string, wantStatus int, wantBody string) {
		t.Helper()
		response := request(handler, method, path, body)
		answer := response.Body.String()
		if response.Code != wantStatus || !strings.Contains(answer, wantBody) {
			t.Errorf("%s %s: %d %s, want %d with %q", method, path, response.Code, strings.TrimSpace(answer), wantStatus, wantBody)
		}
		if strings.Count(answer, "\n") > 1 {
			t.Errorf("%s %s: body has more than one line", method, path)
		}
		if response.Code == http.StatusServiceUnavailable && response.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s: 503 without Retry-After", method, path)
		}
	}
	editedSubmission := func(edit func(fields map[string]any)) string { return string(jobstest.Edit(t, edit)) }
	submission := editedSubmission(func(map[string]any) {})

	// The machine types aren't known yet.
	types = nil
	checkResponse("GET", "/ready", "", 503, "")
	checkResponse("POST", "/work", submission, 503, "")
	types = testMachineTypes
	checkResponse("GET", "/ready", "", 200, "")

	// Malformed submissions, and a job that can never run.
	checkResponse("POST", "/work", "", 400, "not a JSON object")
	checkResponse("POST", "/work", editedSubmission(func(fields map[string]any) { fields["vcpus"] = -1 }), 400, `"field":"vcpus"`)
	checkResponse("POST", "/work", `{"nameId":"`+strings.Repeat("x", 70<<10)+`"}`, 400, "")
	checkResponse("POST", "/work", editedSubmission(func(fields map[string]any) { fields["owner"] = "nobody" }), 422, "nobody")

	// A job before and after its submission.
	checkResponse("GET", "/work/j-000412", "", 404, "")
	checkResponse("POST", "/work/j-000412/cancel", "", 404, "")
	checkResponse("POST", "/work", submission, 201, `"status":"pending"`)
	checkResponse("POST", "/work", submission, 200, `"status":"running"`)
	checkResponse("GET", "/work/j-000412", "", 200, `"done":3,"running":13`)

	// An accepted job stays accepted even if no machine type fits it any more.
	types = []jobs.MachineType{{Name: "other", CPUs: 1, MemoryGB: 1, Zones: []string{"a"}}}
	checkResponse("POST", "/work", submission, 200, "")
	types = testMachineTypes

	// The state service is unavailable.
	store.unavailable = true
	checkResponse("GET", "/work/j-000412", "", 503, "")
	checkResponse("POST", "/work", submission, 503, "")
	checkResponse("POST", "/work/j-000412/cancel", "", 503, "")
	store.unavailable = false

	// Final states are cached, so they are reported without the state service too.
	checkResponse("POST", "/work/j-000412/cancel", "", 200, jobs.StatusCancelled)
	store.unavailable = true
	checkResponse("GET", "/work/j-000412", "", 200, jobs.StatusCancelled)
	checkResponse("POST", "/work/j-000412/cancel", "", 200, jobs.StatusCancelled)
	store.unavailable = false
	checkResponse("POST", "/work", submission, 200, jobs.StatusCancelled)

	// Unknown paths and methods.
	checkResponse("GET", "/work/nonsense", "", 404, "")
	checkResponse("DELETE", "/work/j-000412", "", 405, "")
	checkResponse("GET", "/nowhere", "", 404, "")

	// A cancellation does not change a job that is already done.
	store.putFinal(t, "j-7", jobs.FinalRecord{Status: jobs.StatusDone, Tasks: 16}, 9)
	checkResponse("POST", "/work/j-7/cancel", "", 200, jobs.StatusDone)
	checkResponse("GET", "/work/j-7", "", 200, `"status":"done","done":16`)
}

// TestCancelRacesWithCompletion checks that a job stays done, and is reported as done, if it
// finishes after the cancellation has read its open record and before it writes.
func TestCancelRacesWithCompletion(t *testing.T) {
	store := newMemoryStore()
	store.putOpen("j-7", 5)
	store.beforeTxn = func() {
		delete(store.records, jobs.OpenPrefix+"j-7")
		store.putFinal(t, "j-7", jobs.FinalRecord{Status: jobs.StatusDone, Tasks: 16}, 6)
	}
	server := newTestServer(t, store, nil)

	response := request(newHandler(server), "POST", "/work/j-7/cancel", "")

	if response.Code != http.StatusOK || !strings.Contains(response.Body.String(), jobs.StatusDone) {
		t.Errorf("response: %d %s", response.Code, response.Body)
	}
	if final := string(store.records[jobs.FinalPrefix+"j-7"].Value); !strings.Contains(final, jobs.StatusDone) {
		t.Errorf("final record: %s", final)
	}
}

// headerObserver calls a function when the response header is written.
type headerObserver struct {
	*httptest.ResponseRecorder
	onHeader func()
}

func (o headerObserver) WriteHeader(status int) {
	o.onHeader()
	o.ResponseRecorder.WriteHeader(status)
}

// TestCancellationIsAttestedBeforeResponse checks, for each request by which a user can learn
// of a cancellation, that the process attests to it before the response begins.
func TestCancellationIsAttestedBeforeResponse(t *testing.T) {
	for _, requestKind := range []string{"cancel", "repeated cancel", "status query", "repeated submission"} {
		synctest.Test(t, func(t *testing.T) { checkAttestedBeforeResponse(t, requestKind) })
	}
}

// checkAttestedBeforeResponse runs the test for one kind of request.
func checkAttestedBeforeResponse(t *testing.T, requestKind string) {
	t.Helper()
	store := newMemoryStore()
	withoutProgress := func(options *Options) { options.Progress = nil }
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	server := newTestServer(t, store, withoutProgress)
	go func() { _ = server.ServeStatusQueries(ctx) }()
	handler := newHandler(server)
	request(handler, "POST", "/work", jobstest.Submission)
	if requestKind != "cancel" {
		// Another node cancels the job, so this one learns of it from the store.
		other := newTestServer(t, store, withoutProgress)
		request(newHandler(other), "POST", "/work/j-000412/cancel", "")
	}
	req := newRequest("POST", "/work/j-000412/cancel", "")
	switch requestKind {
	case "status query":
		req = newRequest("GET", "/work/j-000412", "")
	case "repeated submission":
		req = newRequest("POST", "/work", jobstest.Submission)
	}
	time.Sleep(10 * time.Second)

	attested := false
	response := headerObserver{httptest.NewRecorder(), func() {
		ids, ok := server.AttestCancellations(5 * time.Second)
		attested = ok && len(ids) == 1 && ids[0] == "j-000412"
	}}
	handler.ServeHTTP(response, req)

	if response.Code != http.StatusOK || !strings.Contains(response.Body.String(), jobs.StatusCancelled) {
		t.Fatalf("%s: %d %s", requestKind, response.Code, response.Body)
	}
	if !attested {
		t.Errorf("%s: the response reports a cancellation that the process does not attest to", requestKind)
	}
}
