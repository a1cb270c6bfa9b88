package node

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"thornnotch/internal/constants"
)

// connTracker decides whose connections are kept when sockets run short. Workers are
// as many as there are machines, and each keeps one connection to the leader;
// users come in any number and keep theirs open. A worker that finds no room
// loses its lease, and with it all its tasks; a user comes again. So users'
// connections are closed after each response first; when even that is not enough,
// idle ones of users are closed, and workers' are closed after each response too:
// then only those that have something to say take a socket.
type connTracker struct {
	limit int // 0: none

	mu   sync.Mutex // guards all below
	open map[net.Conn]*trackedConn
	idle *list.List // users' connections with no request under way, longest idle first
	// closedIdle counts idle connections of users that were closed for want of room,
	// refused those that found none.
	closedIdle, refused uint64
}

// trackedConn is a connection of a user or a worker.
type trackedConn struct {
	worker bool
	idle   *list.Element // its place in connTracker.idle; nil while it is not there
}

// trackedConnKey finds the trackedConn in a request's context.
type trackedConnKey struct{}

func newConnTracker(limit int) *connTracker {
	return &connTracker{limit: limit, open: make(map[net.Conn]*trackedConn), idle: list.New()}
}

// limitedListener accepts connections as long as there is room. At the limit the next
// one is closed at once: left waiting, it would take a socket all the same, those that
// our own calls need in the end, and its owner would learn nothing for seconds.
// (netutil's listener lets them wait.)
type limitedListener struct {
	net.Listener
	connections *connTracker
}

// Accept returns the next connection that there is room for.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.connections.admit() {
			return conn, err
		}
		_ = conn.Close() // refused: nothing was sent
	}
}

// admit tells whether there is room for one more connection.
func (t *connTracker) admit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit > 0 && len(t.open) >= t.limit {
		t.refused++
		return false
	}
	return true
}

// withConn is the server's ConnContext: it gives a connection's requests a way to say
// whose it is.
func (t *connTracker) withConn(ctx context.Context, conn net.Conn) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	return context.WithValue(ctx, trackedConnKey{}, t.track(conn))
}

// track returns the entry of a connection; the server may name one first by withConn
// or by onStateChange.
func (t *connTracker) track(conn net.Conn) *trackedConn {
	tracked := t.open[conn]
	if tracked == nil {
		tracked = &trackedConn{}
		t.open[conn] = tracked
	}
	return tracked
}

// onStateChange is the server's ConnState: it keeps count of open connections, and
// closes the longest idle one of a user when a new one takes one of the last places.
func (t *connTracker) onStateChange(conn net.Conn, state http.ConnState) {
	if evicted := t.noteState(conn, state); evicted != nil {
		// With no request under way nothing is lost by it.
		_ = evicted.Close()
	}
}

// noteState returns the connection that must be closed to make room, if any.
func (t *connTracker) noteState(conn net.Conn, state http.ConnState) (evicted net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.track(conn)
		if t.overThreshold(constants.SocketsFull) {
			evicted = t.takeLongestIdle()
		}
	case http.StateActive:
		t.markBusy(t.open[conn])
	case http.StateIdle:
		if tracked := t.open[conn]; tracked != nil && !tracked.worker {
			tracked.idle = t.idle.PushBack(conn)
		}
	case http.StateClosed, http.StateHijacked:
		t.markBusy(t.open[conn])
		delete(t.open, conn)
	}
	return evicted
}

// markBusy takes a connection off the list of idle ones.
func (t *connTracker) markBusy(tracked *trackedConn) {
	if tracked != nil && tracked.idle != nil {
		t.idle.Remove(tracked.idle)
		tracked.idle = nil
	}
}

// takeLongestIdle takes the user's connection off the list that has been idle longest;
// nil if none is idle.
func (t *connTracker) takeLongestIdle() net.Conn {
	front := t.idle.Front()
	if front == nil {
		return nil
	}
	conn := front.Value.(net.Conn)
	t.markBusy(t.open[conn])
	t.closedIdle++
	return conn
}

// overThreshold tells whether more than a share of the places is taken.
func (t *connTracker) overThreshold(share float64) bool {
	return t.limit > 0 && float64(len(t.open)) > share*float64(t.limit)
}

// scarce tells whether users' connections are closed after each response.
func (t *connTracker) scarce() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overThreshold(constants.SocketsScarce)
}

// onUserRequest tells whether the connection must be closed after the response.
func (t *connTracker) onUserRequest() (closeAfter bool) { return t.scarce() }

// onWorkerRequest notes that a request's connection is a worker's, and tells whether it
// must be closed after the response.
func (t *connTracker) onWorkerRequest(ctx context.Context) (closeAfter bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracked, ok := ctx.Value(trackedConnKey{}).(*trackedConn); ok {
		tracked.worker = true
	}
	return t.overThreshold(constants.SocketsFull)
}

// SocketUsage is how many connections of users and workers are open.
type SocketUsage struct {
	Open  int `json:"open"`
	Limit int `json:"limit"` // 0: none
	// ClosedIdle are users' connections that were closed for want of room since the
	// process began, Refused those that found none.
	ClosedIdle uint64 `json:"ended"`
	Refused    uint64 `json:"refused"`
}

func (t *connTracker) usage() SocketUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return SocketUsage{Open: len(t.open), Limit: t.limit, ClosedIdle: t.closedIdle, Refused: t.refused}
}
