package workers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"thornnotch/internal/constants"
)

// CommandClient sends direct commands to the endpoints of workers.
type CommandClient struct{ http *http.Client }

// NewCommandClient returns a CommandClient that connects with dial.
func NewCommandClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *CommandClient {
	return &CommandClient{&http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     constants.MaxCommandConnsPerWorker,
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        constants.MaxIdleCommandConns,
		IdleConnTimeout:     constants.HeaderTimeout,
		DisableCompression:  true,
	}}}
}

// Send sends commands to the worker at endpoint. It returns the heartbeat in the worker's
// response, also if the worker refuses the commands (409).
func (c *CommandClient) Send(ctx context.Context, endpoint string, batch CommandBatch) (*Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.CommandTimeout)
	defer cancel()
	raw, err := json.Marshal(batch)
	if err != nil {
		return nil, fmt.Errorf("encode commands: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint+"/commands", bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("create command request for %s: %w", endpoint, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send commands to %s: %w", endpoint, err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read by then
	body, err := io.ReadAll(io.LimitReader(response.Body, constants.MaxCommandResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read response to commands from %s: %w", endpoint, err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return nil, fmt.Errorf("send commands to %s: unexpected status %d", endpoint, response.StatusCode)
	}
	return DecodeHeartbeat(body)
}
