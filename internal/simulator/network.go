package simulator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Network connects hosts within one process over in-memory pipes, so that a test's fake clock
// controls all network timing. A host is identified by the address that it listens on.
type Network struct {
	mu        sync.Mutex // guards listeners; lock order: before Host.mu
	listeners map[string]*listener
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network { return &Network{listeners: make(map[string]*listener)} }

// Host is a host on a Network. Kill closes all its listeners and connections, as when a
// process is killed.
type Host struct {
	network *Network
	name    string

	mu           sync.Mutex       // guards the fields below
	conns        map[*conn]string // dialled address of each open connection; empty if accepted
	listeners    []*listener
	unreachable  map[string]bool // addresses that the host can't reach
	killed       bool
	connLimit    int           // maximum number of open connections; 0 means no limit
	maxOpenConns int           // highest number of open connections so far
	frozen       chan struct{} // closed when the host resumes; nil if it is not frozen
	// packetDelay returns the delay of the next packet that the host sends; nil means no
	// delay.
	packetDelay func() time.Duration
}

// Host returns a new host. Peers that it connects to see name as its remote address.
func (n *Network) Host(name string) *Host {
	return &Host{network: n, name: name, conns: make(map[*conn]string), unreachable: make(map[string]bool)}
}

var errRefused = errors.New("connection refused")

// Listen announces on addr.
func (h *Host) Listen(_, addr string) (net.Listener, error) {
	l := &listener{host: h, addr: addr, incoming: make(chan net.Conn), closed: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[addr] != nil {
		return nil, errors.New("address in use")
	}
	h.network.listeners[addr] = l
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, l)
	return l, nil
}

// DialContext connects to the listener at addr.
func (h *Host) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	h.network.mu.Lock()
	l := h.network.listeners[addr]
	h.network.mu.Unlock()
	if l == nil || h.isUnreachable(addr) {
		return nil, errRefused
	}
	dialled, accepted := h.newConnPair(l)
	if h.addConn(dialled, addr) && l.host.addConn(accepted, "") {
		select {
		case l.incoming <- accepted:
			return dialled, nil
		case <-l.closed:
		case <-ctx.Done():
		}
	}
	dialled.discard()
	accepted.discard()
	return nil, errRefused
}

// newConnPair returns both ends of a new connection from h to a listener.
func (h *Host) newConnPair(l *listener) (dialled, accepted *conn) {
	dialledEnd, acceptedEnd := net.Pipe()
	return &conn{Conn: dialledEnd, host: h, remoteName: l.host.name, sender: l.host},
		&conn{Conn: acceptedEnd, host: l.host, remoteName: h.name, accepted: true}
}

func (h *Host) isUnreachable(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unreachable[addr]
}

// addConn registers an open connection. It reports false if the host was killed or has reached
// its connection limit.
func (h *Host) addConn(c *conn, addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed || h.connLimit > 0 && len(h.conns) >= h.connLimit {
		return false
	}
	h.conns[c] = addr
	h.maxOpenConns = max(h.maxOpenConns, len(h.conns))
	return true
}

// LimitConns limits the number of connections that the host may have open at once.
func (h *Host) LimitConns(limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.connLimit = limit
}

// MaxOpenConns returns the highest number of connections that were open at once.
func (h *Host) MaxOpenConns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.maxOpenConns
}

// listener implements net.Listener for one address.
type listener struct {
	host     *Host
	addr     string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once // guards the closing of closed
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and frees its address.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.host.network.mu.Lock()
		defer l.host.network.mu.Unlock()
		if l.host.network.listeners[l.addr] == l {
			delete(l.host.network.listeners, l.addr)
		}
	})
	return nil
}

// Addr returns the address that the listener listens on.
func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// conn is one host's end of a connection.
type conn struct {
	net.Conn
	host       *Host
	remoteName string
	// sender is the accepting host, and nil on the accepting end. The packet delay of the
	// accepting host is applied when the dialling end reads and not when the accepting host
	// writes, because net/rpc writes its responses under a mutex: goroutines blocked on a mutex
	// whose holder sleeps keep the clock of a synctest bubble from advancing, and the test
	// would hang.
	sender *Host
	// accepted is true on the accepting end.
	accepted bool
}

// RemoteAddr returns the name of the host at the other end.
func (c *conn) RemoteAddr() net.Addr { return address(c.remoteName) }

// Read reads from the connection. Once data has arrived, the dialling end waits for the sender's
// packet delay. Read does not return while the host is frozen.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.sender != nil {
		c.sender.sleepPacketDelay()
	}
	c.host.waitUntilResumed()
	return n, err
}

// Write writes to the connection. It blocks while the host is frozen. The dialling end also
// waits for the host's packet delay.
func (c *conn) Write(data []byte) (int, error) {
	c.host.waitUntilResumed()
	if !c.accepted {
		c.host.sleepPacketDelay()
	}
	return c.Conn.Write(data)
}

// Close closes the connection and removes it from the host's open connections.
func (c *conn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}

// discard closes a connection that could not be established.
func (c *conn) discard() { _ = c.Close() } // closing a pipe can't fail

// reset closes the connection without removing it from the host's open connections. Unlike
// Close, it can be called with the host's lock held.
func (c *conn) reset() { _ = c.Conn.Close() } // closing a pipe can't fail
