package simulator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Network connects hosts within one process over pipes, so that a test's fake time governs
// everything. Hosts are named by the address they listen on.
type Network struct {
	mu        sync.Mutex // guards listeners; taken before a host's lock
	listeners map[string]*listener
}

// NewNetwork makes an empty network.
func NewNetwork() *Network { return &Network{listeners: make(map[string]*listener)} }

// Host is one host's end of the network. Killing it ends everything it has open, as when a
// process is killed.
type Host struct {
	network *Network
	name    string

	mu        sync.Mutex       // guards all below
	conns     map[*conn]string // by the address dialled; empty for accepted ones
	listeners []*listener
	cut       map[string]bool // addresses that it can't reach
	killed    bool
	connLimit int           // most connections open at once; 0: any number
	mostConns int           // the most that were open
	frozen    chan struct{} // closed when the host goes on; nil while it does
	// delay draws how long a packet that the host sends is on its way.
	delay func() time.Duration
}

// Host adds a host. Those that it calls see its name as the caller's address.
func (n *Network) Host(name string) *Host {
	return &Host{network: n, name: name, conns: make(map[*conn]string), cut: make(map[string]bool)}
}

var errRefused = errors.New("connection refused")

// Listen opens a listener.
func (h *Host) Listen(_, addr string) (net.Listener, error) {
	l := &listener{host: h, addr: addr, queue: make(chan net.Conn), closed: make(chan struct{})}
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

// DialContext connects to a listener.
func (h *Host) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	h.network.mu.Lock()
	l := h.network.listeners[addr]
	h.network.mu.Unlock()
	if l == nil || h.isCut(addr) {
		return nil, errRefused
	}
	dialled, accepted := h.pipeTo(l)
	if h.keep(dialled, addr) && l.host.keep(accepted, "") {
		select {
		case l.queue <- accepted:
			return dialled, nil
		case <-l.closed:
		case <-ctx.Done():
		}
	}
	dialled.discard()
	accepted.discard()
	return nil, errRefused
}

// pipeTo makes both ends of a connection to a listener.
func (h *Host) pipeTo(l *listener) (dialled, accepted *conn) {
	near, far := net.Pipe()
	return &conn{Conn: near, host: h, peer: l.host.name, sender: l.host},
		&conn{Conn: far, host: l.host, peer: h.name, accepted: true}
}

func (h *Host) isCut(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut[addr]
}

// keep counts a connection as open, unless the host may have no more.
func (h *Host) keep(c *conn, addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed || h.connLimit > 0 && len(h.conns) >= h.connLimit {
		return false
	}
	h.conns[c] = addr
	h.mostConns = max(h.mostConns, len(h.conns))
	return true
}

// LimitConns bounds the connections that the host may have open.
func (h *Host) LimitConns(most int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.connLimit = most
}

// MaxOpenConns is the greatest number of connections that were open at once.
func (h *Host) MaxOpenConns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mostConns
}

// listener accepts connections to one address.
type listener struct {
	host   *Host
	addr   string
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once // closes closed
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
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

// Addr is the address that it listens on.
func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// conn is one host's end of a connection.
type conn struct {
	net.Conn
	host *Host
	peer string
	// sender is whose packets arrive late here: what a listener's host sends is waited for
	// where it is read. net/rpc writes its answers under a lock, and whoever waits for that
	// while its holder sleeps keeps a synctest bubble's time from going on, for ever.
	sender *Host
	// accepted is set on the listener's end.
	accepted bool
}

// RemoteAddr names the host at the other end.
func (c *conn) RemoteAddr() net.Addr { return address(c.peer) }

// Read reads what has come in.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.sender != nil {
		c.sender.waitForPacket()
	}
	c.host.waitWhileFrozen()
	return n, err
}

// Write sends.
func (c *conn) Write(data []byte) (int, error) {
	c.host.waitWhileFrozen()
	if !c.accepted {
		c.host.waitForPacket()
	}
	return c.Conn.Write(data)
}

// Close ends the connection.
func (c *conn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}

// discard ends a connection that nobody uses any more.
func (c *conn) discard() { _ = c.Close() } // closing a pipe can't fail

// reset ends the connection and leaves it to the caller to forget it.
func (c *conn) reset() { _ = c.Conn.Close() } // closing a pipe can't fail
