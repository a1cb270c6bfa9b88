package peers

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"
)

type source struct{}

func (source) AttestCancellations(time.Duration) ([]string, bool)       { return nil, true }
func (source) Healthy() bool                                            { return true }
func (source) Relay(context.Context, RelayArgs) RelayReply              { return RelayReply{} }
func (source) Progress(context.Context, []string) map[string]TaskCounts { return nil }
func (source) Status(context.Context) ([]byte, error)                   { return []byte("{}"), nil }

// pipes is a listener for connections within the process.
type pipes struct {
	net.Listener
	queue chan net.Conn
	done  chan struct{}
}

func (p pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.queue:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p pipes) Close() error { close(p.done); return nil }

// TestStaleConnectionsMakeRoom: connections left from before a cut, that nobody
// will ever close, must not keep a node from being reached.
func TestStaleConnectionsMakeRoom(t *testing.T) {
	l := pipes{queue: make(chan net.Conn), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	over := make(chan error, 1)
	go func() { over <- Serve(ctx, l, source{}, 4) }()
	var clients []*rpc.Client
	for range 12 {
		a, b := net.Pipe()
		l.queue <- b
		c := rpc.NewClient(a)
		clients = append(clients, c)
		var reply HealthReply
		if err := c.Call("Mesh.Health", HealthArgs{}, &reply); err != nil || !reply.OK {
			t.Fatalf("connection %d: %v", len(clients), err)
		}
	}
	open := 0
	for _, c := range clients {
		var reply HealthReply
		if c.Call("Mesh.Health", HealthArgs{}, &reply) == nil {
			open++
		}
	}
	if open != 4 {
		t.Errorf("%d connections are kept, want 4", open)
	}
	cancel()
	<-over
}
