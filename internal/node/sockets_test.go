package node

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"thornnotch/internal/config"
)

// TestUsersLeaveSocketsToWorkers: while connections are plenty users keep
// theirs; when they run short, each is closed after its answer.
func TestUsersLeaveSocketsToWorkers(t *testing.T) {
	n := New(&config.Settings{Label: "rig-0"}, config.DefaultOperator(), System{&net.Dialer{}}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	n.users = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	n.sockets.limit = 20
	for i := range 20 {
		w := httptest.NewRecorder()
		n.serveUser(w, httptest.NewRequest("GET", "/work/j-1", nil))
		if closed := w.Header().Get("Connection") == "close"; closed != (i > 17) {
			t.Errorf("%d of 20 open: closed %v", i, closed)
		}
		n.sockets.follow(nil, http.StateNew)
	}
	n.sockets.follow(nil, http.StateClosed)
	n.sockets.follow(nil, http.StateClosed)
	n.sockets.follow(nil, http.StateClosed)
	if n.sockets.scarce() {
		t.Errorf("connections that were closed still count")
	}
}
