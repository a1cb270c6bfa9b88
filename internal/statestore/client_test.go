package statestore

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/wirejson/wirejsontest"
)

// newTestClient returns a client of a test server with the given handler. Its budget is large
// enough that no call waits.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"), NewBudget(10000, 10000), new(net.Dialer).DialContext)
}

// cannedResponse is a handler that sends the same response to every request.
type cannedResponse struct {
	status int
	body   string
}

func (c *cannedResponse) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(c.status)
	_, _ = w.Write([]byte(c.body)) // if this fails, the client's call fails and the test sees it
}

// TestUnexpectedResponses checks that a response outside the protocol is reported as
// ErrOutcomeUnknown, and statuses 503 and 429 as ErrUnavailable.
func TestUnexpectedResponses(t *testing.T) {
	var canned cannedResponse
	client := newTestClient(t, canned.ServeHTTP)
	ctx := t.Context()
	calls := map[string]func() error{
		"get":         func() error { _, _, err := client.Get(ctx, ClassRecord, "k"); return err },
		"list":        func() error { _, _, err := client.List(ctx, ClassRecord, "k/"); return err },
		"transaction": func() error { _, err := client.Txn(ctx, ClassRecord, nil, nil); return err },
		"grant lease": func() error { _, err := client.GrantLease(ctx, time.Second); return err },
		"renew lease": func() error { return client.RenewLease(ctx, 1) },
		"watch":       func() error { _, _, err := client.Watch(ctx, "k/", 1, 0); return err },
	}
	for _, test := range []struct {
		response cannedResponse
		want     error
	}{
		{cannedResponse{200, "<html>"}, ErrOutcomeUnknown},
		{cannedResponse{200, `{"epoch":"x","tenure":"x","stamp":"x","rows":1,"log":1}`}, ErrOutcomeUnknown},
		{cannedResponse{500, "oops"}, ErrOutcomeUnknown},
		{cannedResponse{503, `{"error":"trouble"}`}, ErrUnavailable},
		{cannedResponse{429, ""}, ErrUnavailable},
		{cannedResponse{418, "{}"}, ErrOutcomeUnknown},
	} {
		canned = test.response
		for name, call := range calls {
			if name == "renew lease" && test.response.status == 200 {
				continue // a renewal ignores the response body
			}
			if err := call(); !errors.Is(err, test.want) {
				t.Errorf("%s: %d %s: %v", name, test.response.status, test.response.body, err)
			}
		}
	}
}

// TestConflictFailedKeys checks that a conflict reports the keys whose conditions failed. A
// conflict without keys violates the protocol and is reported as ErrOutcomeUnknown.
func TestConflictFailedKeys(t *testing.T) {
	canned := cannedResponse{409, `{"failed":["a"]}`}
	client := newTestClient(t, canned.ServeHTTP)
	var conflict *ConflictError
	if _, err := client.Txn(t.Context(), ClassRecord, nil, nil); !errors.As(err, &conflict) || !conflict.HasKey("a") || conflict.HasKey("b") {
		t.Errorf("conflict on key a: %v", err)
	}
	canned = cannedResponse{409, `{"failed":[]}`}
	if _, err := client.Txn(t.Context(), ClassRecord, nil, nil); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("conflict without keys: %v", err)
	}
}

// TestLeaseCallsUseSeparateConnections checks that lease calls complete while hanging calls
// occupy all connections for other classes, before any of those calls times out. If they shared
// connections, a slow service could cost the leader its lease.
func TestLeaseCallsUseSeparateConnections(t *testing.T) {
	release := make(chan struct{})
	var blocked sync.WaitGroup
	blocked.Add(constants.StateConns)
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/store/") {
			blocked.Done()
			<-release
		}
		_, _ = w.Write([]byte(`{"tenure":7}`)) // if this fails, the client's call fails
	})
	var calls sync.WaitGroup
	var finished atomic.Int64
	defer calls.Wait()
	defer close(release)
	for range constants.StateConns {
		calls.Go(func() {
			_, _, _ = client.Get(t.Context(), ClassStatusQuery, "k") // only occupies a connection
			finished.Add(1)
		})
	}
	blocked.Wait() // all connections for other classes are in use

	if err := client.RenewLease(t.Context(), 7); err != nil {
		t.Errorf("renew lease: %v", err)
	}
	if _, err := client.GrantLease(t.Context(), time.Second); err != nil {
		t.Errorf("grant lease: %v", err)
	}
	if count := finished.Load(); count > 0 {
		t.Errorf("lease calls completed only after %d hanging calls had timed out", count)
	}
}

