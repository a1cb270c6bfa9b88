// Package statestore talks to the state service, the only place where the nodes
// can keep state, and rations the calls to it.
package statestore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"thornnotch/internal/constants"
)

// Errors that callers tell apart.
var (
	// ErrUnavailable: the request was not executed (503 or 429).
	ErrUnavailable = errors.New("state service unavailable")
	// ErrOutcomeUnknown: no usable answer; the request may have been, or may yet
	// be, executed.
	ErrOutcomeUnknown = errors.New("state service gave no answer")
	// ErrRejected: the request is not one that the service takes (400), and was not
	// executed: it is larger than the limits allow now.
	ErrRejected = errors.New("state service refuses the request")
	// ErrLeaseExpired: the lease has ended.
	ErrLeaseExpired = errors.New("no such lease")
	// ErrCompacted: the watch's start is too old; the keys must be read again.
	ErrCompacted = errors.New("watch start too old")
)

// KeyValue is one key with its value and the revision of its last change.
type KeyValue struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// Condition demands that a key has this revision; 0 means that it does not exist.
type Condition struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Write sets or removes a key.
type Write struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"tenure,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// Change is one entry of a watch's log.
type Change struct {
	Put      string          `json:"set"`
	Value    json.RawMessage `json:"v"`
	Delete   string          `json:"remove"`
	Revision uint64          `json:"stamp"`
}

// ConflictError reports the conditions that did not hold. Nothing was written.
type ConflictError struct{ FailedKeys []string }

func (c *ConflictError) Error() string { return fmt.Sprintf("conflict on %v", c.FailedKeys) }

// HasKey tells whether the condition on key failed.
func (c *ConflictError) HasKey(key string) bool {
	for _, k := range c.FailedKeys {
		if k == key {
			return true
		}
	}
	return false
}

// Client is safe for use by many routines.
type Client struct {
	base string
	// http carries all calls but those that the lead depends on, which have
	// connections of their own: they must not wait for polls that hang.
	http, lease *http.Client
	Budget      *Budget
	health      health
	// txnTimeout bounds transactions.
	txnTimeout txnTimeout
	// OnRateLimited, if set, is called with each refusal for too many calls.
	OnRateLimited func()
}

// health follows whether the service answers this node.
type health struct {
	mu      sync.Mutex
	answers time.Time // the last useful answer
	failing time.Time // the first failure since; zero while there is none
}

func (h *health) note(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case ok:
		h.answers, h.failing = now, time.Time{}
	case h.failing.IsZero():
		h.failing = now
	}
}

// txnTimeout is how long a transaction may take. It can be sent again, so a lost answer
// should not be waited for long; but if the service is slow throughout, whoever never
// waits longer hears no answer at all.
type txnTimeout struct {
	mu   sync.Mutex
	wait time.Duration // 0: the least
}

func (p *txnTimeout) next() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.wait, constants.TxnTimeout)
}

func (p *txnTimeout) lost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wait = constants.StateTimeout
}

func (p *txnTimeout) answered(after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wait = min(max(p.wait/2, constants.TxnTimeoutFactor*after), constants.StateTimeout)
}

// LastSuccess tells when the service last answered this node usefully.
func (c *Client) LastSuccess() time.Time {
	c.health.mu.Lock()
	defer c.health.mu.Unlock()
	return c.health.answers
}

// FailingFor tells for how long the service has not answered this node usefully;
// 0 while it does.
func (c *Client) FailingFor() time.Duration {
	c.health.mu.Lock()
	defer c.health.mu.Unlock()
	if c.health.failing.IsZero() {
		return 0
	}
	return time.Since(c.health.failing)
}

// New makes a client of the service at addr, reached through dial.
func New(addr string, budget *Budget, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	pool := func(conns int) *http.Client {
		return &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     conns,
			MaxIdleConnsPerHost: conns,
			DisableCompression:  true,
		}}
	}
	return &Client{base: "http://" + addr, http: pool(constants.StateConns), lease: pool(constants.StateLeaseConns), Budget: budget}
}

