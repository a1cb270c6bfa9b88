package statestore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// request is one call to the service.
type request struct {
	class   Class
	timeout time.Duration
	method  string
	path    string // with the query, if any
	body    any    // encoded as JSON; nil for none
	// result takes the answer's contents if its status is 200; nil if they don't matter.
	result any
}

// answer is what the service has said. A status other than 200 is the caller's to judge.
type answer struct {
	status int
	body   []byte
}

// call sends one request and notes what it tells of the service's health. The error is
// ErrOutcomeUnknown if there was no usable answer, and ErrUnavailable if the request was
// refused.
func (c *Client) call(ctx context.Context, request request) (answer, error) {
	answer, err := c.send(ctx, request)
	rateLimited := answer.status == http.StatusTooManyRequests
	// What the caller gave up itself, and a refusal for too many calls, say nothing of the
	// service.
	if ctx.Err() == nil && !rateLimited {
		c.health.note(err == nil)
	}
	if rateLimited && c.OnRateLimited != nil {
		c.OnRateLimited()
	}
	return answer, err
}

func (c *Client) send(ctx context.Context, request request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	httpRequest, err := c.encode(ctx, request)
	if err != nil {
		return answer{}, err
	}
	httpClient := c.general
	if request.class == ClassLease {
		httpClient = c.lease
	}
	response, err := httpClient.Do(httpRequest)
	if err != nil {
		return answer{}, request.outcomeUnknown(err)
	}
	defer func() { _ = response.Body.Close() }() // all that matters of it has been read
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, request.outcomeUnknown(err)
	}
	received := answer{status: response.StatusCode, body: body}
	if notExecuted(received.status) {
		return received, fmt.Errorf("%s %s: %w (%d)", request.method, request.path, ErrUnavailable, received.status)
	}
	if received.status == http.StatusOK && request.result != nil {
		if err := json.Unmarshal(body, request.result); err != nil {
			return answer{}, request.outcomeUnknown(fmt.Errorf("bad answer: %w", err))
		}
	}
	return received, nil
}

func (c *Client) encode(ctx context.Context, request request) (*http.Request, error) {
	var body io.Reader
	if request.body != nil {
		raw, err := json.Marshal(request.body)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", request.path, err)
		}
		body = bytes.NewReader(raw)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, c.baseURL+request.path, body)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", request.method, request.path, err)
	}
	return httpRequest, nil
}

// outcomeUnknown is the error of a request that had no usable answer.
func (r request) outcomeUnknown(err error) error {
	return fmt.Errorf("%s %s: %w: %w", r.method, r.path, ErrOutcomeUnknown, err)
}

// unexpected is the error of an answer that the protocol does not know: it proves nothing.
func (r request) unexpected(answer answer) error {
	return fmt.Errorf("%s %s: %w: status %d: %.120s", r.method, r.path, ErrOutcomeUnknown, answer.status, answer.body)
}
