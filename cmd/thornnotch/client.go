package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"thornnotch/internal/constants"
	"thornnotch/internal/wirejson"
)

// client contains the flags and methods shared by the commands that send requests to a node.
type client struct {
	Node string `default:"127.0.0.1:8080" env:"THORNNOTCH_NODE" placeholder:"HOST:PORT" help:"Address of any controller node (${default})."`
	JSON bool   `name:"json" help:"Print the response as JSON."`
}

// response is the HTTP response of a node.
type response struct {
	status     int
	retryAfter string
	body       []byte
}

// request sends a request to the node and returns the body of the response. If the response's
// status is not one of accepted, it returns an error that begins with subject, which is a job's
// ID or "status".
func (c client) request(subject, method, path string, body []byte, accepted ...int) ([]byte, error) {
	resp, err := c.send(method, path, body)
	if err != nil {
		return nil, err
	}
	for _, status := range accepted {
		if resp.status == status {
			return resp.body, nil
		}
	}
	return nil, resp.toError(subject)
}

// send sends a request to the node and reads its response.
func (c client) send(method, path string, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), constants.ClientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Node+path, bytes.NewReader(body))
	if err != nil {
		return response{}, fmt.Errorf("--node %s: %w", c.Node, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		// The wrapping url.Error would repeat the method and the address.
		return response{}, fmt.Errorf("node %s can't be reached: %w", c.Node, errors.Unwrap(err))
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read by then
	raw, err := io.ReadAll(io.LimitReader(resp.Body, constants.MaxClientResponseBytes))
	if err != nil {
		return response{}, fmt.Errorf("read response of node %s: %w", c.Node, err)
	}
	return response{resp.StatusCode, resp.Header.Get("Retry-After"), raw}, nil
}

// toError returns a one-line error, which begins with subject, for a response whose status was not
// accepted.
func (r response) toError(subject string) error {
	var errorBody struct {
		Error string `json:"error"`
		Field string `json:"field"`
	}
	// If the body is not JSON, the reason stays empty.
	_ = wirejson.Decode(r.body, &errorBody)
	reason := errorBody.Error
	if errorBody.Field != "" {
		reason = errorBody.Field + ": " + reason
	}
	switch r.status {
	case http.StatusNotFound:
		return fmt.Errorf("%s: no such job", subject)
	case http.StatusBadRequest:
		return fmt.Errorf("%s: malformed: %s", subject, reason)
	case http.StatusUnprocessableEntity:
		return fmt.Errorf("%s: can never run: %s", subject, reason)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%s: temporarily unavailable (%s), retry in %s s", subject, reason, r.retryAfter)
	}
	return fmt.Errorf("%s: unexpected response status %d", subject, r.status)
}

// printJSON prints the body of a response unchanged.
func printJSON(body []byte) error {
	_, err := os.Stdout.Write(body)
	return err
}

// decodeResponse decodes the JSON body of a response.
func decodeResponse[T any](body []byte) (decoded T, err error) {
	if err := wirejson.Decode(body, &decoded); err != nil {
		return decoded, fmt.Errorf("decode response: %w", err)
	}
	return decoded, nil
}
