package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"thornnotch/internal/constants"
)

// ErrUnknownNode means that the settings contain no address for a node.
var ErrUnknownNode = errors.New("node address unknown")

// DialFunc opens a connection like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls other nodes over one connection to each. It is safe for concurrent use.
type Client struct {
	addresses map[string]string // by node name
	dial      DialFunc

	mu    sync.Mutex
	conns map[string]*connection // by node name; guarded by mu
}

// connection is a connection to one node. Calls are written to it one at a time, and a call
// waits for its turn only until its own deadline. With rpc.Client alone it would wait until
// the current write completes, which is forever if the peer has stopped reading.
type connection struct {
	*rpc.Client
	writeSem chan struct{} // binary semaphore, held while a call is written
}

// NewClient returns a Client for the nodes with the given addresses, which are keyed by node
// name.
func NewClient(addresses map[string]string, dial DialFunc) *Client {
	return &Client{addresses: addresses, dial: dial, conns: make(map[string]*connection)}
}

// connect returns the open connection to a node, or opens a new one.
func (c *Client) connect(ctx context.Context, node string) (*connection, error) {
	c.mu.Lock()
	open := c.conns[node]
	c.mu.Unlock()
	if open != nil {
		return open, nil
	}
	address, ok := c.addresses[node]
	if !ok {
		return nil, ErrUnknownNode
	}
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	opened := &connection{rpc.NewClient(conn), make(chan struct{}, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[node]; other != nil { // a concurrent call connected first
		_ = opened.Close()
		return other, nil
	}
	c.conns[node] = opened
	return opened, nil
}

// discard closes and removes a connection, so that the next call opens a new one.
func (c *Client) discard(node string, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[node] == conn {
		delete(c.conns, node)
	}
	_ = conn.Close() // returns rpc.ErrShutdown if the connection has already failed
}

// call makes one RPC with a timeout. It discards the connection if the connection fails or
// the call times out.
func (c *Client) call(ctx context.Context, timeout time.Duration, node, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.connect(ctx, node)
	if err != nil {
		return callError(node, method, err)
	}
	select {
	case conn.writeSem <- struct{}{}:
	case <-ctx.Done():
		c.discard(node, conn)
		return callError(node, method, ctx.Err())
	}
	pending := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	<-conn.writeSem
	select {
	case done := <-pending.Done:
		if done.Error == nil {
			return nil
		}
		// A ServerError was returned by the remote method, so the connection works.
		var serverErr rpc.ServerError
		if !errors.As(done.Error, &serverErr) {
			c.discard(node, conn)
		}
		return callError(node, method, done.Error)
	case <-ctx.Done():
		c.discard(node, conn)
		return callError(node, method, ctx.Err())
	}
}

func callError(node, method string, err error) error {
	return fmt.Errorf("call %s on node %s: %w", method, node, err)
}

// Progress returns the progress of the given jobs as known to a node.
func (c *Client) Progress(ctx context.Context, node string, jobs []string) (map[string]TaskCounts, error) {
	reply := new(ProgressReply)
	if err := c.call(ctx, constants.PeerTimeout, node, methodProgress, ProgressArgs{jobs}, reply); err != nil {
		return nil, err
	}
	return reply.Jobs, nil
}

// Status returns the status of a node as JSON.
func (c *Client) Status(ctx context.Context, node string) ([]byte, error) {
	reply := new(StatusReply)
	if err := c.call(ctx, constants.PeerTimeout, node, methodStatus, StatusArgs{}, reply); err != nil {
		return nil, err
	}
	return reply.JSON, nil
}

// Health reports whether the state service responds to a node.
func (c *Client) Health(ctx context.Context, node string) (bool, error) {
	reply := new(HealthReply)
	if err := c.call(ctx, constants.PeerTimeout, node, methodHealth, HealthArgs{}, reply); err != nil {
		return false, err
	}
	return reply.OK, nil
}

// AttestCancellations returns the IDs of the jobs whose cancellation a node may have confirmed to
// users within the window before its answer. ok is false if the node can't give a complete list
// or can't be reached.
func (c *Client) AttestCancellations(ctx context.Context, node string, window time.Duration) (cancelled []string, ok bool) {
	reply := new(VouchReply)
	// Rounded up, so that the node covers at least the window.
	args := VouchArgs{SpanMS: window.Milliseconds() + 1}
	if err := c.call(ctx, constants.PeerTimeout, node, methodVouch, args, reply); err != nil {
		return nil, false
	}
	return reply.Cancelled, reply.OK
}

// Formats returns the stored formats that a node's version can read.
func (c *Client) Formats(ctx context.Context, node string) (FormatsReply, error) {
	reply := new(FormatsReply)
	if err := c.call(ctx, constants.PeerTimeout, node, methodFormats, FormatsArgs{}, reply); err != nil {
		return FormatsReply{}, err
	}
	return *reply, nil
}

// Relay forwards a user's request to a node and returns the node's response.
func (c *Client) Relay(ctx context.Context, node string, request RelayArgs) (RelayReply, error) {
	reply := new(RelayReply)
	if err := c.call(ctx, constants.RelayTimeout, node, methodRelay, request, reply); err != nil {
		return RelayReply{}, err
	}
	return *reply, nil
}
