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

// CommandClient carries orders to workers' own addresses.
type CommandClient struct{ http *http.Client }

// NewCommandClient makes a courier that reaches workers through dial.
func NewCommandClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *CommandClient {
	return &CommandClient{&http.Client{Transport: &http.Transport{
		DialContext: dial, MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, MaxIdleConns: constants.MaxIdleCommandConns,
		IdleConnTimeout: constants.HeaderTimeout, DisableCompression: true,
	}}}
}

// Command sends orders; the answer, also to refused ones, is the worker's
// report.
func (c *CommandClient) Send(ctx context.Context, endpoint string, a CommandBatch) (*Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.CommandTimeout)
	defer cancel()
	raw, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode orders: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint+"/commands", bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 16*constants.MaxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("orders: %w", err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, fmt.Errorf("orders: status %d", resp.StatusCode)
	}
	return DecodeHeartbeat(body)
}
