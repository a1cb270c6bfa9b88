package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader"
	"thornnotch/internal/userapi"
)

// Status is what one node tells operators of itself.
type Status struct {
	Label         string  `json:"label"`
	Reachable     bool    `json:"reachable"`
	Version       string  `json:"version,omitempty"`
	Leads         bool    `json:"leads"`
	Leader        string  `json:"leader"` // whom it takes for the leader
	Term          uint64  `json:"term"`
	RequestTokens float64 `json:"stateRequestTokens"`
	WriteTokens   float64 `json:"stateWriteTokens"`
	CloudTokens   float64 `json:"cloudTokens"`
	// Failover is how far a failover to this node has come; empty if none is under
	// way.
	Failover string      `json:"takingOver,omitempty"`
	Sockets  SocketUsage `json:"sockets"`
	// Threads and MemoryMB are what the process takes now.
	Threads  int     `json:"threads"`
	MemoryMB float64 `json:"memoryMB"`
	// Scarce names what there is too little of.
	Scarce []string `json:"scarce,omitempty"`
	// TooSmall names the settings that are too small for the fleet, with what they
	// would have to be.
	TooSmall []string `json:"settingsTooSmall,omitempty"`
}

// Overview is the whole site as one node can see it. Cluster is nil while no
// leader answers.
type Overview struct {
	Nodes   []Status       `json:"nodes"`
	Cluster *leader.Status `json:"cluster"`
}

// revisionShown is how much of a commit's name is shown.
const revisionShown = 12

// buildVersion names the sources that the program was built from: during an upgrade
// nodes of two versions serve side by side.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= revisionShown {
			return setting.Value[:revisionShown]
		}
	}
	return info.Main.Version
}

// registerOperators adds what operators ask for; it is no part of the
// protocol and costs nothing while nobody asks.
func (n *Node) registerOperators(mux *http.ServeMux) {
	mux.HandleFunc("GET /cluster", n.serveOverview)
	registry := prometheus.NewRegistry()
	registry.MustRegister(&metricsCollector{n})
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2, Timeout: constants.UserRequestTimeout}))
}

func (n *Node) serveOverview(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), constants.UserRequestTimeout)
	defer cancel()
	userapi.WriteJSON(w, http.StatusOK, n.overview(ctx))
}

// ownStatus is this node's status.
func (n *Node) ownStatus() Status {
	status := Status{
		Label: n.settings.NodeName, Reachable: true, Version: n.version, Leads: n.leads(), CloudTokens: n.cloud.Tokens(),
		Sockets: n.connections.usage(), Threads: threads(), MemoryMB: memoryMB(), TooSmall: n.undersizedSettings(),
	}
	status.Leader, status.Term = n.elector.Leader()
	status.RequestTokens, status.WriteTokens = n.store.Budget.Available()
	status.Scarce = n.scarceResources(status.MemoryMB)
	if term := n.leading.Load(); term != nil {
		status.Failover = term.FailoverProgress()
	}
	return status
}

// Status answers other nodes: this node's own status and, if it leads, the cluster's,
// as JSON.
func (n *Node) Status(ctx context.Context) ([]byte, error) {
	overview := Overview{Nodes: []Status{n.ownStatus()}}
	if term := n.leading.Load(); term != nil {
		if cluster, ok := term.Status(ctx); ok {
			overview.Cluster = &cluster
		}
	}
	return json.Marshal(overview)
}

// overview asks all nodes.
func (n *Node) overview(ctx context.Context) Overview {
	var all Overview
	raw, err := n.Status(ctx)
	all.add(n.settings.NodeName, raw, err)
	for _, peer := range n.settings.Peers {
		raw, err := n.peers.Status(ctx, peer.Name)
		all.add(peer.Name, raw, err)
	}
	return all
}

// add adds a node's answer; without one the node is not reachable. Of two leaders'
// views that of the newer term is kept.
func (o *Overview) add(label string, raw []byte, err error) {
	var answer Overview
	if err == nil {
		answer, err = decodeStatus(raw)
	}
	if err != nil {
		o.Nodes = append(o.Nodes, Status{Label: label})
		return
	}
	o.Nodes = append(o.Nodes, answer.Nodes[0])
	if answer.Cluster != nil && (o.Cluster == nil || answer.Cluster.Term > o.Cluster.Term) {
		o.Cluster = answer.Cluster
	}
}

// decodeStatus decodes what Node.Status of one node has encoded.
func decodeStatus(raw []byte) (Overview, error) {
	var answer Overview
	if err := json.Unmarshal(raw, &answer); err != nil {
		return Overview{}, fmt.Errorf("decode a node's status: %w", err)
	}
	if len(answer.Nodes) != 1 {
		return Overview{}, fmt.Errorf("decode a node's status: it is of %d nodes", len(answer.Nodes))
	}
	return answer, nil
}
