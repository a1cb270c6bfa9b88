package simulator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Network connects hosts within one process over pipes, so that a test's fake
// time governs everything. Hosts are named by the address they listen on.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNetwork makes an empty network.
func NewNetwork() *Network { return &Network{listeners: make(map[string]*listener)} }

// Host is one host's end of the network. Closing it ends everything it has
// open, as when a process is killed.
type Host struct {
	net   *Network
	name  string
	mu    sync.Mutex
	conns map[net.Conn]string // by the address dialled; empty for accepted ones
	lists []*listener
	cut   map[string]bool
	dead  bool
	limit int           // most connections open at once; 0: any number
	most  int           // the most that were open
	still chan struct{} // closed when the host goes on; nil while it does
	// delay draws how long a packet that the host sends is on its way.
	delay func() time.Duration
}

// Host adds a host. Those that it calls see its name as the caller's address.
func (n *Network) Host(name string) *Host {
	return &Host{net: n, name: name, conns: make(map[net.Conn]string), cut: make(map[string]bool)}
}

var errRefused = errors.New("connection refused")

type listener struct {
	host  *Host
	addr  string
	queue chan net.Conn
	done  chan struct{}
	once  sync.Once
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.host.net.mu.Lock()
		defer l.host.net.mu.Unlock()
		if l.host.net.listeners[l.addr] == l {
			delete(l.host.net.listeners, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

// Listen opens a listener.
func (h *Host) Listen(_, addr string) (net.Listener, error) {
	l := &listener{host: h, addr: addr, queue: make(chan net.Conn), done: make(chan struct{})}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[addr] != nil {
		return nil, errors.New("address in use")
	}
	h.net.listeners[addr] = l
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists = append(h.lists, l)
	return l, nil
}

// DialContext connects to a listener.
func (h *Host) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	h.net.mu.Lock()
	l := h.net.listeners[addr]
	h.net.mu.Unlock()
	h.mu.Lock()
	cut := h.cut[addr]
	h.mu.Unlock()
	if l == nil || cut {
		return nil, errRefused
	}
	a, b := net.Pipe()
	a, b = &end{Conn: a, host: h, peer: l.host.name, sender: l.host}, &end{Conn: b, host: l.host, peer: h.name, accepted: true}
	if !h.keep(a, addr) || !l.host.keep(b, "") {
		a.Close()
		b.Close()
		return nil, errRefused
	}
	select {
	case l.queue <- b:
		return a, nil
	case <-l.done:
	case <-ctx.Done():
	}
	a.Close()
	b.Close()
	return nil, errRefused
}

func (h *Host) keep(c net.Conn, addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead || h.limit > 0 && len(h.conns) >= h.limit {
		return false
	}
	h.conns[c] = addr
	h.most = max(h.most, len(h.conns))
	return true
}

// Limit bounds the connections that the host may have open.
func (h *Host) LimitConns(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = n
}

// Most is the greatest number of connections that were open at once.
func (h *Host) MaxOpenConns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.most
}

// Freeze keeps all that the host sends and receives until it goes on, as when
// its process stands still while its clocks run.
func (h *Host) Freeze() (goOn func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	still := make(chan struct{})
	h.still = still
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.still == still {
			h.still = nil
			close(still)
		}
	}
}

// stand waits while the host stands still.
func (h *Host) stand() {
	h.mu.Lock()
	still := h.still
	h.mu.Unlock()
	if still != nil {
		<-still
	}
}

// end is one host's end of a connection.
type end struct {
	net.Conn
	host *Host
	peer string
	// sender is whose packets come late here: what a listener's host sends is waited for
	// where it is read. net/rpc writes its answers under a lock, and whoever waits for
	// that while its holder sleeps keeps a bubble's time from going on, for ever.
	sender *Host
	// accepted is set on the listener's end.
	accepted bool
}

// RemoteAddr names the host at the other end.
func (e *end) RemoteAddr() net.Addr { return address(e.peer) }

// Read reads what has come in.
func (e *end) Read(b []byte) (int, error) {
	n, err := e.Conn.Read(b)
	if e.sender != nil {
		e.sender.wait()
	}
	e.host.stand()
	return n, err
}

// Write sends.
func (e *end) Write(b []byte) (int, error) {
	e.host.stand()
	if !e.accepted {
		e.host.wait()
	}
	return e.Conn.Write(b)
}

// wait takes as long as a packet of the host does.
func (h *Host) wait() {
	h.mu.Lock()
	delay := h.delay
	h.mu.Unlock()
	if delay != nil {
		time.Sleep(delay())
	}
}

// Delay has each packet that the host sends take as long as is drawn; nil: no
// time at all.
func (h *Host) DelayPackets(draw func() time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = draw
}

// Close ends the connection.
func (e *end) Close() error {
	e.host.mu.Lock()
	delete(e.host.conns, e)
	e.host.mu.Unlock()
	return e.Conn.Close()
}

// Cut resets the host's connections to these addresses and refuses new ones.
func (h *Host) Cut(addrs ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range addrs {
		h.cut[a] = true
	}
	for c, addr := range h.conns {
		if h.cut[addr] {
			c.(*end).Conn.Close()
			delete(h.conns, c)
		}
	}
}

// Heal ends all cuts.
func (h *Host) Heal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut = make(map[string]bool)
}

// Side is one side of a partition: hosts, and the addresses that they listen on.
type Side struct {
	Hosts []*Host
	Addrs []string
}

// Part cuts two sides off from each other, in both directions, as when two zones
// can't reach each other; both reach everybody else as before.
func Partition(a, b Side) {
	for _, h := range a.Hosts {
		h.Cut(b.Addrs...)
	}
	for _, h := range b.Hosts {
		h.Cut(a.Addrs...)
	}
}

// Kill ends all that the host has open.
func (h *Host) Kill() {
	h.mu.Lock()
	h.dead = true
	lists := h.lists
	for c := range h.conns {
		c.(*end).Conn.Close()
	}
	if h.still != nil {
		close(h.still)
		h.still = nil
	}
	h.mu.Unlock()
	for _, l := range lists {
		l.Close()
	}
}
