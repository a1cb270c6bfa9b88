package node

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader"
	"thornnotch/internal/statestore"
)

// metricPrefix begins the name of every metric.
const metricPrefix = "thornnotch_"

// metricsCollector gathers metrics when they are asked for. Their number is bounded
// by the teams, classes and pools of a site; none goes by job or machine.
type metricsCollector struct{ node *Node }

// Describe sends nothing: the set depends on the site.
func (c *metricsCollector) Describe(chan<- *prometheus.Desc) {}

// Collect reports this node and, if it leads, the cluster.
func (c *metricsCollector) Collect(metrics chan<- prometheus.Metric) {
	out := metricsWriter{metrics}
	out.nodeStatus(c.node.ownStatus())
	for _, class := range statestore.Classes {
		out.stateUsage(class, c.node.store.Budget.Usage(class))
	}
	term := c.node.leading.Load()
	if term == nil {
		return
	}
	// The interface of prometheus.Collector passes no context.
	ctx, cancel := context.WithTimeout(context.Background(), constants.MeshTimeout)
	defer cancel()
	if status, ok := term.Status(ctx); ok {
		out.leaderWork(status)
		out.machinePools(status)
		out.queue(status)
		out.teams(status)
	}
}

// metricsWriter sends metrics to Prometheus.
type metricsWriter struct{ metrics chan<- prometheus.Metric }

// labelSet is the labels of a metric and their values, in the same order.
type labelSet struct{ names, values []string }

var unlabelled labelSet

func (w metricsWriter) send(valueType prometheus.ValueType, name, help string, value float64, labels labelSet) {
	desc := prometheus.NewDesc(metricPrefix+name, help, labels.names, nil)
	w.metrics <- prometheus.MustNewConstMetric(desc, valueType, value, labels.values...)
}

func (w metricsWriter) gauge(name, help string, value float64, labels labelSet) {
	w.send(prometheus.GaugeValue, name, help, value, labels)
}

func (w metricsWriter) counter(name, help string, value float64, labels labelSet) {
	w.send(prometheus.CounterValue, name, help, value, labels)
}

// nodeStatus reports what any node knows of itself.
func (w metricsWriter) nodeStatus(status Status) {
	leads := 0.0
	if status.Leads {
		leads = 1
	}
	version := labelSet{[]string{"version"}, []string{status.Version}}
	w.gauge("build", "1, with the version that the node runs.", 1, version)
	w.gauge("leads", "1 if this node leads.", leads, unlabelled)
	w.gauge("term", "The newest term that this node knows.", float64(status.Term), unlabelled)
	w.gauge("state_request_tokens", "Requests to the state service that may be made at once.", status.RequestTokens, unlabelled)
	w.gauge("state_write_tokens", "Changes in the state service that may be made at once.", status.WriteTokens, unlabelled)
	w.gauge("sockets_open", "Connections of users and workers.", float64(status.Sockets.Open), unlabelled)
	w.gauge("sockets_limit", "As many as there may be; 0: any number.", float64(status.Sockets.Limit), unlabelled)
	w.gauge("threads", "Threads that the process has made.", float64(status.Threads), unlabelled)
	w.gauge("memory_bytes", "Memory that the process holds.", status.MemoryMB*bytesPerMB, unlabelled)
	w.gauge("settings_too_small", "Settings that are too small for the fleet.", float64(len(status.TooSmall)), unlabelled)
	w.gauge("cloud_tokens", "Calls to the cloud that may be made at once.", status.CloudTokens, unlabelled)
}

// stateUsage reports what calls of one class have taken of the state service.
func (w metricsWriter) stateUsage(class statestore.Class, usage statestore.Usage) {
	labels := labelSet{[]string{"class"}, []string{class.String()}}
	w.counter("state_requests_total", "Requests to the state service.", float64(usage.Requests), labels)
	w.counter("state_writes_total", "Changes asked of the state service.", float64(usage.Writes), labels)
	w.counter("state_wait_seconds_total", "Time that calls waited for tokens.", usage.WaitSeconds, labels)
}

