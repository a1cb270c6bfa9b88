package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"thornnotch/internal/constants"
	"thornnotch/internal/peers"
	"thornnotch/internal/userapi"
)

// relayedPathPrefix is the path prefix of the user requests that other nodes can serve.
const relayedPathPrefix = "/work"

// serveUser handles a user's request. While this node's requests to the state service fail, it
// relays the request to healthy peers, and handles it locally only if none of them serves it.
func (n *Node) serveUser(w http.ResponseWriter, r *http.Request) {
	if n.connections.onUserRequest() {
		w.Header().Set("Connection", "close")
	}
	targets := n.health.relayTargets()
	if len(targets) == 0 || !strings.HasPrefix(r.URL.Path, relayedPathPrefix) {
		n.userHandler.ServeHTTP(w, r)
		return
	}
	body, ok := userapi.ReadBody(w, r)
	if !ok {
		return
	}
	if reply, ok := n.relay(r, targets, body); ok {
		writeRelayed(w, reply)
		return
	}
	r.Body = http.MaxBytesReader(w, io.NopCloser(bytes.NewReader(body)), constants.MaxBodyBytes)
	n.userHandler.ServeHTTP(w, r)
}

// relay forwards a request to the targets in order until one of them serves it.
func (n *Node) relay(r *http.Request, targets []string, body []byte) (reply peers.RelayReply, ok bool) {
	request := peers.RelayArgs{Method: r.Method, Path: r.URL.EscapedPath(), Body: body}
	for _, target := range targets {
		reply, err := n.peers.Relay(r.Context(), target, request)
		if err == nil && reply.Status != 0 {
			return reply, true
		}
		n.log.Debug("relay attempt failed", "node", target, "error", err)
	}
	return peers.RelayReply{}, false
}

// writeRelayed writes another node's response to the user.
func writeRelayed(w http.ResponseWriter, reply peers.RelayReply) {
	if reply.RetryAfter != "" {
		w.Header().Set("Retry-After", reply.RetryAfter)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // fails if the user has disconnected
}

// Relay handles a user's request that another node forwards. A zero status tells the caller
// that this node cannot serve it either.
func (n *Node) Relay(ctx context.Context, request peers.RelayArgs) peers.RelayReply {
	if n.userHandler == nil || !n.Healthy() || !strings.HasPrefix(request.Path, relayedPathPrefix) {
		return peers.RelayReply{}
	}
	r, err := http.NewRequestWithContext(ctx, request.Method, request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return peers.RelayReply{}
	}
	response := responseRecorder{header: make(http.Header), status: http.StatusOK}
	n.userHandler.ServeHTTP(&response, r)
	return peers.RelayReply{Status: response.status, RetryAfter: response.header.Get("Retry-After"), Body: response.body.Bytes()}
}

// responseRecorder is an http.ResponseWriter that buffers the response to a relayed request.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the buffered header.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader records the status code.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write appends to the buffered body.
func (r *responseRecorder) Write(part []byte) (int, error) { return r.body.Write(part) }
