package node

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
)

// conn is a connection that only knows whether it is open.
type conn struct {
	net.Conn
	closed bool
}

func (c *conn) Close() error { c.closed = true; return nil }

// TestUsersLeaveSocketsToWorkers: while connections are plenty users keep
// theirs; when they run short, each is closed after its answer.
func TestUsersLeaveSocketsToWorkers(t *testing.T) {
	n := New(&config.Settings{NodeName: "rig-0"}, config.DefaultOperator(), System{&net.Dialer{}}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	n.users = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	n.sockets.limit = 20
	var open []net.Conn
	for i := range 20 {
		w := httptest.NewRecorder()
		n.serveUser(w, httptest.NewRequest("GET", "/work/j-1", nil))
		if closed := w.Header().Get("Connection") == "close"; closed != (i > 17) {
			t.Errorf("%d of 20 open: closed %v", i, closed)
		}
		open = append(open, &conn{})
		n.sockets.follow(open[i], http.StateNew)
	}
	for _, c := range open[:3] {
		n.sockets.follow(c, http.StateClosed)
	}
	if n.sockets.user() {
		t.Errorf("connections that were closed still count")
	}
}

// TestWhoGetsASocket drives connections of users and workers through any order
// of requests, answers and ends. Whatever comes, a worker's connection is
// never ended by us, nor any with a request under way, and while users idle
// there is room for whoever comes: it is not chance who finds a socket.
func TestWhoGetsASocket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 40
		s := newSockets(limit)
		type peer struct {
			c              *conn
			worker, active bool
		}
		var peers []*peer
		ends := func() {
			kept := peers[:0]
			for _, p := range peers {
				if p.c.closed {
					if p.worker || p.active {
						t.Fatalf("a connection was ended that must be kept: %+v", p)
					}
					s.follow(p.c, http.StateClosed)
					continue
				}
				kept = append(kept, p)
			}
			peers = kept
		}
		request := func(p *peer) {
			s.follow(p.c, http.StateActive)
			p.active = true
		}
		answer := func(p *peer, ctx func() bool) {
			last := ctx()
			p.active = false
			if last {
				p.c.closed = true
				s.follow(p.c, http.StateClosed)
				for i, q := range peers {
					if q == p {
						peers = append(peers[:i], peers[i+1:]...)
						break
					}
				}
				return
			}
			s.follow(p.c, http.StateIdle)
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				idle := s.idle.Len()
				if !s.admit() {
					if idle > 0 || len(peers) < limit {
						t.Fatalf("no room for a new connection beside %d while %d users idle", len(peers), idle)
					}
					continue
				}
				p := &peer{c: &conn{}, worker: rapid.Bool().Draw(t, "worker")}
				ctx := s.accepted(t.Context(), p.c)
				s.follow(p.c, http.StateNew)
				peers = append(peers, p)
				request(p)
				if p.worker {
					s.worker(ctx)
				}
				ends()
			case 1:
				if len(peers) > 0 {
					p := peers[rapid.IntRange(0, len(peers)-1).Draw(t, "who")]
					if !p.active {
						request(p)
					}
					if p.worker {
						answer(p, func() bool { return s.worker(s.accepted(t.Context(), p.c)) })
					} else {
						answer(p, s.user)
					}
				}
			case 2:
				if len(peers) > 0 {
					i := rapid.IntRange(0, len(peers)-1).Draw(t, "gone")
					s.follow(peers[i].c, http.StateClosed)
					peers = append(peers[:i], peers[i+1:]...)
				}
			}
			if got := s.use().Open; got != len(peers) || got > limit {
				t.Fatalf("%d open, counted %d", len(peers), got)
			}
		}
	})
}
