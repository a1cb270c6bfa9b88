package statestore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"thornnotch/internal/wirejson"
)

// request describes one HTTP request to the state service.
type request struct {
	class   Class
	timeout time.Duration
	method  string
	path    string // includes the query, if any
	body    any    // encoded as JSON; nil for no body
	// result is decoded from the response body if the status is 200; nil ignores the body.
	result any
}

// response is the service's response. The caller handles statuses other than 200.
type response struct {
	status int
	body   []byte
}

// call sends a request and updates the health of the service. The error is ErrOutcomeUnknown
// if there was no valid response, and ErrUnavailable if the service refused the request with
// status 503 or 429.
func (c *Client) call(ctx context.Context, request request) (response, error) {
	response, err := c.send(ctx, request)
	rateLimited := response.status == http.StatusTooManyRequests
	// Calls cancelled by the caller and rate-limited calls say nothing about the service's
	// health.
	if ctx.Err() == nil && !rateLimited {
		c.health.record(err == nil)
	}
	if rateLimited && c.OnRateLimited != nil {
		c.OnRateLimited()
	}
	return response, err
}

func (c *Client) send(ctx context.Context, request request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	httpRequest, err := c.encode(ctx, request)
	if err != nil {
		return response{}, err
	}
	httpClient := c.generalHTTPClient
	if request.class == ClassLease {
		httpClient = c.leaseHTTPClient
	}
	httpResponse, err := httpClient.Do(httpRequest)
	if err != nil {
		return response{}, request.outcomeUnknownError(err)
	}
	defer func() { _ = httpResponse.Body.Close() }() // the body has been read by then
	body, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return response{}, request.outcomeUnknownError(err)
	}
	received := response{status: httpResponse.StatusCode, body: body}
	if notExecuted(received.status) {
		return received, fmt.Errorf("%s %s: %w (status %d)", request.method, request.path, ErrUnavailable, received.status)
	}
	if received.status == http.StatusOK && request.result != nil {
		if err := wirejson.Decode(body, request.result); err != nil {
			return response{}, request.outcomeUnknownError(fmt.Errorf("decode response: %w", err))
		}
	}
	return received, nil
}

func (c *Client) encode(ctx context.Context, request request) (*http.Request, error) {
	var body io.Reader
	if request.body != nil {
		raw, err := json.Marshal(request.body)
		if err != nil {
			return nil, fmt.Errorf("encode request body for %s: %w", request.path, err)
		}
		body = bytes.NewReader(raw)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, c.baseURL+request.path, body)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", request.method, request.path, err)
	}
	return httpRequest, nil
}

// outcomeUnknownError returns the error of a request that had no valid response.
func (r request) outcomeUnknownError(err error) error {
	return fmt.Errorf("%s %s: %w: %w", r.method, r.path, ErrOutcomeUnknown, err)
}

// unexpectedResponseError returns the error of a request whose response does not follow the
// protocol, which leaves the outcome unknown.
func (r request) unexpectedResponseError(response response) error {
	return fmt.Errorf("%s %s: %w: status %d: %.120s", r.method, r.path, ErrOutcomeUnknown, response.status, response.body)
}
