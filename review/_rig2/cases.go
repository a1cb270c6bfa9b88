package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"thornnotch/internal/simulator"
)

// quotaSite has the settings of sites/gaasiliit, with 14 machines.
var quotaSite = siteOptions{
	zones:    []string{"tallinn-core", "tartu-reserve", "parnu-edge"},
	machine:  machineType{"valve-64g", 64, 8, 384, 0.6},
	machines: 14,
	teams: []team{
		{"dispatch", 32, 72}, {"shipper-desk", 72, 224}, {"capacity", 72, 264}, {"forecasting", 56, 112}, {"settlement", 56, 128},
	},
	workers:   workerTimes{3 * time.Second, 24 * time.Second},
	gangWaitS: 50, gangPeerS: 4, cancelS: 44,
	state:       "rps = 150.0\nwrite_rps = 60.0\nvalue_kb = 8.0\ntxn_ops = 32",
	stateLimits: simulator.RequestLimits{ValueBytes: 8 << 10, WritesPerTxn: 32, WritesPerSecond: 60},
	cloudRPS:    4, listLagS: 5,
	machineLimits: "cores = 0.3\nmem_mb = 234.0\nsockets = 2000",
	restart:       6 * time.Second,
}

func flowScore(id, team string, pieces int) *spec {
	return &spec{
		ID: id, Class: "flow-score", Team: team, Shape: "sweep", Urgency: "standard", Pieces: pieces,
		CPUs: 6, GPUs: 1, RAM: 36, Bundle: "flow-a", ImageGB: 1, Loaners: true, ExpectS: 100, SnapshotS: 30, StashS: 4, runS: 180,
	}
}

// playQuota: a team is at its limit. The answers and commands to two machines are lost. The tasks of
// a job end on the first, those on the second run. The job is cancelled and the leading controller
// crashes.
func playQuota(s *site, trouble bool) (broken bool, err error) {
	const limit, job = 72, "j-000001"
	if err := s.await("a controller leads", 20*time.Second, func() bool { return s.leader() != nil }); err != nil {
		return false, err
	}
	if err := s.submit(flowScore(job, "dispatch", 39)); err != nil {
		return false, err
	}
	if err := s.await("all tasks of "+job+" run", 30*time.Second, func() bool { n, _ := s.ledger.count(job); return n == 39 }); err != nil {
		return false, err
	}
	if err := s.submit(flowScore("j-000002", "dispatch", limit-39)); err != nil {
		return false, err
	}
	if err := s.await("the team is at its limit", 30*time.Second, func() bool { return s.ledger.inUse("dispatch") == limit }); err != nil {
		return false, err
	}
	s.record.log("tasks of %s by machine: %v", job, s.ledger.onMachine(job))
	var ends, goesOn *worker // both with 8 tasks of the job
	if err := s.await("two machines have 8 tasks of "+job, 20*time.Second, func() bool {
		ends, goesOn = nil, nil
		for name, tasks := range s.ledger.onMachine(job) {
			switch w := s.worker(name); {
			case tasks < 8:
			case ends == nil && w.quiet():
				ends = w
			default:
				goesOn = w
			}
		}
		return ends != nil && goesOn != nil
	}); err != nil {
		return false, err
	}
	if trouble {
		ends.setCut(true, false)
		goesOn.setCut(true, false)
		time.AfterFunc(20*time.Second, func() {
			ends.setCut(false, false)
			goesOn.setCut(false, false)
			s.record.log("over: answers and commands reach %s and %s again", ends.name, goesOn.name)
		})
		s.record.log("TROUBLE: reports of %s and %s arrive, but answers and commands don't reach them", ends.name, goesOn.name)
	}
	ends.finish(job)
	s.record.log("the tasks of %s on %s complete", job, ends.name)
	time.Sleep(time.Second)
	if err := s.cancel(job); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		leader := s.leader()
		if leader == nil {
			return false, fmt.Errorf("%w: no controller leads", errCantRun)
		}
		s.record.log("TROUBLE: %s, which leads, crashes", leader.label)
		leader.signal(syscall.SIGKILL)
	}
	for _, id := range []string{"j-000003", "j-000004"} {
		if err := s.submit(flowScore(id, "dispatch", 30)); err != nil {
			return false, err
		}
	}
	time.Sleep(25 * time.Second) // the trouble is over by then
	for _, id := range []string{"j-000003", "j-000004"} {
		started, _ := s.ledger.count(id)
		s.record.log("tasks of %s started: %d", id, started)
	}
	return s.ledger.breaches("quota") > 0, nil
}

