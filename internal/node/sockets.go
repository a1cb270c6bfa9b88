package node

import (
	"net"
	"net/http"
	"sync/atomic"

	"thornnotch/internal/tuning"
)

// sockets keeps users' connections from using up those that workers need.
// Workers are as many as there are machines, and each keeps one connection to
// the leader; users come in any number and keep theirs open. When connections
// run short, users' are closed after each answer.
type sockets struct {
	limit int // 0: none
	open  atomic.Int64
}

// follow counts open connections.
func (s *sockets) follow(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// scarce tells whether connections run short.
func (s *sockets) scarce() bool {
	return s.limit > 0 && float64(s.open.Load()) > tuning.SocketsScarce*float64(s.limit)
}
