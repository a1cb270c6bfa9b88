package node

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader"
	"thornnotch/internal/statestore"
)

// metricPrefix is the common prefix of all metric names.
const metricPrefix = "thornnotch_"

// metricsCollector collects the metrics of a node on each scrape. The number of label values is
// bounded by a site's teams, job classes and machine pools. No label identifies a single job or
// machine.
type metricsCollector struct{ node *Node }

// Describe sends no descriptors, because the set of metrics depends on the site.
func (c *metricsCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends this node's metrics and, if it leads, those of the cluster.
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
	// prometheus.Collector passes no context.
	ctx, cancel := context.WithTimeout(context.Background(), constants.PeerTimeout)
	defer cancel()
	if status, ok := term.Status(ctx); ok {
		out.leaderWork(status)
		out.machinePools(status)
		out.queue(status)
		out.teams(status)
	}
}

// metricsWriter sends metrics to a Prometheus channel.
type metricsWriter struct{ metrics chan<- prometheus.Metric }

// labelSet holds the label names of a metric and their values, in the same order.
type labelSet struct{ names, values []string }

var noLabels labelSet

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

// nodeStatus sends the metrics that every node has.
func (w metricsWriter) nodeStatus(status Status) {
	leads := 0.0
	if status.Leads {
		leads = 1
	}
	version := labelSet{[]string{"version"}, []string{status.Version}}
	w.gauge("build", "Constant 1, labelled with the node's version.", 1, version)
	w.gauge("leads", "Whether this node leads (1) or not (0).", leads, noLabels)
	w.gauge("term", "Latest term known to this node.", float64(status.Term), noLabels)
	w.gauge("state_request_tokens", "State service request tokens available now.", status.RequestTokens, noLabels)
	w.gauge("state_write_tokens", "State service write tokens available now.", status.WriteTokens, noLabels)
	w.gauge("sockets_open", "Open connections of users and workers.", float64(status.Sockets.Open), noLabels)
	w.gauge("sockets_limit", "Maximum number of connections of users and workers; 0 means unlimited.", float64(status.Sockets.Limit), noLabels)
	w.gauge("threads", "OS threads that the process has created.", float64(status.Threads), noLabels)
	w.gauge("memory_bytes", "Memory held by the process.", status.MemoryMB*bytesPerMiB, noLabels)
	w.gauge("settings_too_small", "Number of settings that are too small for the fleet.", float64(len(status.UndersizedSettings)), noLabels)
	w.gauge("cloud_tokens", "Cloud API tokens available now.", status.CloudTokens, noLabels)
}

// stateUsage sends the state service usage of one class of calls.
func (w metricsWriter) stateUsage(class statestore.Class, usage statestore.Usage) {
	labels := labelSet{[]string{"class"}, []string{class.String()}}
	w.counter("state_requests_total", "Requests to the state service.", float64(usage.Requests), labels)
	w.counter("state_writes_total", "Writes requested from the state service.", float64(usage.Writes), labels)
	w.counter("state_wait_seconds_total", "Time that state service calls waited for tokens.", usage.WaitSeconds, labels)
}