// leaderWork reports what the leader has done in its term.
func (w metricsWriter) leaderWork(status leader.Status) {
	work := status.Work
	w.counter("reports_total", "Reports of workers in this term.", float64(work.Heartbeats), unlabelled)
	w.counter("late_copies_total", "Late copies of reports in this term.", float64(work.DuplicateHeartbeats), unlabelled)
	w.counter("orders_total", "Orders sent in answers in this term.", float64(work.RepliedCommands), unlabelled)
	w.counter("commands_total", "Direct calls to workers in this term.", float64(work.DirectCommands), unlabelled)
	w.counter("postponed_commands_total", "Direct orders that had to wait, as too many were under way.", float64(work.PostponedCommands), unlabelled)
	w.counter("passes_total", "Placement passes in this term.", float64(work.Passes), unlabelled)
	w.counter("pass_seconds_total", "Time spent in placement passes.", work.PassSeconds, unlabelled)
	w.counter("commits_total", "Transactions of the log in this term.", float64(work.Commits), unlabelled)
	w.counter("commit_seconds_total", "Time that these took, waiting for tokens included.", work.CommitSeconds, unlabelled)
	w.counter("busy_seconds_total", "Time that the leader's routine was at work.", work.BusySeconds, unlabelled)
	w.counter("log_entry_bytes_total", "Entries that the log has taken in this term.", float64(work.Log.EntryBytes), unlabelled)
	w.counter("log_hint_bytes_total", "Of these, records of holds and images.", float64(work.MetadataBytes), unlabelled)
	w.counter("log_checkpoint_bytes_total", "Parts of checkpoints that the log has taken in this term.", float64(work.Log.PartBytes), unlabelled)
	w.gauge("log_backlog", "Log entries that a takeover would read.", float64(status.Recording.Backlog), unlabelled)
	w.gauge("unwritten_seconds", "Age of the transaction under way.", status.Recording.UnwrittenS, unlabelled)
	w.gauge("calls_waiting", "Calls that wait for the leader's routine.", float64(status.EventsWaiting), unlabelled)
}

// machinePools reports the machines by type, zone and kind.
func (w metricsWriter) machinePools(status leader.Status) {
	for _, pool := range status.Machines {
		kind := "ordinary"
		if pool.Spot {
			kind = "spot"
		}
		labels := labelSet{[]string{"type", "zone", "kind"}, []string{pool.Type, pool.Zone, kind}}
		w.gauge("machines_up", "Machines up.", float64(pool.Up), labels)
		w.gauge("machines_busy", "Machines with tasks.", float64(pool.Busy), labels)
		w.gauge("machines_used", "What tasks take, in whole machines.", pool.Used, labels)
		w.gauge("machines_faulty", "Machines taken for faulty.", float64(pool.Faulty), labels)
	}
	w.gauge("machines_booting", "Machines rented that have not reported.", float64(status.Booting), unlabelled)
}

// queue reports jobs and tasks by class and team.
func (w metricsWriter) queue(status leader.Status) {
	for _, queue := range status.Queue {
		labels := labelSet{[]string{"class", "team"}, []string{queue.Class, queue.Team}}
		w.gauge("jobs_after_others", "Jobs that wait for other jobs.", float64(queue.Blocked), labels)
		w.gauge("tasks_waiting", "Tasks that do not run yet.", float64(queue.Waiting), labels)
		w.gauge("tasks_running", "Tasks on machines.", float64(queue.Running), labels)
	}
}

// teams reports what teams use of their quota.
func (w metricsWriter) teams(status leader.Status) {
	for _, team := range status.Teams {
		w.teamQuota(team.Team, "gpus", "GPUs", teamQuota{used: team.GPUs, held: team.ReservedGPUs, limit: team.MaxGPUs, guaranteed: team.GuaranteedGPUs})
		w.teamQuota(team.Team, "cpus", "CPUs", teamQuota{used: team.CPUs, held: team.ReservedCPUs, limit: team.MaxCPUs, guaranteed: team.GuaranteedCPUs})
	}
}

// teamQuota is a team's use and quota of one resource.
type teamQuota struct{ used, held, limit, guaranteed float64 }

func (w metricsWriter) teamQuota(team, resource, unit string, quota teamQuota) {
	labels := labelSet{[]string{"team"}, []string{team}}
	name := "team_" + resource
	w.gauge(name, unit+" that a team uses, held ones included.", quota.used, labels)
	w.gauge(name+"_held", unit+" held for a team's pipelines.", quota.held, labels)
	w.gauge(name+"_limit", unit+" that a team may use; 0: none set.", quota.limit, labels)
	w.gauge(name+"_guaranteed", unit+" that a team is guaranteed.", quota.guaranteed, labels)
}
