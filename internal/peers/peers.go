// Package peers is what the nodes tell one another, over net/rpc. A node that
// can't be reached proves nothing. Safety rests on it in one place alone: on what
// nodes vouch for while the state service does not answer.
package peers

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"thornnotch/internal/constants"
)

// ProgressArgs asks how far jobs are.
type ProgressArgs struct{ Jobs []string }

// TaskCounts is how far one job is.
type TaskCounts struct{ Done, Running int }

// ProgressReply is the answer. Jobs that this node does not know are left out;
// one that does not lead knows none.
type ProgressReply struct{ Jobs map[string]TaskCounts }

// HealthArgs asks whether the state service answers a node.
type HealthArgs struct{}

// HealthReply is the answer.
type HealthReply struct{ OK bool }

// RelayArgs is a user's request that a node can't serve itself.
type RelayArgs struct {
	Method, Path string
	Body         []byte
}

// RelayReply is what the user is answered.
type RelayReply struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// VouchArgs asks a node which cancellations it has told users of within a time.
type VouchArgs struct{ SpanMS int64 }

// VouchReply is the answer. Without OK the node can't say.
type VouchReply struct {
	OK        bool
	Cancelled []string
}

// FormatsArgs asks which stored formats a node's version reads.
type FormatsArgs struct{}

// FormatsReply is the answer. A version that does not know the question fails it.
type FormatsReply struct {
	// LogRingSize is the largest ring of log entries that it reads (entries).
	LogRing uint64
}

// Source answers for the local node.
type Source interface {
	// Vouch names the jobs that this process has told users, within so long a
	// time, are cancelled; false if it can't say.
	AttestCancellations(span time.Duration) (cancelled []string, ok bool)
	// Healthy tells whether the state service answers this node.
	Healthy() bool
	// Relay serves a user's request that came in at another node.
	Relay(ctx context.Context, req RelayArgs) RelayReply
	Progress(ctx context.Context, jobs []string) map[string]TaskCounts
	// Status is the node's own state, as JSON.
	Status(ctx context.Context) ([]byte, error)
}

// StatusArgs asks for a node's state.
type StatusArgs struct{}

// StatusReply is the answer.
type StatusReply struct{ JSON []byte }

// service is what net/rpc exports.
type service struct{ src Source }

// Progress answers another node.
func (s *service) Progress(args ProgressArgs, reply *ProgressReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), constants.MeshTimeout)
	defer cancel()
	reply.Jobs = s.src.Progress(ctx, args.Jobs)
	return nil
}

// Health answers another node.
func (s *service) Health(_ HealthArgs, reply *HealthReply) error {
	reply.OK = s.src.Healthy()
	return nil
}

// Vouch answers another node.
func (s *service) Vouch(args VouchArgs, reply *VouchReply) error {
	reply.Cancelled, reply.OK = s.src.AttestCancellations(time.Duration(args.SpanMS) * time.Millisecond)
	return nil
}

// Relay answers another node.
func (s *service) Relay(args RelayArgs, reply *RelayReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), constants.RelayTimeout)
	defer cancel()
	*reply = s.src.Relay(ctx, args)
	return nil
}

// Status answers another node.
func (s *service) Status(_ StatusArgs, reply *StatusReply) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), constants.MeshTimeout)
	defer cancel()
	reply.JSON, err = s.src.Status(ctx)
	return err
}

// Formats answers another node.
func (s *service) Formats(_ FormatsArgs, reply *FormatsReply) error {
	reply.LogRing = constants.LogLargeRingSize
	return nil
}

// Serve answers other nodes on l until ctx ends. It keeps so many connections at
// most: the oldest makes room, as it may well be left from before a cut, with
// nobody at its other end to close it.
func Serve(ctx context.Context, l net.Listener, src Source, most int) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Mesh", &service{src}); err != nil {
		return err
	}
	var mu sync.Mutex
	var conns []net.Conn // oldest first
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	})
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			time.Sleep(constants.BackoffMin)
			continue
		}
		mu.Lock()
		conns = append(conns, c)
		if len(conns) > most {
			// Off the list at once: it must not be closed again in place of the
			// next one before its routine has noticed.
			conns[0].Close()
			conns = conns[1:]
		}
		mu.Unlock()
		wg.Go(func() {
			srv.ServeConn(c)
			mu.Lock()
			conns = slices.DeleteFunc(conns, func(x net.Conn) bool { return x == c })
			mu.Unlock()
		})
	}
}

