package node

import (
	"context"
	"encoding/json"
	"net/http"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader"
	"thornnotch/internal/statestore"
	"thornnotch/internal/userapi"
)

// NodeStatus is what one node says of itself.
type NodeStatus struct {
	Label         string  `json:"label"`
	Reachable     bool    `json:"reachable"`
	Version       string  `json:"version,omitempty"`
	Leads         bool    `json:"leads"`
	Leader        string  `json:"leader"` // whom it takes for the leader
	Term          uint64  `json:"term"`
	RequestTokens float64 `json:"stateRequestTokens"`
	WriteTokens   float64 `json:"stateWriteTokens"`
	CloudTokens   float64 `json:"cloudTokens"`
	// Failover is how far a takeover by this node has come; empty if none is
	// under way.
	Failover string    `json:"takingOver,omitempty"`
	Sockets  SocketUse `json:"sockets"`
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
	Nodes   []NodeStatus   `json:"nodes"`
	Cluster *leader.Status `json:"cluster"`
}

// buildVersion names the sources that the program was built from: during an upgrade
// nodes of two versions serve side by side.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= revisionShown {
			return s.Value[:revisionShown]
		}
	}
	return info.Main.Version
}

// revisionShown is how much of a commit's name is shown.
const revisionShown = 12

func (n *Node) own() NodeStatus {
	s := NodeStatus{Label: n.set.NodeName, Reachable: true, Version: n.version, Leads: n.leading.Load() != nil, CloudTokens: n.cloud.Tokens()}
	s.Leader, s.Term = n.elector.Leader()
	s.RequestTokens, s.WriteTokens = n.store.Budget.Available()
	s.Sockets, s.Threads, s.MemoryMB = n.sockets.use(), threads(), memoryMB()
	s.Scarce = n.scarce(s.MemoryMB)
	s.TooSmall = n.problems()
	if l := n.leading.Load(); l != nil {
		s.Failover = l.FailoverProgress()
	}
	return s
}

// Status answers other nodes: this node's own state and, if it leads, the
// cluster's, as JSON.
func (n *Node) Status(ctx context.Context) ([]byte, error) {
	o := Overview{Nodes: []NodeStatus{n.own()}}
	if l := n.leading.Load(); l != nil {
		if st, ok := l.Status(ctx); ok {
			o.Cluster = &st
		}
	}
	return json.Marshal(o)
}

// overview asks all nodes.
func (n *Node) overview(ctx context.Context) Overview {
	var all Overview
	add := func(label string, raw []byte, err error) {
		var o Overview
		if err != nil || json.Unmarshal(raw, &o) != nil || len(o.Nodes) != 1 {
			all.Nodes = append(all.Nodes, NodeStatus{Label: label})
			return
		}
		all.Nodes = append(all.Nodes, o.Nodes[0])
		if o.Cluster != nil && (all.Cluster == nil || o.Cluster.Term > all.Cluster.Term) {
			all.Cluster = o.Cluster
		}
	}
	raw, err := n.Status(ctx)
	add(n.set.NodeName, raw, err)
	for _, k := range n.set.Peers {
		raw, err := n.peers.Status(ctx, k.Name)
		add(k.Name, raw, err)
	}
	return all
}

// registerOperators adds what operators ask for; it is no part of the
// protocol and costs nothing while nobody asks.
func (n *Node) registerOperators(mux *http.ServeMux) {
	mux.HandleFunc("GET /cluster", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), constants.UserRequestTimeout)
		defer cancel()
		userapi.WriteJSON(w, http.StatusOK, n.overview(ctx))
	})
	reg := prometheus.NewRegistry()
	reg.MustRegister(&collector{n})
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: 2, Timeout: constants.UserRequestTimeout}))
}

// collector gathers metrics when they are asked for. Their number is bounded
// by the teams, classes and pools of a site; none goes by job or machine.
type collector struct{ n *Node }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("thornnotch_"+name, help, labels, nil)
}

