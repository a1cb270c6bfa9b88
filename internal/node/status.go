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
	"thornnotch/internal/wirejson"
)

// Status is one node's status for operators.
type Status struct {
	Name          string  `json:"label"`
	Reachable     bool    `json:"reachable"`
	Version       string  `json:"version,omitempty"`
	Leads         bool    `json:"leads"`
	Leader        string  `json:"leader"` // the leader that this node knows
	Term          uint64  `json:"term"`
	RequestTokens float64 `json:"stateRequestTokens"`
	WriteTokens   float64 `json:"stateWriteTokens"`
	CloudTokens   float64 `json:"cloudTokens"`
	// Failover describes the progress of a failover to this node; empty if none is in
	// progress.
	Failover string      `json:"takingOver,omitempty"`
	Sockets  SocketUsage `json:"sockets"`
	// Threads is the number of OS threads that the process has created. MemoryMB is the memory
	// that it holds (MiB).
	Threads  int     `json:"threads"`
	MemoryMB float64 `json:"memoryMB"`
	// ScarceResources names the resources that run short.
	ScarceResources []string `json:"scarce,omitempty"`
	// UndersizedSettings describes the settings that are too small for the fleet, each with
	// its required value.
	UndersizedSettings []string `json:"settingsTooSmall,omitempty"`
}

// Overview is the status of the whole site as seen by one node. Cluster is nil while no leader
// answers.
type Overview struct {
	Nodes   []Status       `json:"nodes"`
	Cluster *leader.Status `json:"cluster"`
}

// revisionLength is the length to which the commit hash is shortened.
const revisionLength = 12

// buildVersion returns the commit that the binary was built from, or the module version. It
// tells nodes of different versions apart during an upgrade.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= revisionLength {
			return setting.Value[:revisionLength]
		}
	}
	return info.Main.Version
}

// registerOperatorEndpoints registers the status and metrics endpoints. They are not part of
// the protocol and cost nothing unless requested.
func (n *Node) registerOperatorEndpoints(mux *http.ServeMux) {
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

// ownStatus returns this node's status.
func (n *Node) ownStatus() Status {
	status := Status{
		Name: n.settings.NodeName, Reachable: true, Version: n.version, Leads: n.leads(), CloudTokens: n.cloud.Tokens(),
		Sockets: n.connections.usage(), Threads: threadCount(), MemoryMB: memoryMB(), UndersizedSettings: n.undersizedSettings(),
	}
	status.Leader, status.Term = n.elector.Leader()
	status.RequestTokens, status.WriteTokens = n.store.Budget.Available()
	status.ScarceResources = n.scarceResources(status.MemoryMB)
	if term := n.leading.Load(); term != nil {
		status.Failover = term.FailoverProgress()
	}
	return status
}

// Status returns, for other nodes, this node's own status and, if it leads, the cluster's, as
// JSON.
func (n *Node) Status(ctx context.Context) ([]byte, error) {
	overview := Overview{Nodes: []Status{n.ownStatus()}}
	if term := n.leading.Load(); term != nil {
		if cluster, ok := term.Status(ctx); ok {
			overview.Cluster = &cluster
		}
	}
	return json.Marshal(overview)
}

// overview collects the status of all nodes.
func (n *Node) overview(ctx context.Context) Overview {
	var combined Overview
	raw, err := n.Status(ctx)
	combined.add(n.settings.NodeName, raw, err)
	for _, peer := range n.settings.Peers {
		raw, err := n.peers.Status(ctx, peer.Name)
		combined.add(peer.Name, raw, err)
	}
	return combined
}

// add adds a node's status, or marks the node as unreachable if there is none. If two nodes
// both consider themselves the leader, the cluster status of the newer term is kept.
func (o *Overview) add(name string, raw []byte, err error) {
	var received Overview
	if err == nil {
		received, err = decodeStatus(raw)
	}
	if err != nil {
		o.Nodes = append(o.Nodes, Status{Name: name})
		return
	}
	o.Nodes = append(o.Nodes, received.Nodes[0])
	if received.Cluster != nil && (o.Cluster == nil || received.Cluster.Term > o.Cluster.Term) {
		o.Cluster = received.Cluster
	}
}

// decodeStatus decodes the JSON that Node.Status returns.
func decodeStatus(raw []byte) (Overview, error) {
	var received Overview
	if err := wirejson.Decode(raw, &received); err != nil {
		return Overview{}, fmt.Errorf("decode node status: %w", err)
	}
	if len(received.Nodes) != 1 {
		return Overview{}, fmt.Errorf("decode node status: got %d nodes instead of 1", len(received.Nodes))
	}
	return received, nil
}