// Peers calls other nodes.
type Peers struct {
	addrs map[string]string
	dial  func(ctx context.Context, network, addr string) (net.Conn, error)
	mu    sync.Mutex
	open  map[string]*client
}

// client is a connection to a node. One call at a time is written to it, for
// which others wait no longer than they may: rpc.Client would have them wait for
// as long as the write takes, on a connection that nobody reads for ever.
type client struct {
	*rpc.Client
	writing chan struct{}
}

// NewPeers makes a caller of the nodes at these addresses, by label.
func NewPeers(addrs map[string]string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Peers {
	return &Peers{addrs: addrs, dial: dial, open: make(map[string]*client)}
}

var errNoPeer = errors.New("mesh: no such node")

func (p *Peers) client(ctx context.Context, label string) (*client, error) {
	p.mu.Lock()
	c := p.open[label]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	addr, ok := p.addrs[label]
	if !ok {
		return nil, errNoPeer
	}
	conn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c = &client{rpc.NewClient(conn), make(chan struct{}, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.open[label]; old != nil {
		c.Close()
		return old, nil
	}
	p.open[label] = c
	return c, nil
}

func (p *Peers) drop(label string, c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[label] == c {
		delete(p.open, label)
	}
	c.Close()
}

// call runs one call with a bound on its time. A connection that fails or is
// late is dropped.
func (p *Peers) call(ctx context.Context, limit time.Duration, label, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c, err := p.client(ctx, label)
	if err != nil {
		return err
	}
	select {
	case c.writing <- struct{}{}:
	case <-ctx.Done():
		p.drop(label, c)
		return ctx.Err()
	}
	sent := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	<-c.writing
	select {
	case done := <-sent.Done:
		var remote rpc.ServerError
		if done.Error != nil && !errors.As(done.Error, &remote) {
			p.drop(label, c)
		}
		return done.Error
	case <-ctx.Done():
		p.drop(label, c)
		return ctx.Err()
	}
}

// Progress asks a node how far jobs are.
func (p *Peers) Progress(ctx context.Context, label string, jobs []string) (map[string]TaskCounts, error) {
	reply := new(ProgressReply)
	if err := p.call(ctx, constants.MeshTimeout, label, "Mesh.Progress", ProgressArgs{jobs}, reply); err != nil {
		return nil, err
	}
	return reply.Jobs, nil
}

// Status asks a node for its state.
func (p *Peers) Status(ctx context.Context, label string) ([]byte, error) {
	reply := new(StatusReply)
	if err := p.call(ctx, constants.MeshTimeout, label, "Mesh.Status", StatusArgs{}, reply); err != nil {
		return nil, err
	}
	return reply.JSON, nil
}

// Health asks a node whether the state service answers it.
func (p *Peers) Health(ctx context.Context, label string) (bool, error) {
	reply := new(HealthReply)
	if err := p.call(ctx, constants.MeshTimeout, label, "Mesh.Health", HealthArgs{}, reply); err != nil {
		return false, err
	}
	return reply.OK, nil
}

// AttestCancellations asks a node which cancellations it has told users of within a time.
func (p *Peers) AttestCancellations(ctx context.Context, label string, span time.Duration) (cancelled []string, ok bool) {
	reply := new(VouchReply)
	// Rounded up: never less than was asked for.
	args := VouchArgs{SpanMS: span.Milliseconds() + 1}
	if err := p.call(ctx, constants.MeshTimeout, label, "Mesh.Vouch", args, reply); err != nil {
		return nil, false
	}
	return reply.Cancelled, reply.OK
}

// Formats asks which stored formats a node's version reads.
func (p *Peers) Formats(ctx context.Context, label string) (FormatsReply, error) {
	reply := new(FormatsReply)
	if err := p.call(ctx, constants.MeshTimeout, label, "Mesh.Formats", FormatsArgs{}, reply); err != nil {
		return FormatsReply{}, err
	}
	return *reply, nil
}

// Relay has a node serve a user's request.
func (p *Peers) Relay(ctx context.Context, label string, req RelayArgs) (RelayReply, error) {
	reply := new(RelayReply)
	if err := p.call(ctx, constants.RelayTimeout, label, "Mesh.Relay", req, reply); err != nil {
		return RelayReply{}, err
	}
	return *reply, nil
}
