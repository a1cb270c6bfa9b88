package node

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"thornnotch/internal/constants"
)

// connTracker decides which connections to close when sockets run short. The number of workers
// is bounded by the number of machines, and each keeps one connection to the leader. The
// number of users is unbounded, and they keep their connections open. A worker that cannot
// connect loses its lease and with it all its tasks, while a user can retry. So users'
// connections are the first to be closed after each response. If that is not enough, idle user
// connections are closed and workers' connections are closed after each response as well, so
// that only clients with a request in flight occupy a socket.
type connTracker struct {
	limit int // 0 means unlimited

	mu   sync.Mutex // guards the fields below
	open map[net.Conn]*trackedConn
	idle *list.List // idle user connections, longest idle first
	// closedIdle counts the idle user connections that were closed to free sockets. refused
	// counts the new connections that were closed at once because the limit was reached.
	closedIdle, refused uint64
}

// trackedConn is the state of one connection of a user or a worker.
type trackedConn struct {
	worker bool
	idle   *list.Element // element of connTracker.idle; nil unless idle
}

// trackedConnKey is the context key of a request's trackedConn.
type trackedConnKey struct{}

func newConnTracker(limit int) *connTracker {
	return &connTracker{limit: limit, open: make(map[net.Conn]*trackedConn), idle: list.New()}
}

// limitedListener accepts connections up to the tracker's limit and closes further ones at
// once. Leaving them in the accept queue, as netutil.LimitListener does, would still occupy
// sockets, eventually those that this node's outgoing calls need, and the client would get no
// error for seconds.
type limitedListener struct {
	net.Listener
	connections *connTracker
}

// Accept returns the next connection that is within the limit.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.connections.admit() {
			return conn, err
		}
		_ = conn.Close() // nothing was sent on it yet
	}
}

// admit reports whether another connection is within the limit.
func (t *connTracker) admit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit > 0 && len(t.open) >= t.limit {
		t.refused++
		return false
	}
	return true
}

// connContext is the server's ConnContext hook. It stores the trackedConn in the context of
// the connection's requests, so that a handler can mark it as a worker's.
func (t *connTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	return context.WithValue(ctx, trackedConnKey{}, t.track(conn))
}

// track returns the connection's entry and creates it if needed: the server may call either
// connContext or onStateChange first.
func (t *connTracker) track(conn net.Conn) *trackedConn {
	tracked := t.open[conn]
	if tracked == nil {
		tracked = &trackedConn{}
		t.open[conn] = tracked
	}
	return tracked
}

// onStateChange is the server's ConnState hook. It tracks the open connections. If a new one
// brings the usage above constants.FullSocketShare, it closes the user connection that has been
// idle longest.
func (t *connTracker) onStateChange(conn net.Conn, state http.ConnState) {
	if evicted := t.updateState(conn, state); evicted != nil {
		// An idle connection has no request in flight, so closing it loses nothing.
		_ = evicted.Close()
	}
}

// updateState tracks a state change and returns the connection to close to free a socket, if
// any.
func (t *connTracker) updateState(conn net.Conn, state http.ConnState) (evicted net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.track(conn)
		if t.usageAbove(constants.FullSocketShare) {
			evicted = t.evictLongestIdle()
		}
	case http.StateActive:
		t.removeIdle(t.open[conn])
	case http.StateIdle:
		if tracked := t.open[conn]; tracked != nil && !tracked.worker {
			tracked.idle = t.idle.PushBack(conn)
		}
	case http.StateClosed, http.StateHijacked:
		t.removeIdle(t.open[conn])
		delete(t.open, conn)
	}
	return evicted
}

// removeIdle removes a connection from the idle list.
func (t *connTracker) removeIdle(tracked *trackedConn) {
	if tracked != nil && tracked.idle != nil {
		t.idle.Remove(tracked.idle)
		tracked.idle = nil
	}
}

// evictLongestIdle removes the user connection that has been idle longest from the idle list
// and returns it, or nil if none is idle.
func (t *connTracker) evictLongestIdle() net.Conn {
	front := t.idle.Front()
	if front == nil {
		return nil
	}
	conn := front.Value.(net.Conn)
	t.removeIdle(t.open[conn])
	t.closedIdle++
	return conn
}

// usageAbove reports whether more than the given share of the limit is in use.
func (t *connTracker) usageAbove(share float64) bool {
	return t.limit > 0 && float64(len(t.open)) > share*float64(t.limit)
}

// scarce reports whether the usage is above constants.ScarceSocketShare, so that users'
// connections are closed after each response.
func (t *connTracker) scarce() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usageAbove(constants.ScarceSocketShare)
}

// onUserRequest reports whether to close the connection after the response.
func (t *connTracker) onUserRequest() (closeAfter bool) { return t.scarce() }

// onWorkerRequest marks the request's connection as a worker's and reports whether to close it
// after the response.
func (t *connTracker) onWorkerRequest(ctx context.Context) (closeAfter bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracked, ok := ctx.Value(trackedConnKey{}).(*trackedConn); ok {
		tracked.worker = true
	}
	return t.usageAbove(constants.FullSocketShare)
}

// SocketUsage counts the connections of users and workers.
type SocketUsage struct {
	Open  int `json:"open"`
	Limit int `json:"limit"` // 0 means unlimited
	// ClosedIdle counts the idle user connections that were closed to free sockets since the
	// process started. Refused counts the new connections that were closed at once because the
	// limit was reached.
	ClosedIdle uint64 `json:"ended"`
	Refused    uint64 `json:"refused"`
}

func (t *connTracker) usage() SocketUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return SocketUsage{Open: len(t.open), Limit: t.limit, ClosedIdle: t.closedIdle, Refused: t.refused}
}
