package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"thornnotch/internal/constants"
)

// client is what the commands that talk to a running node share.
type client struct {
	Node string `default:"127.0.0.1:8080" env:"THORNNOTCH_NODE" placeholder:"HOST:PORT" help:"The users' address of any controller node (${default})."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// response is a node's response to a request.
type response struct {
	status     int
	retryAfter string
	body       []byte
}

// request sends a request about a subject, a job's ID or "status", and returns the
// body of a response with one of the accepted statuses. Any other is an error.
func (c client) request(subject, method, path string, body []byte, accepted ...int) ([]byte, error) {
	answer, err := c.send(method, path, body)
	if err != nil {
		return nil, err
	}
	for _, status := range accepted {
		if answer.status == status {
			return answer.body, nil
		}
	}
	return nil, answer.refusal(subject)
}

// send sends a request to the node.
func (c client) send(method, path string, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), constants.ClientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Node+path, bytes.NewReader(body))
	if err != nil {
		return response{}, fmt.Errorf("--node %s: %w", c.Node, err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		// The url.Error around it repeats method and address.
		return response{}, fmt.Errorf("node %s can't be reached: %w", c.Node, errors.Unwrap(err))
	}
	defer answer.Body.Close() //nolint:errcheck // nothing was written
	raw, err := io.ReadAll(io.LimitReader(answer.Body, constants.MaxClientResponseBytes))
	if err != nil {
		return response{}, fmt.Errorf("node %s: %w", c.Node, err)
	}
	return response{answer.StatusCode, answer.Header.Get("Retry-After"), raw}, nil
}

// refusal turns a response that refuses the request into an error of one line.
func (r response) refusal(subject string) error {
	var problem struct {
		Error string `json:"error"`
		Field string `json:"field"`
	}
	// A body that is no JSON leaves the reason empty: the status says enough.
	_ = json.Unmarshal(r.body, &problem)
	reason := problem.Error
	if problem.Field != "" {
		reason = problem.Field + ": " + reason
	}
	switch r.status {
	case http.StatusNotFound:
		return fmt.Errorf("%s: no such job", subject)
	case http.StatusBadRequest:
		return fmt.Errorf("%s: malformed: %s", subject, reason)
	case http.StatusUnprocessableEntity:
		return fmt.Errorf("%s: can never run: %s", subject, reason)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%s: not now (%s), try again in %s s", subject, reason, r.retryAfter)
	}
	return fmt.Errorf("%s: the node answered %d", subject, r.status)
}

// printJSON prints a response's body as it came.
func printJSON(body []byte) error {
	_, err := os.Stdout.Write(body)
	return err
}

// decodeResponse decodes a response's body.
func decodeResponse[T any](body []byte) (decoded T, err error) {
	if err := json.Unmarshal(body, &decoded); err != nil {
		return decoded, fmt.Errorf("unreadable answer: %w", err)
	}
	return decoded, nil
}
