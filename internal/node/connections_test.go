package node

import (
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
)

// fakeConn is a connection that only knows whether it is open.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error { c.closed = true; return nil }

// TestUsersLeaveSocketsToWorkers: while connections are plenty users keep
// theirs; when they run short, each is closed after its response.
func TestUsersLeaveSocketsToWorkers(t *testing.T) {
	n := New(&config.Settings{NodeName: "rig-0"}, config.DefaultOperator(), System{&net.Dialer{}}, slog.New(slog.DiscardHandler))
	n.userHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	n.connections.limit = 20
	var open []net.Conn
	for i := range 20 {
		response := httptest.NewRecorder()
		n.serveUser(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/work/j-1", nil))
		if closed := response.Header().Get("Connection") == "close"; closed != (i > 17) {
			t.Errorf("%d of 20 open: closed %v", i, closed)
		}
		open = append(open, &fakeConn{})
		n.connections.onStateChange(open[i], http.StateNew)
	}
	for _, conn := range open[:3] {
		n.connections.onStateChange(conn, http.StateClosed)
	}
	if n.connections.onUserRequest() {
		t.Errorf("connections that were closed still count")
	}
}

// TestWhoGetsASocket drives connections of users and workers through any order
// of requests, responses and ends. Whatever comes, a worker's connection is
// never closed by us, nor any with a request under way, and while users idle
// there is room for whoever comes: it is not chance who finds a socket.
func TestWhoGetsASocket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := &modelServer{t: t, tracker: newConnTracker(40)}
		actions := []func(){server.connect, server.serveRequest, server.disconnect}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "what")]()
			server.checkCount()
		}
	})
}

// modelServer drives a connTracker as the HTTP server does.
type modelServer struct {
	t       *rapid.T
	tracker *connTracker
	peers   []*modelPeer // with an open connection
}

// modelPeer is a user or a worker with one connection.
type modelPeer struct {
	conn           *fakeConn
	worker, active bool // active: a request is under way
}

// connect has a user or a worker open a connection with a first request. It finds room
// unless all places are taken and no user idles.
func (s *modelServer) connect() {
	idle := s.tracker.idle.Len()
	if !s.tracker.admit() {
		if idle > 0 || len(s.peers) < s.tracker.limit {
			s.t.Fatalf("no room for a new connection beside %d while %d users idle", len(s.peers), idle)
		}
		return
	}
	peer := &modelPeer{conn: &fakeConn{}, worker: rapid.Bool().Draw(s.t, "worker")}
	ctx := s.tracker.withConn(s.t.Context(), peer.conn)
	s.tracker.onStateChange(peer.conn, http.StateNew)
	s.peers = append(s.peers, peer)
	s.beginRequest(peer)
	if peer.worker {
		s.tracker.onWorkerRequest(ctx)
	}
	s.noticeClosed()
}

// serveRequest responds to a request of any peer.
func (s *modelServer) serveRequest() {
	if len(s.peers) == 0 {
		return
	}
	peer := s.peers[rapid.IntRange(0, len(s.peers)-1).Draw(s.t, "who")]
	if !peer.active {
		s.beginRequest(peer)
	}
	var closeAfter bool
	if peer.worker {
		closeAfter = s.tracker.onWorkerRequest(s.tracker.withConn(s.t.Context(), peer.conn))
	} else {
		closeAfter = s.tracker.onUserRequest()
	}
	peer.active = false
	if !closeAfter {
		s.tracker.onStateChange(peer.conn, http.StateIdle)
		return
	}
	peer.conn.closed = true
	s.remove(peer)
}

// disconnect has any peer close its connection.
func (s *modelServer) disconnect() {
	if len(s.peers) > 0 {
		s.remove(s.peers[rapid.IntRange(0, len(s.peers)-1).Draw(s.t, "gone")])
	}
}

func (s *modelServer) beginRequest(peer *modelPeer) {
	s.tracker.onStateChange(peer.conn, http.StateActive)
	peer.active = true
}

// remove has the server notice that a connection is closed.
func (s *modelServer) remove(peer *modelPeer) {
	s.tracker.onStateChange(peer.conn, http.StateClosed)
	s.peers = slices.DeleteFunc(s.peers, func(other *modelPeer) bool { return other == peer })
}

// noticeClosed removes the connections that the tracker has closed, and demands that
// none of them must be kept.
func (s *modelServer) noticeClosed() {
	for _, peer := range slices.Clone(s.peers) {
		if !peer.conn.closed {
			continue
		}
		if peer.worker || peer.active {
			s.t.Fatalf("a connection was closed that must be kept: %+v", peer)
		}
		s.remove(peer)
	}
}

// checkCount demands that the tracker counts the open connections, within its limit.
func (s *modelServer) checkCount() {
	if got := s.tracker.usage().Open; got != len(s.peers) || got > s.tracker.limit {
		s.t.Fatalf("%d open, counted %d", len(s.peers), got)
	}
}