// checkpointSite has the settings of change/shirebrookrx-next, with 120 machines.
// state.next holds the limits that the state service will have later.
var checkpointSite = siteOptions{
	zones:    []string{"derby-hall", "leicester-depot", "nottingham-annex"},
	machine:  machineType{"dispenser-32g", 32, 4, 256, 0.5},
	machines: 120,
	teams: []team{
		{"formulary", 200, 500}, {"surgery-links", 250, 500}, {"member-services", 500, 1800}, {"dispensary-analytics", 250, 600},
	},
	workers:   workerTimes{2 * time.Second, 12 * time.Second},
	gangWaitS: 35, gangPeerS: 8, cancelS: 37,
	state: "rps = 150.0\nwrite_rps = 50.0\nvalue_kb = 16.0\ntxn_ops = 12\n" +
		"[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 35.0",
	stateLimits: simulator.RequestLimits{ValueBytes: 16 << 10, WritesPerTxn: 12, WritesPerSecond: 50},
	cloudRPS:    2, listLagS: 10,
	machineLimits: "cores = 0.144\nmem_mb = 125.0\nsockets = 1200",
	restart:       3 * time.Second,
}

// playCheckpoint: the state service lowers its limits to those that the settings announce, while
// a job of many tasks runs. A job that is submitted later must run.
func playCheckpoint(s *site, trouble bool) (broken bool, err error) {
	if err := s.await("a controller leads", 20*time.Second, func() bool { return s.leader() != nil }); err != nil {
		return false, err
	}
	sweep := &spec{
		ID: "j-000001", Class: "stock-tally", Team: "surgery-links", Shape: "sweep", Urgency: "idle", Pieces: 40000,
		CPUs: 1, RAM: 6.4, Bundle: "tally", ImageGB: 1, Loaners: true, ExpectS: 2, runS: 2,
	}
	if err := s.submit(sweep); err != nil {
		return false, err
	}
	if err := s.await("200 tasks of j-000001 are done", 30*time.Second, func() bool { _, done := s.ledger.count(sweep.ID); return done >= 200 }); err != nil {
		return false, err
	}
	if trouble {
		s.state.SetLimits(simulator.RequestLimits{ValueBytes: 2 << 10, WritesPerTxn: 4, WritesPerSecond: 35})
		s.record.log("TROUBLE: the state service lowers its limits to those of state.next")
	}
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Second) {
		started, done := s.ledger.count(sweep.ID)
		s.record.log("term %d; tasks of j-000001 started %d, done %d; transactions refused as too large: %d; log %s", s.term(), started, done, s.state.CountFaults().TooLarge, s.state.Get("log/head"))
	}
	if os.Getenv("RESTART") != "" { // tried by hand: does a restart of all controllers help?
		for _, n := range s.nodes {
			s.record.log("%s is killed", n.label)
			n.signal(syscall.SIGKILL)
		}
		time.Sleep(6 * time.Second)
	}
	urgent := &spec{
		ID: "j-000002", Class: "picklist-build", Team: "member-services", Shape: "sweep", Urgency: "production", Pieces: 3,
		CPUs: 1, RAM: 6.4, Bundle: "tally", ImageGB: 1, Loaners: true, ExpectS: 2, runS: 2,
	}
	if err := s.submit(urgent); err != nil {
		return false, err
	}
	before, _ := s.ledger.count(sweep.ID)
	var started, done int
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if started, _ = s.ledger.count(urgent.ID); started == urgent.Pieces {
			s.record.log("all tasks of j-000002 started")
			break
		}
		if time.Until(end) > 30*time.Second {
			before, _ = s.ledger.count(sweep.ID)
		}
	}
	after, done := s.ledger.count(sweep.ID)
	s.record.log("term %d; tasks of j-000001 started %d, done %d, started in the last 30 s %d; transactions refused as too large: %d", s.term(), after, done, after-before, s.state.CountFaults().TooLarge)
	started, done = s.ledger.count(urgent.ID)
	_, a := s.call(s.nodes[0], "GET", "/work/"+urgent.ID, nil, 2*time.Second)
	s.record.log("tasks of j-000002 started %d, done %d of %d; its user is told %q", started, done, urgent.Pieces, a.Status)
	return started == 0 && after == before, nil
}