// Describe sends nothing: the set depends on the site.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect reports this node and, if it leads, the cluster.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	put := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	own := c.n.own()
	leads := 0.0
	if own.Leads {
		leads = 1
	}
	put(desc("build", "1, with the version that the node runs.", "version"), 1, own.Version)
	put(desc("leads", "1 if this node leads."), leads)
	put(desc("term", "The newest term that this node knows."), float64(own.Term))
	put(desc("state_request_tokens", "Requests to the state service that may be made at once."), own.RequestTokens)
	put(desc("state_write_tokens", "Changes in the state service that may be made at once."), own.WriteTokens)
	put(desc("sockets_open", "Connections of users and workers."), float64(own.Sockets.Open))
	put(desc("sockets_limit", "As many as there may be; 0: any number."), float64(own.Sockets.Limit))
	put(desc("threads", "Threads that the process has made."), float64(own.Threads))
	put(desc("memory_bytes", "Memory that the process holds."), own.MemoryMB*(1<<20))
	put(desc("settings_too_small", "Settings that are too small for the fleet."), float64(len(own.TooSmall)))
	put(desc("cloud_tokens", "Calls to the cloud that may be made at once."), own.CloudTokens)
	count := func(name, help string, v float64, labels ...string) {
		var names []string
		if len(labels) > 0 {
			names = []string{"class"}
		}
		ch <- prometheus.MustNewConstMetric(desc(name, help, names...), prometheus.CounterValue, v, labels...)
	}
	for _, class := range statestore.Classes {
		d := c.n.store.Budget.Usage(class)
		count("state_requests_total", "Requests to the state service.", float64(d.Requests), class.String())
		count("state_writes_total", "Changes asked of the state service.", float64(d.Writes), class.String())
		count("state_wait_seconds_total", "Time that calls waited for tokens.", d.WaitSeconds, class.String())
	}
	l := c.n.leading.Load()
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), constants.MeshTimeout)
	defer cancel()
	st, ok := l.Status(ctx)
	if !ok {
		return
	}
	w := st.Work
	count("reports_total", "Reports of workers in this term.", float64(w.Reports))
	count("late_copies_total", "Late copies of reports in this term.", float64(w.Copies))
	count("orders_total", "Orders sent in answers in this term.", float64(w.Orders))
	count("commands_total", "Direct calls to workers in this term.", float64(w.Commands))
	count("postponed_commands_total", "Direct orders that had to wait, as too many were under way.", float64(w.Postponed))
	count("passes_total", "Placement passes in this term.", float64(w.Passes))
	count("pass_seconds_total", "Time spent in placement passes.", w.PassS)
	count("commits_total", "Transactions of the log in this term.", float64(w.Commits))
	count("commit_seconds_total", "Time that these took, waiting for tokens included.", w.CommitS)
	count("busy_seconds_total", "Time that the leader's routine was at work.", w.BusyS)
	count("log_entry_bytes_total", "Entries that the log has taken in this term.", float64(w.Log.EntryBytes))
	count("log_hint_bytes_total", "Of these, records of holds and images.", float64(w.HintBytes))
	count("log_checkpoint_bytes_total", "Parts of checkpoints that the log has taken in this term.", float64(w.Log.PartBytes))
	put(desc("log_backlog", "Log entries that a takeover would read."), float64(st.State.Backlog))
	put(desc("unwritten_seconds", "Age of the transaction under way."), st.State.UnwrittenS)
	put(desc("calls_waiting", "Calls that wait for the leader's routine."), float64(st.Waiting))
	kind := map[bool]string{false: "ordinary", true: "spot"}
	for _, m := range st.Machines {
		put(desc("machines_up", "Machines up.", "type", "zone", "kind"), float64(m.Up), m.Type, m.Zone, kind[m.Spot])
		put(desc("machines_busy", "Machines with tasks.", "type", "zone", "kind"), float64(m.Busy), m.Type, m.Zone, kind[m.Spot])
	}
	for _, m := range st.Machines {
		put(desc("machines_used", "What tasks take, in whole machines.", "type", "zone", "kind"), m.Used, m.Type, m.Zone, kind[m.Spot])
		put(desc("machines_faulty", "Machines taken for faulty.", "type", "zone", "kind"), float64(m.Faulty), m.Type, m.Zone, kind[m.Spot])
	}
	put(desc("machines_booting", "Machines rented that have not reported."), float64(st.Booting))
	for _, q := range st.Queue {
		put(desc("jobs_after_others", "Jobs that wait for other jobs.", "class", "team"), float64(q.Held), q.Class, q.Team)
		put(desc("tasks_waiting", "Tasks that do not run yet.", "class", "team"), float64(q.Waiting), q.Class, q.Team)
		put(desc("tasks_running", "Tasks on machines.", "class", "team"), float64(q.Running), q.Class, q.Team)
	}
	for _, t := range st.Teams {
		for _, k := range []struct {
			name, unit             string
			used, held, limit, own float64
		}{{"gpus", "GPUs", t.GPUs, t.HeldGPUs, t.GPUsLimit, t.GPUsOwn}, {"cpus", "CPUs", t.CPUs, t.HeldCPUs, t.CPUsLimit, t.CPUsOwn}} {
			put(desc("team_"+k.name, k.unit+" that a team uses, held ones included.", "team"), k.used, t.Team)
			put(desc("team_"+k.name+"_held", k.unit+" held for a team's pipelines.", "team"), k.held, t.Team)
			put(desc("team_"+k.name+"_limit", k.unit+" that a team may use; 0: none set.", "team"), k.limit, t.Team)
			put(desc("team_"+k.name+"_guaranteed", k.unit+" that a team is guaranteed.", "team"), k.own, t.Team)
		}
	}
}
