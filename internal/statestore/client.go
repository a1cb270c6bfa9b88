package statestore

import (
	"context"
	"net"
	"net/http"
	"time"

	"thornnotch/internal/constants"
)

// Client calls the state service. It is safe for concurrent use.
type Client struct {
	// Budget rations the calls.
	Budget *Budget
	// OnRateLimited, if set, is called with each refusal for too many calls. It must be
	// set before the first call.
	OnRateLimited func()

	baseURL string
	// general carries all calls but those of ClassLease, which leadership depends on.
	// These have connections of their own, as they must not wait for calls that hang.
	general, lease *http.Client
	health         health
	// txnTimeout bounds all transactions but those of ClassLease.
	txnTimeout txnTimeout
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// New makes a client of the service at addr (host and port), reached through dial.
func New(addr string, budget *Budget, dial DialFunc) *Client {
	return &Client{
		Budget:  budget,
		baseURL: "http://" + addr,
		general: newHTTPClient(dial, constants.StateConns),
		lease:   newHTTPClient(dial, constants.StateLeaseConns),
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

// LastSuccess is when the service last answered this node usefully; zero if it never has.
func (c *Client) LastSuccess() time.Time { return c.health.lastSuccess() }

// FailingFor is for how long the service has not answered this node usefully; 0 while it
// does.
func (c *Client) FailingFor() time.Duration { return c.health.failingFor() }
