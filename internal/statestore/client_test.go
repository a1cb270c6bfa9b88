package statestore

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"thornnotch/internal/constants"
)

// newTestClient makes a client of a service with this handler, and ample budget.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"), NewBudget(10000, 10000), new(net.Dialer).DialContext)
}

// cannedAnswer is a service that answers everything alike.
type cannedAnswer struct {
	status int
	body   string
}

func (a *cannedAnswer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(a.status)
	_, _ = w.Write([]byte(a.body)) // a client that is gone fails its own check
}

// TestImpossibleAnswers: whatever the state service says that the protocol does
// not know counts as no answer.
func TestImpossibleAnswers(t *testing.T) {
	var canned cannedAnswer
	client := newTestClient(t, canned.ServeHTTP)
	ctx := t.Context()
	calls := map[string]func() error{
		"get":    func() error { _, _, err := client.Get(ctx, ClassRecord, "k"); return err },
		"list":   func() error { _, _, err := client.List(ctx, ClassRecord, "k/"); return err },
		"multi":  func() error { _, err := client.Txn(ctx, ClassRecord, nil, nil); return err },
		"lease":  func() error { _, err := client.GrantLease(ctx, time.Second); return err },
		"renew":  func() error { return client.RenewLease(ctx, 1) },
		"follow": func() error { _, _, err := client.Watch(ctx, "k/", 1, 0); return err },
	}
	for _, test := range []struct {
		answer cannedAnswer
		want   error
	}{
		{cannedAnswer{200, "<html>"}, ErrOutcomeUnknown},
		{cannedAnswer{200, `{"epoch":"x","tenure":"x","stamp":"x","rows":1,"log":1}`}, ErrOutcomeUnknown},
		{cannedAnswer{500, "oops"}, ErrOutcomeUnknown},
		{cannedAnswer{503, `{"error":"trouble"}`}, ErrUnavailable},
		{cannedAnswer{429, ""}, ErrUnavailable},
		{cannedAnswer{418, "{}"}, ErrOutcomeUnknown},
	} {
		canned = test.answer
		for name, call := range calls {
			if name == "renew" && test.answer.status == 200 {
				continue // its answer has no content that matters
			}
			if err := call(); !errors.Is(err, test.want) {
				t.Errorf("%s: %d %s: %v", name, test.answer.status, test.answer.body, err)
			}
		}
	}
}

// TestConflictNamesItsKeys: a conflict tells which conditions failed; one on none makes no
// sense and counts as no answer.
func TestConflictNamesItsKeys(t *testing.T) {
	canned := cannedAnswer{409, `{"failed":["a"]}`}
	client := newTestClient(t, canned.ServeHTTP)
	var conflict *ConflictError
	if _, err := client.Txn(t.Context(), ClassRecord, nil, nil); !errors.As(err, &conflict) || !conflict.HasKey("a") || conflict.HasKey("b") {
		t.Errorf("a conflict is not told: %v", err)
	}
	canned = cannedAnswer{409, `{"failed":[]}`}
	if _, err := client.Txn(t.Context(), ClassRecord, nil, nil); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("a conflict on nothing: %v", err)
	}
}

// TestRenewalsDoNotWaitForOthers: however many calls hang, those that the lead depends
// on find a connection at once, before any of the others has been given up.
func TestRenewalsDoNotWaitForOthers(t *testing.T) {
	release := make(chan struct{})
	var hanging sync.WaitGroup
	hanging.Add(constants.StateConns)
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/store/") {
			hanging.Done()
			<-release
		}
		_, _ = w.Write([]byte(`{"tenure":7}`)) // a client that is gone fails its own check
	})
	var calls sync.WaitGroup
	var finished atomic.Int64
	defer calls.Wait()
	defer close(release)
	for range constants.StateConns {
		calls.Go(func() {
			_, _, _ = client.Get(t.Context(), ClassPoll, "k") // it only takes a connection
			finished.Add(1)
		})
	}
	hanging.Wait() // all their connections are taken

	if err := client.RenewLease(t.Context(), 7); err != nil {
		t.Errorf("renewal: %v", err)
	}
	if _, err := client.GrantLease(t.Context(), time.Second); err != nil {
		t.Errorf("acquisition: %v", err)
	}
	if count := finished.Load(); count > 0 {
		t.Errorf("they waited for %d others to be given up", count)
	}
}