// call sends one request and decodes a 200 into out. Other statuses come
// back as they are.
func (c *Client) call(ctx context.Context, class Class, timeout time.Duration, method, path string, in, out any) (int, []byte, error) {
	status, raw, err := c.send(ctx, class, timeout, method, path, in, out)
	// What the caller gave up itself, and a refusal for too many calls, say
	// nothing of the service.
	if ctx.Err() == nil && status != http.StatusTooManyRequests {
		c.health.note(err == nil)
	}
	if status == http.StatusTooManyRequests && c.OnRateLimited != nil {
		c.OnRateLimited()
	}
	return status, raw, err
}

func (c *Client) send(ctx context.Context, class Class, timeout time.Duration, method, path string, in, out any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, nil, fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	pool := c.http
	if class == ClassLease {
		pool = c.lease
	}
	resp, err := pool.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w: %w", method, path, ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w: %w", method, path, ErrOutcomeUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if out != nil {
			if err := json.Unmarshal(raw, out); err != nil {
				return 0, nil, fmt.Errorf("%s %s: %w: bad answer: %w", method, path, ErrOutcomeUnknown, err)
			}
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return resp.StatusCode, raw, fmt.Errorf("%s %s: %w (%d)", method, path, ErrUnavailable, resp.StatusCode)
	}
	return resp.StatusCode, raw, nil
}

func unexpected(method, path string, status int, raw []byte) error {
	return fmt.Errorf("%s %s: %w: status %d: %.120s", method, path, ErrOutcomeUnknown, status, raw)
}

// Get reads one key; found is false when it does not exist.
func (c *Client) Get(ctx context.Context, class Class, key string) (row KeyValue, found bool, err error) {
	if err := c.Budget.Take(ctx, class, 0); err != nil {
		return KeyValue{}, false, fmt.Errorf("get %s: %w: %w", key, ErrUnavailable, err)
	}
	path := "/store/" + key
	status, raw, err := c.call(ctx, class, constants.StateTimeout, http.MethodGet, path, nil, &row)
	switch {
	case err != nil:
		return KeyValue{}, false, err
	case status == http.StatusOK:
		return row, true, nil
	case status == http.StatusNotFound:
		return KeyValue{}, false, nil
	}
	return KeyValue{}, false, unexpected(http.MethodGet, path, status, raw)
}

// List reads all keys below prefix. The revision is that of the first page,
// so a watch from it sees every change made while the pages were read.
func (c *Client) List(ctx context.Context, class Class, prefix string) (rows []KeyValue, revision uint64, err error) {
	from := ""
	for {
		if err := c.Budget.Take(ctx, class, 0); err != nil {
			return nil, 0, fmt.Errorf("list %s: %w: %w", prefix, ErrUnavailable, err)
		}
		q := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(constants.ListPage)}}
		if from != "" {
			q.Set("from", from)
		}
		path := "/store?" + q.Encode()
		var page struct {
			Rows    []KeyValue `json:"rows"`
			HasNext bool       `json:"hasNext"`
			Epoch   uint64     `json:"epoch"`
		}
		status, raw, err := c.call(ctx, class, 2*constants.StateTimeout, http.MethodGet, path, nil, &page)
		if err != nil {
			return nil, 0, err
		}
		if status != http.StatusOK {
			return nil, 0, unexpected(http.MethodGet, path, status, raw)
		}
		if from == "" {
			revision = page.Epoch
		}
		rows = append(rows, page.Rows...)
		if !page.HasNext || len(page.Rows) == 0 {
			return rows, revision, nil
		}
		from = page.Rows[len(page.Rows)-1].Key
	}
}