// leaderWork sends the counters and gauges of the leader's current term.
func (w metricsWriter) leaderWork(status leader.Status) {
	work := status.Work
	w.counter("reports_total", "Worker heartbeats received in this term.", float64(work.Heartbeats), noLabels)
	w.counter("late_copies_total", "Duplicate worker heartbeats received in this term.", float64(work.DuplicateHeartbeats), noLabels)
	w.counter("orders_total", "Commands sent in heartbeat replies in this term.", float64(work.RepliedCommands), noLabels)
	w.counter("commands_total", "Calls with direct commands to workers in this term.", float64(work.DirectCommands), noLabels)
	w.counter("postponed_commands_total", "Direct commands delayed because too many were in flight in this term.", float64(work.PostponedCommands), noLabels)
	w.counter("passes_total", "Scheduling passes in this term.", float64(work.Passes), noLabels)
	w.counter("pass_seconds_total", "Time spent in scheduling passes in this term.", work.PassSeconds, noLabels)
	w.counter("commits_total", "Log transactions finished in this term.", float64(work.Commits), noLabels)
	w.counter("commit_seconds_total", "Time that log transactions took in this term, including the wait for tokens.", work.CommitSeconds, noLabels)
	w.counter("busy_seconds_total", "Time that the leader's event loop was busy in this term.", work.BusySeconds, noLabels)
	w.counter("log_entry_bytes_total", "Size of the entries written to the log in this term.", float64(work.Log.EntryBytes), noLabels)
	w.counter("log_hint_bytes_total", "Part of the log entries that records reservations and cached images.", float64(work.MetadataBytes), noLabels)
	w.counter("log_checkpoint_bytes_total", "Size of the checkpoint parts written to the log in this term.", float64(work.Log.PartBytes), noLabels)
	w.gauge("log_backlog", "Log entries since the last checkpoint, which a failover would read.", float64(status.Recording.Backlog), noLabels)
	w.gauge("unwritten_seconds", "Age of the oldest log transaction in flight.", status.Recording.InFlightS, noLabels)
	w.gauge("calls_waiting", "Events queued for the leader's event loop.", float64(status.QueuedEvents), noLabels)
}

// machinePools sends the machine counts by type, zone and kind.
func (w metricsWriter) machinePools(status leader.Status) {
	for _, pool := range status.Machines {
		kind := "ordinary"
		if pool.Spot {
			kind = "spot"
		}
		labels := labelSet{[]string{"type", "zone", "kind"}, []string{pool.Type, pool.Zone, kind}}
		w.gauge("machines_up", "Machines that are up.", float64(pool.Up), labels)
		w.gauge("machines_busy", "Machines that run tasks.", float64(pool.Busy), labels)
		w.gauge("machines_used", "Resources used by tasks, in whole machines.", pool.UsedMachines, labels)
		w.gauge("machines_faulty", "Quarantined machines that have not been returned yet.", float64(pool.Faulty), labels)
	}
	w.gauge("machines_booting", "Rented machines that have not sent a heartbeat yet.", float64(status.Booting), noLabels)
}

// queue sends the job and task counts by class and team.
func (w metricsWriter) queue(status leader.Status) {
	for _, queue := range status.Queue {
		labels := labelSet{[]string{"class", "team"}, []string{queue.Class, queue.Team}}
		w.gauge("jobs_after_others", "Jobs that wait for their dependencies.", float64(queue.BlockedJobs), labels)
		w.gauge("tasks_waiting", "Tasks that are not running yet.", float64(queue.WaitingTasks), labels)
		w.gauge("tasks_running", "Tasks that are running.", float64(queue.RunningTasks), labels)
	}
}

// teams sends the teams' resource usage and quotas.
func (w metricsWriter) teams(status leader.Status) {
	for _, team := range status.Teams {
		w.teamQuota(team.Team, "gpus", "GPUs", teamQuota{used: team.GPUs, reserved: team.ReservedGPUs, limit: team.MaxGPUs, guaranteed: team.GuaranteedGPUs})
		w.teamQuota(team.Team, "cpus", "CPUs", teamQuota{used: team.CPUs, reserved: team.ReservedCPUs, limit: team.MaxCPUs, guaranteed: team.GuaranteedCPUs})
	}
}

// teamQuota is a team's usage, reservations and quota of one resource.
type teamQuota struct{ used, reserved, limit, guaranteed float64 }

func (w metricsWriter) teamQuota(team, resource, unit string, quota teamQuota) {
	labels := labelSet{[]string{"team"}, []string{team}}
	name := "team_" + resource
	w.gauge(name, unit+" used by a team, including reserved ones.", quota.used, labels)
	w.gauge(name+"_held", unit+" reserved for a team's pipelines.", quota.reserved, labels)
	w.gauge(name+"_limit", unit+" that a team may use at most; 0 means unlimited.", quota.limit, labels)
	w.gauge(name+"_guaranteed", unit+" guaranteed to a team.", quota.guaranteed, labels)
}
