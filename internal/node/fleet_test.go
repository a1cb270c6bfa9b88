package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"thornnotch/internal/backoff"
	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
)

// fleet is a site whose machines all run from the start, with enough tasks to fill all of
// them.
type fleet struct {
	*site
	jobCount, tasksPerJob int
}

// halfMachineJob returns an array job, each of whose tasks takes half of a machine's GPUs.
func halfMachineJob(number, tasks int, seconds float64) *jobs.Spec {
	job := testJob(number, "a", jobs.KindArray, tasks)
	job.ExpectedS, job.CPUs, job.GPUs = seconds, 12, 2
	return job
}

// submitAllJobs submits the fleet's jobs, spread round-robin over the nodes.
func (f fleet) submitAllJobs(seconds float64) {
	f.t.Helper()
	for n := range f.jobCount {
		f.mustSubmit(30*time.Second, halfMachineJob(n, f.tasksPerJob, seconds), n%f.siteOptions.nodes)
	}
}

// waitAllTasksRunning waits until all tasks of the fleet's jobs are running.
func (f fleet) waitAllTasksRunning(limit time.Duration, when string) {
	f.t.Helper()
	f.waitFor(limit, "all tasks running "+when, func() bool { return len(f.rules.runningTasks()) == f.jobCount*f.tasksPerJob })
}

// waitAllWorkersReported waits until the leader has received a heartbeat from every worker.
func (f fleet) waitAllWorkersReported(limit time.Duration, when string) {
	f.t.Helper()
	f.waitFor(limit, "heartbeats of all workers "+when, func() bool { return f.reportedWorkers() == f.siteOptions.machines })
}

// reportedWorkers returns the number of workers that have sent the leader a heartbeat in its
// term.
func (f fleet) reportedWorkers() (workers int) {
	name := f.leader()
	if name == "" {
		return 0
	}
	status, ok := f.nodes[name].node.leading.Load().Status(f.ctx)
	if !ok {
		return 0
	}
	for _, pool := range status.Machines {
		workers += pool.Up
	}
	return workers
}

// restartAllNodes kills all nodes and starts them again after a delay.
func (f fleet) restartAllNodes(after time.Duration) {
	f.killAllNodes()
	time.Sleep(after)
	f.startAllNodes()
}

// TestFleetSurvivesRestartOfAllNodes runs 2,100 workers on five nodes with 2,500 sockets
// each, fewer than workers and idle users together need, and restarts all nodes at once. It
// guards against an incident in which the listener's share of the sockets was smaller than
// the number of workers: the last workers could not send heartbeats and their leases expired.
// After the restart every task must still run on its machine, none may be lost or started
// twice, and users must get responses.
func TestFleetSurvivesRestartOfAllNodes(t *testing.T) {
	options := smallSiteOptions()
	options.nodes, options.machines, options.workerStepInterval = 5, 2100, time.Second
	options.params = config.Params{
		Teams:   []config.Team{{Name: "a", GuaranteedGPUs: 4000, MaxGPUs: 8400}},
		Workers: config.WorkerTimings{HeartbeatS: 6, LeaseS: 31, GangWaitS: 50, GangPeerTimeoutS: 4, CancelWithinS: 51},
		State:   config.StateLimits{RPS: 180, WriteRPS: 70, ValueKB: 8, TxnOps: 32}, Cloud: config.CloudLimits{RPS: 5, ListLagS: 5},
		MachineLimits: config.MachineLimits{Sockets: 2500},
	}
	addMachines := func(s *site) { s.cloud.AddRunning(options.machines) }
	runSite(t, options, addMachines, func(s *site) {
		f := fleet{s, 70, 60}
		// 500 user connections and 2,100 workers together need more than the leader's sockets.
		for i := range 500 {
			s.goroutines.Go(func() { s.keepUserConnected(i) })
		}
		f.submitAllJobs(400)
		f.waitAllTasksRunning(2*time.Minute, "")
		f.waitAllWorkersReported(time.Minute, "")
		before := s.rules.runningTasks()

		f.restartAllNodes(6 * time.Second)
		f.waitAllWorkersReported(20*time.Second, "again")
		for n := range f.jobCount {
			id := jobID(n)
			s.waitFor(10*time.Second, "an answer for "+id, func() bool { return s.status(n%options.nodes, id) == jobs.StatusRunning })
		}
		time.Sleep(40 * time.Second) // longer than a worker's lease
		s.checkTasksUnmoved(before)
		s.checkNoViolations()
	})
}

// keepUserConnected sends the leader a request every few seconds on a connection that stays
// open, until the site stops.
func (s *site) keepUserConnected(number int) {
	host := s.network.Host(fmt.Sprint("user-", number))
	defer host.Kill()
	client := &http.Client{Transport: &http.Transport{DialContext: host.DialContext}, Timeout: 2 * time.Second}
	for s.ctx.Err() == nil {
		if leader := s.leader(); leader != "" {
			requestReadiness(s.ctx, client, nodeNumber(leader))
		}
		backoff.Sleep(s.ctx, 5*time.Second+time.Duration(number)*time.Millisecond)
	}
}

// requestReadiness requests a node's /ready endpoint and ignores the response.
func requestReadiness(ctx context.Context, client *http.Client, node int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+nodeAddress(node)+"/ready", nil)
	if err != nil {
		return
	}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
