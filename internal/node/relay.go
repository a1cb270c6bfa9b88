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

// relayedPrefix is the part of the users' interface that other nodes serve.
const relayedPrefix = "/work"

// serveUser serves a user's request, here or at a node that the state service answers.
func (n *Node) serveUser(w http.ResponseWriter, r *http.Request) {
	if n.connections.onUserRequest() {
		w.Header().Set("Connection", "close")
	}
	targets := n.health.relayTargets()
	if len(targets) == 0 || !strings.HasPrefix(r.URL.Path, relayedPrefix) {
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

// relay passes a request on to one node after the other until one serves it.
func (n *Node) relay(r *http.Request, targets []string, body []byte) (reply peers.RelayReply, ok bool) {
	request := peers.RelayArgs{Method: r.Method, Path: r.URL.EscapedPath(), Body: body}
	for _, target := range targets {
		reply, err := n.peers.Relay(r.Context(), target, request)
		if err == nil && reply.Status != 0 {
			return reply, true
		}
		n.log.Debug("request not relayed", "node", target, "error", err)
	}
	return peers.RelayReply{}, false
}

// writeRelayed answers a user as another node has.
func writeRelayed(w http.ResponseWriter, reply peers.RelayReply) {
	if reply.RetryAfter != "" {
		w.Header().Set("Retry-After", reply.RetryAfter)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // fails if the user has gone
}

// Relay serves a request that another node passes on.
func (n *Node) Relay(ctx context.Context, request peers.RelayArgs) peers.RelayReply {
	if n.userHandler == nil || !n.Healthy() || !strings.HasPrefix(request.Path, relayedPrefix) {
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

// responseRecorder keeps a response that goes back to another node.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the response's header.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader keeps the status.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write keeps the body.
func (r *responseRecorder) Write(part []byte) (int, error) { return r.body.Write(part) }
