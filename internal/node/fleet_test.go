package node

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// TestFleetOutlivesItsNodes puts 2,100 workers on five nodes with 2,500 sockets
// each, which is less than what workers and idle users ask for, and ends all
// nodes at once. It guards against an incident: the listener's share was
// smaller than the number of workers, so the last ones could not report and
// their leases ran out. Afterwards every task must be known again on the
// machine where it runs, none be started twice or lost, and users be answered.
func TestFleetOutlivesItsNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		lay := small()
		lay.nodes, lay.machines, lay.step = 5, 2100, time.Second
		lay.params = config.Params{
			Teams:   []config.Team{{Name: "a", GuaranteedGPUs: 4000, MaxGPUs: 8400}},
			Workers: config.WorkerTimings{HeartbeatS: 6, LeaseS: 31, GangWaitS: 50, GangPeerS: 4, CancelWithinS: 51},
			State:   config.StateLimits{RPS: 180, WriteRPS: 70, ValueKB: 8, TxnOps: 32}, Cloud: config.CloudLimits{RPS: 5, ListLagS: 5},
			MachineLimits: config.MachineLimits{Sockets: 2500},
		}
		s := newSiteOf(t, ctx, lay)
		defer s.wait.Wait()
		defer cancel()
		defer s.state.Close()
		s.cloud.AddRunning(lay.machines)
		for i := range lay.nodes {
			s.start(i)
		}
		s.until(10*time.Second, "a leader", func() bool { return s.leader() != "" })
		s.until(10*time.Second, "readiness", func() bool { c, _ := s.call(0, "GET", "/ready", nil); return c == http.StatusOK })
		// As many users as there are sockets beside the workers keep theirs open.
		for i := range 500 {
			host := s.net.Host(fmt.Sprint("user-", i))
			user := &http.Client{Transport: &http.Transport{DialContext: host.DialContext}, Timeout: 2 * time.Second}
			s.wait.Go(func() {
				defer host.Kill()
				for ctx.Err() == nil {
					if label := s.leader(); label != "" {
						if resp, err := user.Get(fmt.Sprintf("http://node-%c:80/ready", label[4])); err == nil {
							resp.Body.Close()
						}
					}
					wait := time.NewTimer(5*time.Second + time.Duration(i)*time.Millisecond)
					select {
					case <-ctx.Done():
						wait.Stop()
					case <-wait.C:
					}
				}
			})
		}
		const jobCount = 70 // two tasks fill a machine, so all machines are needed
		for n := range jobCount {
			j := testJob(n, "a", jobs.KindArray, 60)
			j.ExpectedS, j.CPUs, j.GPUs = 400, 12, 2
			s.until(30*time.Second, "acceptance of "+j.ID, func() bool {
				c := s.submit(n%lay.nodes, j)
				return c == http.StatusCreated || c == http.StatusOK
			})
		}
		s.until(2*time.Minute, "all tasks running", func() bool { return len(s.running()) == jobCount*60 })
		s.until(time.Minute, "all workers heard", func() bool { return s.workersHeard() == lay.machines })
		before := s.running()
		for label := range s.nodes {
			s.kill(label)
		}
		time.Sleep(6 * time.Second)
		for i := range lay.nodes {
			s.start(i)
		}
		s.until(20*time.Second, "all workers heard again", func() bool { return s.workersHeard() == lay.machines })
		for n := range jobCount {
			id := fmt.Sprintf("j-%06d", n)
			s.until(10*time.Second, "an answer for "+id, func() bool { return s.status(n%lay.nodes, id) == jobs.StatusRunning })
		}
		time.Sleep(40 * time.Second) // longer than any lease
		s.sameTasks(before)
		s.noRuleBroken()
	})
}

// running tells which tasks run, and where.
func (s *site) running() map[workers.TaskID]string {
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	return maps.Clone(s.judge.on)
}

// workersHeard is how many workers have reported to the leader in its term.
func (s *site) workersHeard() (workers int) {
	label := s.leader()
	if label == "" {
		return 0
	}
	status, ok := s.nodes[label].node.leading.Load().Status(s.ctx)
	if !ok {
		return 0
	}
	for _, m := range status.Machines {
		workers += m.Up
	}
	return workers
}

// sameTasks demands that what runs is what ran before, each task on its machine.
func (s *site) sameTasks(before map[workers.TaskID]string) {
	s.t.Helper()
	after := s.running()
	if len(after) != len(before) {
		s.t.Errorf("%d tasks ran before, %d now", len(before), len(after))
	}
	for task, machine := range before {
		if after[task] != machine {
			s.t.Errorf("%v ran on %s, now on %q", task, machine, after[task])
		}
	}
}

// noRuleBroken fails the test for each rule that was broken so far.
func (s *site) noRuleBroken() {
	s.t.Helper()
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	for _, b := range s.judge.broken {
		s.t.Errorf("rule broken: %s", b)
	}
}

// TestFrozenLeader: the leader stands still for longer than its term while its
// clocks run on; another leads. When it goes on, what waited in its sockets and
// its own plans change nothing that they may not.
func TestFrozenLeader(t *testing.T) {
	trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
		old := s.leader()
		p := s.nodes[old]
		goOn := p.host.Freeze()
		s.until(15*time.Second, "another leader", func() bool {
			for label, q := range s.nodes {
				if label != old && q.node.leading.Load() != nil {
					return true
				}
			}
			return false
		})
		delete(s.nodes, old) // not asked while it stands still
		at := time.Now()
		for s.answers(old, 20) {
			time.Sleep(time.Second)
		}
		time.Sleep(max(0, 37*time.Second-time.Since(at)))
		hosts := s.cloud.RentedCount()
		goOn()
		s.nodes[old] = p
		s.until(10*time.Second, "the old leader to see that it leads no more", func() bool { return p.node.leading.Load() == nil })
		if n := s.cloud.RentedCount(); n > hosts+2 {
			t.Errorf("it rented for machines that only it had not heard: %d, then %d", hosts, n)
		}
		add(testJob(20, "a", jobs.KindArray, 3))
	})
}

// working names the machines that run something, as the judge sees it.
func (s *site) working() map[string]bool {
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	names := map[string]bool{}
	for _, machine := range s.judge.on {
		names[machine] = true
	}
	return names
}

// answers tells whether a node answers users; a frozen one does not.
func (s *site) answers(label string, n int) bool {
	return s.status(int(label[4]-'0'), fmt.Sprintf("j-%06d", n)) != "0"
}

// TestHangingMachines: machines stand still for longer than their lease while
// their tasks start elsewhere, and then go on. No task runs twice.
func TestHangingMachines(t *testing.T) {
	trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
		names := s.working()
		hang := func(on bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for name := range names {
				s.workers[name].SetHanging(on)
			}
		}
		hang(true)
		add(testJob(20, "b", jobs.KindGang, 3))
		time.Sleep(16 * time.Second) // lease 12 s
		hang(false)
		time.Sleep(3 * time.Second)
		hang(true) // and for less than a lease
		time.Sleep(7 * time.Second)
		hang(false)
	})
}

// TestManyMachinesDie: half of all machines end at once with all that is on
// them. What ran there runs elsewhere, and the dead are replaced and returned.
func TestManyMachinesDie(t *testing.T) {
	trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
		names := s.working()
		if len(names) < 2 {
			s.t.Fatalf("only %d machines at work", len(names))
		}
		for name := range names {
			s.cloud.Fail(name)
		}
		for n := range 3 {
			add(testJob(20+n, "a", jobs.KindArray, 3))
		}
	})
}
