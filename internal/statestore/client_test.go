package statestore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/constants"
)

// TestImpossibleAnswers: whatever the state service says that the protocol does
// not know counts as no answer.
func TestImpossibleAnswers(t *testing.T) {
	status, body := 200, ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer srv.Close()
	c := New(strings.TrimPrefix(srv.URL, "http://"), NewBudget(10000, 10000), new(net.Dialer).DialContext)
	ctx := t.Context()
	calls := map[string]func() error{
		"get":    func() error { _, _, err := c.Get(ctx, ClassRecord, "k"); return err },
		"list":   func() error { _, _, err := c.List(ctx, ClassRecord, "k/"); return err },
		"multi":  func() error { _, err := c.Txn(ctx, ClassRecord, nil, nil); return err },
		"lease":  func() error { _, err := c.GrantLease(ctx, 1e9); return err },
		"renew":  func() error { return c.RenewLease(ctx, 1) },
		"follow": func() error { _, _, err := c.Watch(ctx, "k/", 1, 0); return err },
	}
	for _, a := range []struct {
		status int
		body   string
		want   error
	}{
		{200, "<html>", ErrOutcomeUnknown},
		{200, `{"epoch":"x","tenure":"x","stamp":"x","rows":1,"log":1}`, ErrOutcomeUnknown},
		{500, "oops", ErrOutcomeUnknown},
		{503, `{"error":"trouble"}`, ErrUnavailable},
		{429, "", ErrUnavailable},
		{418, "{}", ErrOutcomeUnknown},
	} {
		status, body = a.status, a.body
		for name, call := range calls {
			if name == "renew" && a.status == 200 {
				continue // its answer has no content that matters
			}
			if err := call(); !errors.Is(err, a.want) {
				t.Errorf("%s: %d %s: %v", name, a.status, a.body, err)
			}
		}
	}
	status, body = 409, `{"failed":["a"]}`
	var conflict *ConflictError
	if _, err := c.Txn(context.Background(), ClassRecord, nil, nil); !errors.As(err, &conflict) || !conflict.HasKey("a") || conflict.HasKey("b") {
		t.Errorf("a conflict is not told: %v", err)
	}
	status, body = 409, `{"failed":[]}`
	if _, err := c.Txn(context.Background(), ClassRecord, nil, nil); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("a conflict on nothing: %v", err)
	}
}

// TestPatience: however slow the service is, within what one request may take, all but
// the first transaction hear its answer; lost answers are waited for no longer than
// that, and where answers are quick soon for the least again.
func TestPatience(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p txnTimeout
		takes := time.Duration(rapid.IntRange(1, int(constants.StateTimeout/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
		unheard := 0
		for range 30 {
			if takes > p.next() {
				unheard++
				p.lost()
				continue
			}
			p.answered(takes)
		}
		if unheard > 1 {
			t.Fatalf("of a service that takes %v %d answers are not heard", takes, unheard)
		}
		p.lost()
		if p.next() != constants.StateTimeout {
			t.Fatalf("after a loss it waits %v", p.next())
		}
		quick := time.Duration(rapid.IntRange(1, 200).Draw(t, "quick")) * time.Millisecond
		p.answered(quick)
		p.answered(quick)
		if p.next() != constants.TxnTimeout {
			t.Fatalf("after two answers in %v it waits %v", quick, p.next())
		}
	})
}

// TestRenewalsDoNotWaitForOthers: however many calls hang, those that the lead depends
// on find a connection at once, before any of the others has been given up.
func TestRenewalsDoNotWaitForOthers(t *testing.T) {
	hang := make(chan struct{})
	var hanging sync.WaitGroup
	hanging.Add(constants.StateConns)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/store/") {
			hanging.Done()
			<-hang
		}
		_, _ = w.Write([]byte(`{"tenure":7}`))
	}))
	defer srv.Close()
	c := New(strings.TrimPrefix(srv.URL, "http://"), NewBudget(10000, 10000), new(net.Dialer).DialContext)
	var calls sync.WaitGroup
	var over atomic.Int64
	defer calls.Wait()
	defer close(hang)
	for range constants.StateConns {
		calls.Go(func() {
			_, _, _ = c.Get(t.Context(), ClassPoll, "k")
			over.Add(1)
		})
	}
	hanging.Wait() // all their connections are taken
	if err := c.RenewLease(t.Context(), 7); err != nil {
		t.Errorf("renewal: %v", err)
	}
	if _, err := c.GrantLease(t.Context(), time.Second); err != nil {
		t.Errorf("acquisition: %v", err)
	}
	if n := over.Load(); n > 0 {
		t.Errorf("they waited for %d others to be given up", n)
	}
}