// Txn runs a transaction. A *Conflict means that conditions failed and
// nothing was written; ErrUnknown that it may or may not have been.
func (c *Client) Txn(ctx context.Context, class Class, when []Condition, writes []Write) (revision uint64, err error) {
	if err := c.Budget.Take(ctx, class, len(writes)); err != nil {
		return 0, fmt.Errorf("multi: %w: %w", ErrUnavailable, err)
	}
	in := struct {
		When   []Condition `json:"when"`
		Writes []Write     `json:"writes,omitempty"`
	}{when, writes}
	var out struct {
		Epoch uint64 `json:"epoch"`
	}
	timeout := constants.StateTimeout
	if class != ClassLease {
		timeout = c.txnTimeout.next()
	}
	asked := time.Now()
	status, raw, err := c.call(ctx, class, timeout, http.MethodPost, "/multi", in, &out)
	switch {
	case ctx.Err() != nil:
		// Its caller gave up; that says nothing.
	case errors.Is(err, ErrOutcomeUnknown):
		c.txnTimeout.lost()
	default:
		c.txnTimeout.answered(time.Since(asked))
	}
	switch {
	case err != nil:
		return 0, err
	case status == http.StatusOK:
		return out.Epoch, nil
	case status == http.StatusConflict:
		var f struct {
			Failed []string `json:"failed"`
		}
		if err := json.Unmarshal(raw, &f); err != nil || len(f.Failed) == 0 {
			return 0, unexpected(http.MethodPost, "/multi", status, raw)
		}
		return 0, &ConflictError{FailedKeys: f.Failed}
	case status == http.StatusBadRequest && bytes.Contains(raw, []byte("no such lease")):
		return 0, ErrLeaseExpired
	case status == http.StatusBadRequest:
		return 0, fmt.Errorf("multi of %d changes: %w: %.120s", len(writes), ErrRejected, raw)
	}
	return 0, unexpected(http.MethodPost, "/multi", status, raw)
}

// GrantLease makes a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (tenure uint64, err error) {
	if err := c.Budget.Take(ctx, ClassLease, 0); err != nil {
		return 0, fmt.Errorf("lease: %w: %w", ErrUnavailable, err)
	}
	in := struct {
		TTL int64 `json:"ttlMs"`
	}{ttl.Milliseconds()}
	var out struct {
		Tenure uint64 `json:"tenure"`
	}
	status, raw, err := c.call(ctx, ClassLease, constants.StateTimeout, http.MethodPost, "/holds", in, &out)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK || out.Tenure == 0 {
		return 0, unexpected(http.MethodPost, "/holds", status, raw)
	}
	return out.Tenure, nil
}

// RenewLease keeps a lease alive; ErrNoLease means that it has ended.
func (c *Client) RenewLease(ctx context.Context, tenure uint64) error {
	if err := c.Budget.Take(ctx, ClassLease, 0); err != nil {
		return fmt.Errorf("renew: %w: %w", ErrUnavailable, err)
	}
	path := fmt.Sprintf("/holds/%d/touch", tenure)
	status, raw, err := c.call(ctx, ClassLease, constants.LeaseRenewInterval, http.MethodPost, path, nil, nil)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrLeaseExpired
	}
	return unexpected(http.MethodPost, path, status, raw)
}

// RevokeLease ends a lease at once, as on an orderly shutdown.
func (c *Client) RevokeLease(ctx context.Context, tenure uint64) error {
	path := fmt.Sprintf("/holds/%d", tenure)
	_, _, err := c.call(ctx, ClassLease, constants.StateTimeout, http.MethodDelete, path, nil, nil)
	return err
}

// Watch waits until a key below prefix has changed after revision from, or
// until block has passed.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (revision uint64, changes []Change, err error) {
	if err := c.Budget.Take(ctx, ClassLease, 0); err != nil {
		return 0, nil, fmt.Errorf("follow: %w: %w", ErrUnavailable, err)
	}
	q := url.Values{
		"prefix":  {prefix},
		"from":    {strconv.FormatUint(from, 10)},
		"blockMs": {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	path := "/follow?" + q.Encode()
	var out struct {
		Epoch uint64   `json:"epoch"`
		Log   []Change `json:"log"`
	}
	// An open watch stays open through an outage, so a watch that is late is
	// given up and asked again.
	status, raw, err := c.call(ctx, ClassLease, block+2*constants.StateTimeout, http.MethodGet, path, nil, &out)
	switch {
	case err != nil:
		return 0, nil, err
	case status == http.StatusOK:
		return max(out.Epoch, from), out.Log, nil
	case status == http.StatusGone:
		return 0, nil, ErrCompacted
	}
	return 0, nil, unexpected(http.MethodGet, path, status, raw)
}
