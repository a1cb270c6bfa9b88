package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"thornnotch/internal/leader"
	"thornnotch/internal/node"
)

// printOverview prints the nodes, machines, queue, teams and reservations of a cluster as
// tables with aligned columns.
func printOverview(out io.Writer, overview node.Overview) error {
	table := overviewTable{tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
	table.nodes(overview.Nodes)
	if overview.Cluster == nil {
		table.line("\nno leader responds")
	} else {
		table.cluster(overview.Cluster)
	}
	return table.writer.Flush()
}

// overviewTable writes the tables of an overview. The writer buffers all output until Flush,
// which reports the first error.
type overviewTable struct{ writer *tabwriter.Writer }

// line writes one line. Tabs separate cells.
func (t overviewTable) line(format string, args ...any) {
	_, _ = fmt.Fprintf(t.writer, format+"\n", args...)
}

// nodes writes a line for each node, followed by settings that are too small and by failovers
// in progress.
func (t overviewTable) nodes(nodes []node.Status) {
	t.line("NODE\tVERSION\tLEADING\tLEADER SEEN\tTERM\tSTATE REQUESTS LEFT\tSTATE WRITES LEFT\tCLOUD REQUESTS LEFT\tSOCKETS\tMEMORY\tTHREADS\tSCARCE")
	for _, n := range nodes {
		t.node(n)
	}
	for _, n := range nodes {
		for _, problem := range n.UndersizedSettings {
			t.line("\n%s: settings are too small: %s", n.Name, problem)
		}
	}
	for _, n := range nodes {
		if n.Failover != "" {
			t.line("\n%s: failover in progress: %s", n.Name, n.Failover)
		}
	}
}

func (t overviewTable) node(n node.Status) {
	if !n.Reachable {
		t.line("%s\t\tnot reachable\t\t\t\t\t\t\t\t\t", n.Name)
		return
	}
	sockets := fmt.Sprint(n.Sockets.Open)
	if n.Sockets.Limit > 0 {
		sockets = fmt.Sprintf("%d of %d", n.Sockets.Open, n.Sockets.Limit)
	}
	t.line("%s\t%s\t%v\t%s\t%d\t%.0f\t%.0f\t%.0f\t%s\t%.0f MB\t%d\t%s", n.Name, n.Version, n.Leads, n.Leader, n.Term,
		n.RequestTokens, n.WriteTokens, n.CloudTokens, sockets, n.MemoryMB, n.Threads, strings.Join(n.ScarceResources, ", "))
}

// cluster writes the leader's view of the cluster.
func (t overviewTable) cluster(cluster *leader.Status) {
	t.line("\nterm %d, %d machines booting, %d leaving, records written: %v", cluster.Term, cluster.Booting, cluster.Leaving, cluster.Recording.Healthy)
	t.machines(cluster.Machines)
	t.queue(cluster.Queue)
	t.teams(cluster.Teams)
	if len(cluster.Reservations) > 0 {
		t.reservations(cluster.Reservations)
	}
}

func (t overviewTable) machines(pools []leader.PoolStatus) {
	t.line("\nTYPE\tZONE\tKIND\tUP\tBUSY\tMACHINES USED\tGPUS USED\tFAULTY")
	for _, pool := range pools {
		kind := "ordinary"
		if pool.Spot {
			kind = "spot"
		}
		t.line("%s\t%s\t%s\t%d\t%d\t%.1f\t%.0f\t%d", pool.Type, pool.Zone, kind, pool.Up, pool.Busy, pool.UsedMachines, pool.GPUs, pool.Faulty)
	}
}

func (t overviewTable) queue(queues []leader.QueueStatus) {
	t.line("\nCLASS\tTEAM\tJOBS\tBLOCKED\tWAITING\tRUNNING\tDONE")
	for _, queue := range queues {
		t.line("%s\t%s\t%d\t%d\t%d\t%d\t%d", queue.Class, queue.Team, queue.Jobs, queue.BlockedJobs, queue.WaitingTasks, queue.RunningTasks, queue.DoneTasks)
	}
}

func (t overviewTable) teams(teams []leader.TeamStatus) {
	t.line("\nTEAM\tRESOURCE\tUSED\tRESERVED\tGUARANTEED\tLIMIT")
	for _, team := range teams {
		t.quota(team.Team, "GPUs", quota{team.GPUs, team.ReservedGPUs, team.GuaranteedGPUs, team.MaxGPUs})
		t.quota(team.Team, "CPUs", quota{team.CPUs, team.ReservedCPUs, team.GuaranteedCPUs, team.MaxCPUs})
	}
}

// quota is a team's use and quota of one resource. A limit of 0 means no limit.
type quota struct{ used, reserved, guaranteed, limit float64 }

// quota writes a line for a resource that the team uses or has a quota of, so that clusters
// without GPUs have no lines for them.
func (t overviewTable) quota(team, resource string, q quota) {
	if q.used <= 0 && q.guaranteed <= 0 && q.limit <= 0 {
		return
	}
	limit := "none"
	if q.limit > 0 {
		limit = fmt.Sprintf("%.0f", q.limit)
	}
	t.line("%s\t%s\t%.0f\t%.0f\t%.0f\t%s", team, resource, q.used, q.reserved, q.guaranteed, limit)
}

func (t overviewTable) reservations(reservations []leader.ReservationStatus) {
	t.line("\nRESERVED ON\tTEAM\tCLASS\tFOR JOB\tCPUS\tGPUS\tEXPIRES IN")
	for _, reservation := range reservations {
		expiresIn := time.Duration(reservation.ExpiresInS * float64(time.Second)).Round(time.Second)
		t.line("%s\t%s\t%s\t%s\t%.0f\t%.0f\t%v", reservation.Machine, reservation.Team, reservation.Class, reservation.Job, reservation.CPUs, reservation.GPUs, expiresIn)
	}
}
