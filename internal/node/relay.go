package node

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/peers"
	"thornnotch/internal/userapi"
)

// The state service may refuse one node alone, or be out of its reach, while
// the others work. A node can't tell that from an outage by itself, so it asks
// the others; as long as one of them is served, it has users' requests served
// there instead of sending the users away.

// Healthy tells whether the state service answers this node.
func (n *Node) Healthy() bool {
	return n.store.FailingFor() == 0 && time.Since(n.store.LastSuccess()) < constants.HealthMaxAge
}

// watchHealth finds out who can help while the state service fails this node.
func (n *Node) watchHealth(ctx context.Context) error {
	tick := time.NewTicker(constants.HealthCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		failing := n.store.FailingFor()
		if failing < constants.HealthCheckInterval {
			n.helpers.Store(nil)
			n.lonely.Store(false)
			continue
		}
		helpers, reached := n.askHealth(ctx)
		n.helpers.Store(&helpers)
		n.lonely.Store(reached == 0 && len(n.set.Peers) > 0 && failing > constants.IsolatedAfter)
	}
}

// askHealth asks all other nodes at once.
func (n *Node) askHealth(ctx context.Context) (helpers []string, reached int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, k := range n.set.Peers {
		wait.Go(func() {
			ok, err := n.peers.Health(ctx, k.Name)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				reached++
			}
			if ok {
				helpers = append(helpers, k.Name)
			}
		})
	}
	wait.Wait()
	return helpers, reached
}

// serveUser serves a user's request, here or where it can be.
func (n *Node) serveUser(w http.ResponseWriter, r *http.Request) {
	if n.sockets.user() {
		w.Header().Set("Connection", "close")
	}
	helpers := n.helpers.Load()
	if helpers == nil || len(*helpers) == 0 || !strings.HasPrefix(r.URL.Path, "/work") {
		n.users.ServeHTTP(w, r)
		return
	}
	body, ok := userapi.ReadBody(w, r)
	if !ok {
		return
	}
	req := peers.RelayArgs{Method: r.Method, Path: r.URL.EscapedPath(), Body: body}
	for _, label := range (*helpers)[:min(len(*helpers), 2)] {
		a, err := n.peers.Relay(r.Context(), label, req)
		if err != nil || a.Status == 0 {
			n.log.Debug("not relayed", "to", label, "err", err)
			continue
		}
		if a.RetryAfter != "" {
			w.Header().Set("Retry-After", a.RetryAfter)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body)
		return
	}
	r.Body = http.MaxBytesReader(w, nopCloser{bytes.NewReader(body)}, constants.MaxBodyBytes)
	n.users.ServeHTTP(w, r)
}

type nopCloser struct{ *bytes.Reader }

func (nopCloser) Close() error { return nil }

// Relay serves a request that another node passes on.
func (n *Node) Relay(ctx context.Context, req peers.RelayArgs) peers.RelayReply {
	if n.users == nil || !n.Healthy() || !strings.HasPrefix(req.Path, "/work") {
		return peers.RelayReply{}
	}
	r, err := http.NewRequestWithContext(ctx, req.Method, req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return peers.RelayReply{}
	}
	rec := recorder{header: make(http.Header), status: http.StatusOK}
	n.users.ServeHTTP(&rec, r)
	return peers.RelayReply{Status: rec.status, RetryAfter: rec.header.Get("Retry-After"), Body: rec.body.Bytes()}
}

// recorder keeps an answer that goes back over the mesh.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header is the answer's header.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader keeps the status.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write keeps the body.
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }
