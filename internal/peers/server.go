package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"thornnotch/internal/constants"
)

// LocalNode is the node that serves the calls of other nodes.
type LocalNode interface {
	// AttestCancellations returns the IDs of the jobs whose cancellation this process may have
	// confirmed to users within the window before the call. ok is false if it can't give a
	// complete list.
	AttestCancellations(window time.Duration) (cancelled []string, ok bool)
	// Healthy reports whether the state service responds to this node.
	Healthy() bool
	// Relay serves a user's request that another node received.
	Relay(ctx context.Context, request RelayArgs) RelayReply
	// Progress returns the progress of the given jobs if this node is the leader.
	Progress(ctx context.Context, jobs []string) map[string]TaskCounts
	// Status returns the node's own status as JSON.
	Status(ctx context.Context) ([]byte, error)
}

// rpcService is the service that net/rpc exports. Its method names are part of the wire
// format.
type rpcService struct{ node LocalNode }

// Progress calls LocalNode.Progress.
func (s *rpcService) Progress(args ProgressArgs, reply *ProgressReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), constants.PeerTimeout)
	defer cancel()
	reply.Jobs = s.node.Progress(ctx, args.Jobs)
	return nil
}

// Health calls LocalNode.Healthy.
func (s *rpcService) Health(_ HealthArgs, reply *HealthReply) error {
	reply.OK = s.node.Healthy()
	return nil
}

// Vouch calls LocalNode.AttestCancellations.
func (s *rpcService) Vouch(args VouchArgs, reply *VouchReply) error {
	reply.Cancelled, reply.OK = s.node.AttestCancellations(time.Duration(args.SpanMS) * time.Millisecond)
	return nil
}

// Relay calls LocalNode.Relay.
func (s *rpcService) Relay(args RelayArgs, reply *RelayReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), constants.RelayTimeout)
	defer cancel()
	*reply = s.node.Relay(ctx, args)
	return nil
}

// Status calls LocalNode.Status.
func (s *rpcService) Status(_ StatusArgs, reply *StatusReply) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), constants.PeerTimeout)
	defer cancel()
	reply.JSON, err = s.node.Status(ctx)
	return err
}

// Formats returns the stored formats that this version can read.
func (s *rpcService) Formats(_ FormatsArgs, reply *FormatsReply) error {
	reply.LogRing = constants.LogLargeRingSize
	return nil
}

// Serve serves the calls of other nodes on the listener until ctx ends, and returns once all
// connections are closed. At most maxConns connections are open at a time.
func Serve(ctx context.Context, listener net.Listener, node LocalNode, maxConns int) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &rpcService{node}); err != nil {
		return fmt.Errorf("register RPC service %s: %w", serviceName, err)
	}
	conns := &connSet{limit: maxConns}
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close() // makes Accept return
		conns.closeAll()
	})
	defer stop()
	var handlers sync.WaitGroup
	defer handlers.Wait()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return err
		default: // possibly temporary, such as too many open files
			time.Sleep(constants.MinStateBackoff)
			continue
		}
		conns.add(conn)
		handlers.Go(func() {
			server.ServeConn(conn)
			conns.remove(conn)
		})
	}
}

// connSet contains the open connections from other nodes. When the limit is exceeded, the
// oldest is closed: it may be left over from before a network partition, so that its other
// end will never close it.
type connSet struct {
	limit int

	mu    sync.Mutex
	conns []net.Conn // oldest first; guarded by mu
}

// add adds a connection, and closes the oldest if the limit is exceeded.
func (c *connSet) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	if len(c.conns) > c.limit {
		// Removed here rather than by the goroutine that serves it: if that runs late, the
		// next add would close this connection again instead of the next oldest.
		_ = c.conns[0].Close()
		c.conns = c.conns[1:]
	}
}

// remove removes a connection that is closed.
func (c *connSet) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = slices.DeleteFunc(c.conns, func(other net.Conn) bool { return other == conn })
}

// closeAll closes all connections, which ends the goroutines that serve them.
func (c *connSet) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
