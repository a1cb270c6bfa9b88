package node

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"thornnotch/internal/constants"
)

// sockets decides whose connections are kept when they run short. Workers are
// as many as there are machines, and each keeps one connection to the leader;
// users come in any number and keep theirs open. A worker that finds no room
// loses its lease, and with it all its tasks; a user comes again. So users'
// connections are closed after each answer first; when even that is not enough,
// idle ones of users are ended, and workers' are closed after each answer too:
// then only those that have something to say take a socket.
type sockets struct {
	limit int // 0: none

	mu   sync.Mutex
	open map[net.Conn]*link
	idle *list.List // users' connections with no request under way, longest first
	// ended are the connections of users that were ended for want of room,
	// refused those that found none.
	ended, refused uint64
}

// link is one connection to a user or a worker.
type link struct {
	worker bool
	idle   *list.Element
}

type linkKey struct{}

func newSockets(limit int) *sockets {
	return &sockets{limit: limit, open: make(map[net.Conn]*link), idle: list.New()}
}

// accepted gives a new connection's requests a way to say whose it is.
func (s *sockets) accepted(ctx context.Context, c net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.open[c]
	if l == nil {
		l = &link{}
		s.open[c] = l
	}
	return context.WithValue(ctx, linkKey{}, l)
}

// door lets connections in as long as there is room. At the limit the next one
// is closed at once: left waiting, it would take a socket all the same, those
// that our own calls need in the end, and its owner would learn nothing for
// seconds. (netutil's listener lets them wait.)
type door struct {
	net.Listener
	s *sockets
}

// Accept takes in the next connection that there is room for.
func (d door) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil || d.s.admit() {
			return c, err
		}
		_ = c.Close()
	}
}

// admit tells whether there is room for one more connection.
func (s *sockets) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 && len(s.open) >= s.limit {
		s.refused++
		return false
	}
	return true
}

// follow keeps count of open connections, and ends the longest idle one of a
// user when a new one takes one of the last places.
func (s *sockets) follow(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	var end net.Conn
	switch state {
	case http.StateNew:
		if s.open[c] == nil {
			s.open[c] = &link{}
		}
		if s.beyond(constants.SocketsFull) {
			end = s.oldest()
		}
	case http.StateActive:
		s.busy(s.open[c])
	case http.StateIdle:
		if l := s.open[c]; l != nil && !l.worker {
			l.idle = s.idle.PushBack(c)
		}
	case http.StateClosed, http.StateHijacked:
		s.busy(s.open[c])
		delete(s.open, c)
	}
	s.mu.Unlock()
	if end != nil {
		// With no request under way nothing is lost by it.
		_ = end.Close()
	}
}

func (s *sockets) busy(l *link) {
	if l != nil && l.idle != nil {
		s.idle.Remove(l.idle)
		l.idle = nil
	}
}

// oldest takes the user's connection off the list that has been idle longest.
func (s *sockets) oldest() net.Conn {
	e := s.idle.Front()
	if e == nil {
		return nil
	}
	c := e.Value.(net.Conn)
	s.busy(s.open[c])
	s.ended++
	return c
}

func (s *sockets) beyond(part float64) bool {
	return s.limit > 0 && float64(len(s.open)) > part*float64(s.limit)
}

// user notes a user's request. It tells whether the connection must be closed
// after the answer.
func (s *sockets) user() (last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beyond(constants.SocketsScarce)
}

// worker notes a worker's report, likewise.
func (s *sockets) worker(ctx context.Context) (last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := ctx.Value(linkKey{}).(*link); ok {
		l.worker = true
	}
	return s.beyond(constants.SocketsFull)
}

// SocketUse is how many connections of users and workers are open.
type SocketUse struct {
	Open  int `json:"open"`
	Limit int `json:"limit"` // 0: none
	// Ended are users' connections that were ended for want of room since the
	// process began, Refused those that found none.
	Ended   uint64 `json:"ended"`
	Refused uint64 `json:"refused"`
}

func (s *sockets) use() SocketUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SocketUse{len(s.open), s.limit, s.ended, s.refused}
}
