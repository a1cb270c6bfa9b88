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

// fakeConn is a net.Conn that only records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error { c.closed = true; return nil }

// TestUserConnectionsCloseNearSocketLimit checks that user connections stay open after a
// response while sockets are plentiful and are closed after it once sockets run short, and that
// closed connections no longer count.
func TestUserConnectionsCloseNearSocketLimit(t *testing.T) {
	n := New(&config.Settings{NodeName: "rig-0"}, config.DefaultOperator(), OSNetwork{&net.Dialer{}}, slog.New(slog.DiscardHandler))
	n.userHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	n.connections.limit = 20
	var open []net.Conn
	for i := range 20 {
		response := httptest.NewRecorder()
		n.serveUser(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/work/j-1", nil))
		if closed := response.Header().Get("Connection") == "close"; closed != (i > 17) {
			t.Errorf("with %d of 20 connections open: closed after the response: %v, want true only above 17", i, closed)
		}
		open = append(open, &fakeConn{})
		n.connections.onStateChange(open[i], http.StateNew)
	}
	for _, conn := range open[:3] {
		n.connections.onStateChange(conn, http.StateClosed)
	}
	if n.connections.onUserRequest() {
		t.Errorf("a connection is closed after the response with 17 of 20 open, want it kept open")
	}
}

// TestConnTrackerKeepsWorkersConnected runs connections of users and workers through random
// sequences of requests, responses and disconnects. The tracker must never close a worker's
// connection or one with a request in flight, and must admit every new connection while a user
// connection is idle. Otherwise idle users could keep a worker from connecting.
func TestConnTrackerKeepsWorkersConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := &modelServer{t: t, tracker: newConnTracker(40)}
		actions := []func(){server.connect, server.serveRequest, server.disconnect}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			server.checkCount()
		}
	})
}

// modelServer calls a connTracker as the HTTP server does.
type modelServer struct {
	t       *rapid.T
	tracker *connTracker
	clients []*modelClient // clients with an open connection
}

// modelClient is a user or a worker with one connection.
type modelClient struct {
	conn           *fakeConn
	worker, active bool // active: a request is in flight
}

// connect opens a connection of a user or a worker and sends a first request. The connection
// must be admitted unless the limit is reached and no user connection is idle.
func (s *modelServer) connect() {
	idle := s.tracker.idle.Len()
	if !s.tracker.admit() {
		if idle > 0 || len(s.clients) < s.tracker.limit {
			s.t.Fatalf("new connection refused with %d open and %d idle user connections", len(s.clients), idle)
		}
		return
	}
	client := &modelClient{conn: &fakeConn{}, worker: rapid.Bool().Draw(s.t, "worker")}
	ctx := s.tracker.connContext(s.t.Context(), client.conn)
	s.tracker.onStateChange(client.conn, http.StateNew)
	s.clients = append(s.clients, client)
	s.beginRequest(client)
	if client.worker {
		s.tracker.onWorkerRequest(ctx)
	}
	s.removeClosed()
}

// serveRequest responds to a request of a random client.
func (s *modelServer) serveRequest() {
	if len(s.clients) == 0 {
		return
	}
	client := s.clients[rapid.IntRange(0, len(s.clients)-1).Draw(s.t, "client")]
	if !client.active {
		s.beginRequest(client)
	}
	var closeAfter bool
	if client.worker {
		closeAfter = s.tracker.onWorkerRequest(s.tracker.connContext(s.t.Context(), client.conn))
	} else {
		closeAfter = s.tracker.onUserRequest()
	}
	client.active = false
	if !closeAfter {
		s.tracker.onStateChange(client.conn, http.StateIdle)
		return
	}
	client.conn.closed = true
	s.remove(client)
}

// disconnect closes the connection of a random client.
func (s *modelServer) disconnect() {
	if len(s.clients) > 0 {
		s.remove(s.clients[rapid.IntRange(0, len(s.clients)-1).Draw(s.t, "disconnected client")])
	}
}

func (s *modelServer) beginRequest(client *modelClient) {
	s.tracker.onStateChange(client.conn, http.StateActive)
	client.active = true
}

// remove reports a closed connection to the tracker.
func (s *modelServer) remove(client *modelClient) {
	s.tracker.onStateChange(client.conn, http.StateClosed)
	s.clients = slices.DeleteFunc(s.clients, func(other *modelClient) bool { return other == client })
}

// removeClosed removes the connections that the tracker has closed, and fails if one of them
// was a worker's or had a request in flight.
func (s *modelServer) removeClosed() {
	for _, client := range slices.Clone(s.clients) {
		if !client.conn.closed {
			continue
		}
		if client.worker || client.active {
			s.t.Fatalf("closed a connection of a worker or with a request in flight: %+v", client)
		}
		s.remove(client)
	}
}

// checkCount fails unless the tracker counts exactly the open connections and stays within its
// limit.
func (s *modelServer) checkCount() {
	if got := s.tracker.usage().Open; got != len(s.clients) || got > s.tracker.limit {
		s.t.Fatalf("%d connections open, tracker counted %d", len(s.clients), got)
	}
}
