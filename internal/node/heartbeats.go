package node

import (
	"context"
	"net/http"

	"thornnotch/internal/constants"
	"thornnotch/internal/userapi"
	"thornnotch/internal/workers"
)

// errorBody is the response body of a rejected heartbeat.
type errorBody struct {
	Error string `json:"error"`
}

// redirectBody names the leader to a worker. It is empty while no leader is known.
type redirectBody struct {
	Leader string `json:"foreman,omitempty"`
}

// serveHeartbeat handles a worker's heartbeat: the leader replies with commands, any other
// node redirects the worker to the leader.
func (n *Node) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	raw, ok := userapi.ReadBody(w, r)
	if !ok {
		return
	}
	heartbeat, err := workers.DecodeHeartbeat(raw)
	if err != nil {
		userapi.WriteJSON(w, http.StatusBadRequest, errorBody{err.Error()})
		return
	}
	term := n.leading.Load()
	if term == nil {
		n.redirectWorker(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), constants.HeartbeatTimeout)
	defer cancel()
	reply, ok := term.Heartbeat(ctx, heartbeat)
	if n.connections.onWorkerRequest(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	if !ok || reply.Status != http.StatusOK {
		userapi.WriteJSON(w, http.StatusServiceUnavailable, errorBody{"not able to act now"})
		return
	}
	userapi.WriteJSON(w, http.StatusOK, reply.Batch)
}

// redirectWorker responds with the leader's name, if another node is known to lead.
func (n *Node) redirectWorker(w http.ResponseWriter) {
	var body redirectBody
	if leader, _ := n.elector.Leader(); leader != n.settings.NodeName {
		body.Leader = leader
	}
	// A redirected worker has no further use for this connection.
	w.Header().Set("Connection", "close")
	userapi.WriteJSON(w, http.StatusMisdirectedRequest, body)
}
