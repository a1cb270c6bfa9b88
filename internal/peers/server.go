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

// LocalNode answers the calls of other nodes.
type LocalNode interface {
	// AttestCancellations names the jobs whose cancellation this process has
	// confirmed to users within the span; false if it can't say.
	AttestCancellations(span time.Duration) (cancelled []string, ok bool)
	// Healthy tells whether the state service answers this node.
	Healthy() bool
	// Relay serves a user's request that came in at another node.
	Relay(ctx context.Context, request RelayArgs) RelayReply
	// Progress tells the progress of jobs if this node leads.
	Progress(ctx context.Context, jobs []string) map[string]TaskCounts
	// Status is the node's own status as JSON.
	Status(ctx context.Context) ([]byte, error)
}

// rpcService is what net/rpc exports: its methods' names are part of the wire format.
type rpcService struct{ node LocalNode }

// Progress answers ProgressArgs.
func (s *rpcService) Progress(args ProgressArgs, reply *ProgressReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), constants.MeshTimeout)
	defer cancel()
	reply.Jobs = s.node.Progress(ctx, args.Jobs)
	return nil
}

// Health answers HealthArgs.
func (s *rpcService) Health(_ HealthArgs, reply *HealthReply) error {
	reply.OK = s.node.Healthy()
	return nil
}

// Vouch answers VouchArgs.
func (s *rpcService) Vouch(args VouchArgs, reply *VouchReply) error {
	reply.Cancelled, reply.OK = s.node.AttestCancellations(time.Duration(args.SpanMS) * time.Millisecond)
	return nil
}

// Relay answers RelayArgs.
func (s *rpcService) Relay(args RelayArgs, reply *RelayReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), constants.RelayTimeout)
	defer cancel()
	*reply = s.node.Relay(ctx, args)
	return nil
}

// Status answers StatusArgs.
func (s *rpcService) Status(_ StatusArgs, reply *StatusReply) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), constants.MeshTimeout)
	defer cancel()
	reply.JSON, err = s.node.Status(ctx)
	return err
}

// Formats answers FormatsArgs.
func (s *rpcService) Formats(_ FormatsArgs, reply *FormatsReply) error {
	reply.LogRing = constants.LogLargeRingSize
	return nil
}

// Serve answers other nodes' calls on the listener until ctx ends, and returns once
// all connections are closed. It keeps maxConns connections at most.
func Serve(ctx context.Context, listener net.Listener, node LocalNode, maxConns int) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &rpcService{node}); err != nil {
		return fmt.Errorf("register the %s service: %w", serviceName, err)
	}
	open := &connections{limit: maxConns}
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close() // Accept returns; there is nobody to tell of an error
		open.closeAll()
	})
	defer stop()
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return err
		default: // too many open files, for one: it may pass
			time.Sleep(constants.MinBackoff)
			continue
		}
		open.add(conn)
		serving.Go(func() {
			server.ServeConn(conn)
			open.remove(conn)
		})
	}
}

// connections are the open connections from other nodes. Beyond the limit the oldest
// is closed: it may well be left from before a network partition, with nobody at its
// other end to close it.
type connections struct {
	limit int

	mu   sync.Mutex
	open []net.Conn // oldest first; guarded by mu
}

// add takes in a new connection.
func (c *connections) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, conn)
	if len(c.open) > c.limit {
		// Off the list at once: it must not be closed again in place of the next
		// one before the goroutine that serves it has noticed.
		_ = c.open[0].Close()
		c.open = c.open[1:]
	}
}

// remove takes out a connection that is closed.
func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = slices.DeleteFunc(c.open, func(other net.Conn) bool { return other == conn })
}

// closeAll closes all connections, so that the goroutines that serve them end.
func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
}
