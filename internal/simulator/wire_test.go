package simulator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/wirejson/wirejsontest"
)

// post sends a request whose body has unknown fields beside those in body, and returns the response.
func post(t *testing.T, handler http.Handler, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	text := string(wirejsontest.AddCaseVariants(t, []byte(body)))
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(text)))
	return response
}

// TestStateServiceIgnoresFieldsOfOtherCase guards against a simulated state service that reads requests
// more loosely than the protocol allows, so that tests with it hide a controller's faults.
func TestStateServiceIgnoresFieldsOfOtherCase(t *testing.T) {
	state := NewStateService()
	defer state.Close()
	if response := post(t, state, "/holds", `{"ttlMs":5000}`); response.Code != http.StatusOK {
		t.Errorf("lease: %d %s", response.Code, response.Body)
	}
	if response := post(t, state, "/multi", `{"when":[{"k":"a/b","stamp":0}],"writes":[{"set":"a/b","v":7,"tenure":1}]}`); response.Code != http.StatusOK {
		t.Errorf("transaction: %d %s", response.Code, response.Body)
	}
	if value := string(state.Get("a/b")); value != "7" || len(state.Keys("")) != 1 {
		t.Errorf("a/b is %s, keys %v", value, state.Keys(""))
	}
}

// TestCloudIgnoresFieldsOfOtherCase guards against a simulated cloud that does so.
func TestCloudIgnoresFieldsOfOtherCase(t *testing.T) {
	catalog := autoscaling.Catalog{MachineTypes: []autoscaling.MachineType{{Name: "g8", BootS: 3600, Zones: []string{"a"}}}}
	cloud := NewCloud(t.Context(), catalog, 10, nil)
	if response := post(t, cloud, "/hosts", `{"hire":"r-1","rigType":"g8","hall":"a","loaners":true,"count":2}`); response.Code != http.StatusOK {
		t.Errorf("rent: %d %s", response.Code, response.Body)
	}
	if cloud.RentedCount() != 2 {
		t.Errorf("%d machines rented, want 2", cloud.RentedCount())
	}
	if response := post(t, cloud, "/hosts/return", `{"rigs":["m-000001"]}`); response.Code != http.StatusOK {
		t.Errorf("return: %d %s", response.Code, response.Body)
	}
	if cloud.RentedCount() != 1 {
		t.Errorf("%d machines rented after a return, want 1", cloud.RentedCount())
	}
}

// TestWorkerIgnoresFieldsOfOtherCase guards against a simulated worker that does so.
func TestWorkerIgnoresFieldsOfOtherCase(t *testing.T) {
	worker := NewWorker(WorkerOptions{NodeAddrs: []string{"h:1", "h:2", "h:3"}, NodeAddrByLabel: map[string]string{"rig-2": "h:3"}},
		NewNetwork().Host("m-1"), nil, nil, NewGangRegistry())
	worker.applyCommandBatch(wirejsontest.AddCaseVariants(t, []byte(`{"warrant":41,"orders":[]}`)), 1, time.Now())
	if worker.token != 41 {
		t.Errorf("the worker's token is %d, want 41", worker.token)
	}
	worker.followRedirect(wirejsontest.AddCaseVariants(t, []byte(`{"foreman":"rig-2"}`)), "h:1")
	if worker.nodeIndex != 2 {
		t.Errorf("the worker was redirected to node %d, want 2", worker.nodeIndex)
	}
	commands := http.HandlerFunc(worker.handleDirectCommands)
	if response := post(t, commands, "/commands", `{"warrant":41,"shift":1,"orders":[]}`); response.Code != http.StatusOK {
		t.Errorf("direct commands: %d %s", response.Code, response.Body)
	}
}
