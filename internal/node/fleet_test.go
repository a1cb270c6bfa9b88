package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
)

// fleet is a site whose machines are all there from the start, and all needed: its
// jobs' tasks fill them.
type fleet struct {
	*site
	jobCount, tasksPerJob int
}

// fillJob is a job of tasks two of which fill a machine.
func fillJob(number, tasks int, seconds float64) *jobs.Spec {
	job := testJob(number, "a", jobs.KindArray, tasks)
	job.ExpectedS, job.CPUs, job.GPUs = seconds, 12, 2
	return job
}

// submitAll submits the fleet's jobs, each at one node.
func (f fleet) submitAll(seconds float64) {
	f.t.Helper()
	for n := range f.jobCount {
		f.mustSubmit(30*time.Second, fillJob(n, f.tasksPerJob, seconds), n%f.siteLayout.nodes)
	}
}

// waitAllRunning waits until all tasks run.
func (f fleet) waitAllRunning(limit time.Duration, when string) {
	f.t.Helper()
	f.waitFor(limit, "all tasks running "+when, func() bool { return len(f.rules.runningTasks()) == f.jobCount*f.tasksPerJob })
}

// waitAllHeard waits until the leader has heard all workers.
func (f fleet) waitAllHeard(limit time.Duration, when string) {
	f.t.Helper()
	f.waitFor(limit, "all workers heard "+when, func() bool { return f.workersHeard() == f.siteLayout.machines })
}

// workersHeard is how many workers have reported to the leader in its term.
func (f fleet) workersHeard() (workers int) {
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

// restartAllNodes ends all nodes and starts them again after a while.
func (f fleet) restartAllNodes(after time.Duration) {
	f.killAllNodes()
	time.Sleep(after)
	f.startAllNodes()
}

// TestFleetOutlivesItsNodes puts 2,100 workers on five nodes with 2,500 sockets
// each, which is less than what workers and idle users ask for, and ends all
// nodes at once. It guards against an incident: the listener's share was
// smaller than the number of workers, so the last ones could not report and
// their leases ran out. Afterwards every task must be known again on the
// machine where it runs, none be started twice or lost, and users be answered.
func TestFleetOutlivesItsNodes(t *testing.T) {
	layout := smallSite()
	layout.nodes, layout.machines, layout.workerStep = 5, 2100, time.Second
	layout.params = config.Params{
		Teams:   []config.Team{{Name: "a", GuaranteedGPUs: 4000, MaxGPUs: 8400}},
		Workers: config.WorkerTimings{HeartbeatS: 6, LeaseS: 31, GangWaitS: 50, GangPeerS: 4, CancelWithinS: 51},
		State:   config.StateLimits{RPS: 180, WriteRPS: 70, ValueKB: 8, TxnOps: 32}, Cloud: config.CloudLimits{RPS: 5, ListLagS: 5},
		MachineLimits: config.MachineLimits{Sockets: 2500},
	}
	fill := func(s *site) { s.cloud.AddRunning(layout.machines) }
	runSite(t, layout, fill, func(s *site) {
		f := fleet{s, 70, 60}
		// As many users as there are sockets beside the workers keep theirs open.
		for i := range 500 {
			s.goroutines.Go(func() { s.keepUserConnected(i) })
		}
		f.submitAll(400)
		f.waitAllRunning(2*time.Minute, "")
		f.waitAllHeard(time.Minute, "")
		before := s.rules.runningTasks()

		f.restartAllNodes(6 * time.Second)
		f.waitAllHeard(20*time.Second, "again")
		for n := range f.jobCount {
			id := jobID(n)
			s.waitFor(10*time.Second, "an answer for "+id, func() bool { return s.status(n%layout.nodes, id) == jobs.StatusRunning })
		}
		time.Sleep(40 * time.Second) // longer than any lease
		s.checkSameTasks(before)
		s.checkRules()
	})
}

// keepUserConnected has a user ask the leader for something every few seconds, on a
// connection that stays open, until the site ends.
func (s *site) keepUserConnected(number int) {
	host := s.network.Host(fmt.Sprint("user-", number))
	defer host.Kill()
	user := &http.Client{Transport: &http.Transport{DialContext: host.DialContext}, Timeout: 2 * time.Second}
	for s.ctx.Err() == nil {
		if leader := s.leader(); leader != "" {
			askReadiness(s.ctx, user, nodeNumber(leader))
		}
		pause(s.ctx, 5*time.Second+time.Duration(number)*time.Millisecond)
	}
}

// askReadiness asks a node whether it is ready; the answer does not matter.
func askReadiness(ctx context.Context, user *http.Client, node int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+nodeAddress(node)+"/ready", nil)
	if err != nil {
		return
	}
	if response, err := user.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
