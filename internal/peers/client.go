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

// ErrUnknownNode means that no address of a node is known.
var ErrUnknownNode = errors.New("no such node")

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls other nodes, over one connection to each.
type Client struct {
	addresses map[string]string // by node
	dial      DialFunc

	mu    sync.Mutex
	conns map[string]*connection // by node; guarded by mu
}

// connection is a connection to one node. One call at a time is written to it, and
// others wait for that no longer than their own time allows: rpc.Client would have
// them wait for as long as the write takes, which is for ever on a connection that
// nobody reads.
type connection struct {
	*rpc.Client
	writing chan struct{} // holds one element while a call is being written
}

// NewClient makes a client for the nodes at these addresses, by name.
func NewClient(addresses map[string]string, dial DialFunc) *Client {
	return &Client{addresses: addresses, dial: dial, conns: make(map[string]*connection)}
}

// connect returns the open connection to a node, or opens one.
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
	if other := c.conns[node]; other != nil { // another call was quicker
		_ = opened.Close()
		return other, nil
	}
	c.conns[node] = opened
	return opened, nil
}

// discard closes a connection, so that the next call opens a new one.
func (c *Client) discard(node string, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[node] == conn {
		delete(c.conns, node)
	}
	_ = conn.Close() // rpc.ErrShutdown if it has failed already
}

// call makes one call within a time limit. A connection that fails or is late is
// discarded.
func (c *Client) call(ctx context.Context, limit time.Duration, node, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := c.connect(ctx, node)
	if err != nil {
		return callError(node, method, err)
	}
	select {
	case conn.writing <- struct{}{}:
	case <-ctx.Done():
		c.discard(node, conn)
		return callError(node, method, ctx.Err())
	}
	sent := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	<-conn.writing
	select {
	case done := <-sent.Done:
		if done.Error == nil {
			return nil
		}
		// A ServerError is the other node's own answer: the connection works.
		var answered rpc.ServerError
		if !errors.As(done.Error, &answered) {
			c.discard(node, conn)
		}
		return callError(node, method, done.Error)
	case <-ctx.Done():
		c.discard(node, conn)
		return callError(node, method, ctx.Err())
	}
}

func callError(node, method string, err error) error {
	return fmt.Errorf("call %s at node %s: %w", method, node, err)
}

// Progress asks a node for the progress of jobs.
func (c *Client) Progress(ctx context.Context, node string, jobs []string) (map[string]TaskCounts, error) {
	reply := new(ProgressReply)
	if err := c.call(ctx, constants.MeshTimeout, node, methodProgress, ProgressArgs{jobs}, reply); err != nil {
		return nil, err
	}
	return reply.Jobs, nil
}

// Status asks a node for its status.
func (c *Client) Status(ctx context.Context, node string) ([]byte, error) {
	reply := new(StatusReply)
	if err := c.call(ctx, constants.MeshTimeout, node, methodStatus, StatusArgs{}, reply); err != nil {
		return nil, err
	}
	return reply.JSON, nil
}

// Health asks a node whether the state service answers it.
func (c *Client) Health(ctx context.Context, node string) (bool, error) {
	reply := new(HealthReply)
	if err := c.call(ctx, constants.MeshTimeout, node, methodHealth, HealthArgs{}, reply); err != nil {
		return false, err
	}
	return reply.OK, nil
}

// AttestCancellations asks a node which cancellations it has confirmed to users within
// the span. A node that can't be reached attests to nothing: ok is false.
func (c *Client) AttestCancellations(ctx context.Context, node string, span time.Duration) (cancelled []string, ok bool) {
	reply := new(VouchReply)
	// Rounded up: never less than was asked for.
	args := VouchArgs{SpanMS: span.Milliseconds() + 1}
	if err := c.call(ctx, constants.MeshTimeout, node, methodVouch, args, reply); err != nil {
		return nil, false
	}
	return reply.Cancelled, reply.OK
}

// Formats asks which stored formats a node's version reads.
func (c *Client) Formats(ctx context.Context, node string) (FormatsReply, error) {
	reply := new(FormatsReply)
	if err := c.call(ctx, constants.MeshTimeout, node, methodFormats, FormatsArgs{}, reply); err != nil {
		return FormatsReply{}, err
	}
	return *reply, nil
}

// Relay has a node serve a user's request.
func (c *Client) Relay(ctx context.Context, node string, request RelayArgs) (RelayReply, error) {
	reply := new(RelayReply)
	if err := c.call(ctx, constants.RelayTimeout, node, methodRelay, request, reply); err != nil {
		return RelayReply{}, err
	}
	return *reply, nil
}