// TestResponsesIgnoreFieldsOfOtherCase guards against keys, values, revisions or leases being taken
// from unknown fields of the state service's responses, such as "Stamp" beside "stamp".
func TestResponsesIgnoreFieldsOfOtherCase(t *testing.T) {
	var canned cannedResponse
	client := newTestClient(t, canned.ServeHTTP)
	ctx := t.Context()
	for _, test := range []struct {
		name, body string
		status     int
		call       func() (any, error)
	}{
		{"get", `{"k":"a/b","v":7,"stamp":412,"tenure":7}`, http.StatusOK, func() (any, error) {
			row, _, err := client.Get(ctx, ClassRecord, "a/b")
			return row, err
		}},
		{"list", `{"rows":[{"k":"a/b","v":7,"stamp":3},{"k":"a/c","v":"x","stamp":4}],"hasNext":false,"epoch":431}`, http.StatusOK, func() (any, error) {
			rows, revision, err := client.List(ctx, ClassRecord, "a/")
			return fmt.Sprint(rows, revision), err
		}},
		{"transaction", `{"epoch":432}`, http.StatusOK, func() (any, error) { return client.Txn(ctx, ClassRecord, nil, nil) }},
		{"conflict", `{"failed":["a/b"],"epoch":431}`, http.StatusConflict, func() (any, error) {
			_, err := client.Txn(ctx, ClassRecord, nil, nil)
			var conflict *ConflictError
			if errors.As(err, &conflict) {
				return conflict.FailedKeys, nil
			}
			return nil, err
		}},
		{"grant lease", `{"tenure":7}`, http.StatusOK, func() (any, error) { return client.GrantLease(ctx, time.Second) }},
		{"watch", `{"epoch":433,"log":[{"set":"c/9","v":7,"stamp":433},{"remove":"c/d","stamp":432}]}`, http.StatusOK, func() (any, error) {
			revision, changes, err := client.Watch(ctx, "c/", 1, 0)
			return fmt.Sprint(revision, changes), err
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			wirejsontest.CheckIgnored(t, test.body, func(raw []byte) (any, error) {
				canned = cannedResponse{test.status, string(raw)}
				return test.call()
			})
		})
	}
}

// BenchmarkList reads a page of as many job records as a page may have. A failover reads thousands.
func BenchmarkList(b *testing.B) {
	const record = `{"nameId":"j-000412","workload":"train","owner":"vision","shape":"gang","urgency":"urgent","pieces":16,"vcpus":8,
 "accelerators":1,"ramGb":64,"bundle":"img-07","imageGb":6.2,"rigTypes":["g8"],"expectS":240,"snapshotS":30,"stashS":4,"atMs":1764849126000}`
	rows := make([]string, constants.StateListPageSize)
	for i := range rows {
		rows[i] = fmt.Sprintf(`{"k":"open/j-%06d","v":%s,"stamp":%d}`, i, record, i+1)
	}
	canned := cannedResponse{http.StatusOK, `{"rows":[` + strings.Join(rows, ",") + `],"hasNext":false,"epoch":431}`}
	server := httptest.NewServer(&canned)
	defer server.Close()
	const unlimited = 1e9
	client := New(strings.TrimPrefix(server.URL, "http://"), NewBudget(unlimited, unlimited), new(net.Dialer).DialContext)
	b.ReportAllocs()
	for b.Loop() {
		if listed, _, err := client.List(b.Context(), ClassRecord, "open/"); err != nil || len(listed) != len(rows) {
			b.Fatal(len(listed), err)
		}
	}
}

// TestRejectionIsToldFromExpiredLease guards against a transaction that is too large being taken for one
// whose lease has ended, because an unknown field of the response has the words of that error.
func TestRejectionIsToldFromExpiredLease(t *testing.T) {
	var canned cannedResponse
	client := newTestClient(t, canned.ServeHTTP)
	for _, test := range []struct {
		body string
		want error
	}{
		{`{"error":"no such lease"}`, ErrLeaseExpired},
		{`{"Error":"limit","error":"no such lease","ERROR":1}`, ErrLeaseExpired},
		{`{"error":"limit"}`, ErrRejected},
		{`{"error":"limit","help":"see no such lease"}`, ErrRejected},
		{`no JSON`, ErrRejected},
	} {
		canned = cannedResponse{http.StatusBadRequest, test.body}
		if _, err := client.Txn(t.Context(), ClassRecord, nil, nil); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.body, err, test.want)
		}
	}
}
