package statestore

import (
	"context"
	"net"
	"net/http"
	"time"

	"thornnotch/internal/constants"
)

// Client is a client of the state service. It is safe for concurrent use.
type Client struct {
	// Budget limits the rate of the calls.
	Budget *Budget
	// OnRateLimited, if set, is called for each response with status 429. It must be set
	// before the first call.
	OnRateLimited func()

	baseURL string
	// generalHTTPClient is used for all calls except those of ClassLease. Leadership depends
	// on the calls of ClassLease, so they use separate connections and never wait for other
	// calls that hang.
	generalHTTPClient, leaseHTTPClient *http.Client
	health                             health
	// txnTimeout limits the duration of all transactions except those of ClassLease.
	txnTimeout txnTimeout
}

// DialFunc opens a connection like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a Client for the state service at addr (host and port) that connects with
// dial.
func New(addr string, budget *Budget, dial DialFunc) *Client {
	return &Client{
		Budget:            budget,
		baseURL:           "http://" + addr,
		generalHTTPClient: newHTTPClient(dial, constants.StateConns),
		leaseHTTPClient:   newHTTPClient(dial, constants.StateLeaseConns),
	}
}

func newHTTPClient(dial DialFunc, conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		DisableCompression:  true,
	}}
}

// LastSuccess returns when the service last gave a readable response that was not a refusal
// (status 503 or 429), or the zero time if it never has.
func (c *Client) LastSuccess() time.Time { return c.health.lastSuccess() }

// FailingFor returns the time since the first failed call after LastSuccess, or 0 if no call
// has failed since.
func (c *Client) FailingFor() time.Duration { return c.health.failingFor() }
