package peers

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"testing"
	"time"
)

// healthyNode is a LocalNode to which the state service responds.
type healthyNode struct{}

func (healthyNode) AttestCancellations(time.Duration) ([]string, bool)       { return nil, true }
func (healthyNode) Healthy() bool                                            { return true }
func (healthyNode) Relay(context.Context, RelayArgs) RelayReply              { return RelayReply{} }
func (healthyNode) Progress(context.Context, []string) map[string]TaskCounts { return nil }
func (healthyNode) Status(context.Context) ([]byte, error)                   { return []byte("{}"), nil }

// pipeListener is a listener for in-process connections.
type pipeListener struct {
	net.Listener
	pending chan net.Conn
	closed  chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.pending:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error { close(l.closed); return nil }

// callHealth returns the result of the Health method on the given connection.
func callHealth(client *rpc.Client) (bool, error) {
	var reply HealthReply
	err := client.Call("Mesh.Health", HealthArgs{}, &reply)
	return reply.OK, err
}

// TestOldestConnectionClosedAtLimit checks that a new connection replaces the oldest one when
// the limit is reached. Connections left over from before a network partition are never
// closed by the other end, and would otherwise make the node unreachable.
func TestOldestConnectionClosedAtLimit(t *testing.T) {
	const limit, dialed = 4, 12
	listener := pipeListener{pending: make(chan net.Conn), closed: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, healthyNode{}, limit) }()

	var clients []*rpc.Client
	for range dialed {
		local, remote := net.Pipe()
		listener.pending <- remote
		client := rpc.NewClient(local)
		clients = append(clients, client)
		if ok, err := callHealth(client); err != nil || !ok {
			t.Fatalf("connection %d: %v", len(clients), err)
		}
	}

	open := 0
	for _, client := range clients {
		if _, err := callHealth(client); err == nil {
			open++
		}
	}
	if open != limit {
		t.Errorf("%d connections open, want %d", open, limit)
	}
	cancel()
	<-served
}

// TestGobFieldNamesAreCaseSensitive guards against a change of the encoding between nodes to one that
// takes a field of another version for one whose name differs only in the case of its letters.
func TestGobFieldNamesAreCaseSensitive(t *testing.T) {
	type args struct {
		SPANMS, Spanms int64
		SpanMS         int64
	}
	type otherArgs struct{ SPANMS int64 }
	for _, test := range []struct {
		sent any
		want int64
	}{{args{SPANMS: 1, Spanms: 2, SpanMS: 3}, 3}, {args{SPANMS: 1, Spanms: 2}, 0}} {
		var stream bytes.Buffer
		if err := gob.NewEncoder(&stream).Encode(test.sent); err != nil {
			t.Fatal(err)
		}
		var got VouchArgs
		if err := gob.NewDecoder(&stream).Decode(&got); err != nil || got.SpanMS != test.want {
			t.Errorf("%+v: got %+v, error %v", test.sent, got, err)
		}
	}
	var stream bytes.Buffer
	if err := gob.NewEncoder(&stream).Encode(otherArgs{SPANMS: 1}); err != nil {
		t.Fatal(err)
	}
	var got VouchArgs
	if err := gob.NewDecoder(&stream).Decode(&got); err == nil {
		t.Errorf("a message without a known field was decoded: %+v", got)
	}
}