// cancelledSite has the settings of next/gaasiliit-grown, with one machine.
var cancelledSite = siteOptions{
	zones:    []string{"tallinn-core", "tartu-reserve", "parnu-edge"},
	nodes:    5,
	machine:  machineType{"valve-64g", 64, 8, 384, 0.6},
	machines: 1,
	teams: []team{
		{"dispatch", 800, 2000}, {"shipper-desk", 2000, 6000}, {"capacity", 2000, 7000}, {"forecasting", 1500, 3000}, {"settlement", 1500, 3500},
	},
	workers:   workerTimes{5 * time.Second, 24 * time.Second},
	gangWaitS: 50, gangPeerS: 4, cancelS: 44,
	state:       "rps = 150.0\nwrite_rps = 60.0\nvalue_kb = 8.0\ntxn_ops = 32",
	stateLimits: simulator.RequestLimits{ValueBytes: 8 << 10, WritesPerTxn: 32, WritesPerSecond: 60},
	cloudRPS:    4, listLagS: 5,
	machineLimits: "cores = 0.3\nmem_mb = 234.0\nsockets = 2000",
	restart:       6 * time.Second,
}

// playCancelled: a job's start is recorded, and the machine's next report is due in some seconds. The
// state service refuses the leading controller alone. The job is cancelled at another controller.
func playCancelled(s *site, trouble bool) (broken bool, err error) {
	if err := s.await("a controller leads", 20*time.Second, func() bool { return s.leader() != nil }); err != nil {
		return false, err
	}
	warm := flowScore("j-000001", "dispatch", 1)
	warm.runS = 1
	if err := s.submit(warm); err != nil {
		return false, err
	}
	if err := s.await("j-000001 is done, the machine has its image", 40*time.Second, func() bool { _, done := s.ledger.count(warm.ID); return done == 1 }); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	return s.cancelRecorded("j-000002", trouble)
}

// cancelRecorded reports whether the machine was told to run a task of the
// cancelled job, and did.
func (s *site) cancelRecorded(id string, trouble bool) (broken bool, err error) {
	leader, w := s.leader(), s.worker("m-000000")
	if leader == nil || w == nil {
		return false, fmt.Errorf("%w: no leader, or no machine", errCantRun)
	}
	if err := s.await("the machine's next report is due in 1.2 s to 1.8 s", 40*time.Second, func() bool {
		in, sending := w.next()
		return !sending && in > 1200*time.Millisecond && in < 1800*time.Millisecond
	}); err != nil {
		return false, err
	}
	if err := s.submit(flowScore(id, "dispatch", 1)); err != nil {
		return false, err
	}
	time.Sleep(400 * time.Millisecond) // the leader has recorded the start by then
	if trouble {
		leader.state.refuse(true)
		s.record.log("TROUBLE: the state service refuses %s, which leads, alone", leader.label)
	}
	time.Sleep(100 * time.Millisecond)
	other := s.nodes[0]
	if other == leader {
		other = s.nodes[1]
	}
	status, a := s.call(other, "POST", "/work/"+id+"/cancel", struct{}{}, 5*time.Second)
	if status != 200 || a.Status != "aborted" {
		return false, fmt.Errorf("%w: the cancellation is answered with %d %s", errCantRun, status, a.Status)
	}
	s.ledger.toldCancelled(id)
	s.record.log("%s tells the user that %s is cancelled", other.label, id)
	time.Sleep(7 * time.Second)
	started, _ := s.ledger.count(id)
	s.record.log("tasks of %s started: %d", id, started)
	if trouble {
		leader.state.refuse(false)
		s.record.log("over: the state service serves %s again", leader.label)
		time.Sleep(4 * time.Second)
	}
	return started > 0 && len(s.ledger.startOrders) > 0, nil
}
