package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
	"thornnotch/internal/userapi"
	"thornnotch/internal/workers"
)

// judge watches what really happens on the machines.
type judge struct {
	mu     sync.Mutex
	on     map[workers.TaskID]string
	gpus   map[string]float64
	zones  map[string]map[string]int
	in     map[workers.TaskID]string // the zone that a task is in
	limits map[string]float64
	broken []string
	done   map[workers.TaskID]int
	owner  map[string]*jobs.Spec
	// called tells when a user was first told that a job is cancelled; late is
	// how long its tasks may stay after that, begun counts tasks that began.
	called map[string]time.Time
	late   time.Duration
	begun  int
	// jobs finds what was submitted, for those that wait for others.
	jobs   func(string) (*jobs.Spec, bool)
	record func(key string) json.RawMessage
	// ended, if set, is told of each task that is done.
	ended func(workers.TaskID)
}

func (j *judge) fail(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf(format, args...))
}

// cancelled notes that a user was told so.
func (j *judge) cancelled(job string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.called[job]; !ok {
		j.called[job] = time.Now()
	}
}

// overdue demands that a task of a cancelled job is not on a machine too late.
func (j *judge) overdue(t workers.TaskID, machine, what string) {
	if at, ok := j.called[t.Job]; ok && time.Since(at) > j.late {
		j.fail("ran_cancelled: %v %s on %s %v after its user was told", t, what, machine, time.Since(at))
	}
}

// look looks at all that is on machines now.
func (j *judge) look() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for t, machine := range j.on {
		j.overdue(t, machine, "stands")
	}
}

func (j *judge) TaskStarted(machine, zone string, spot bool, t workers.TaskID, try uint64, job *jobs.Spec) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.begun++
	j.overdue(t, machine, "began")
	for _, name := range job.DependsOn {
		if j.jobs == nil {
			break
		}
		// Its end must be written: until then its user's cancellation may come first.
		var f jobs.FinalRecord
		if _ = json.Unmarshal(j.record(jobs.FinalPrefix+name), &f); f.Status != jobs.StatusDone {
			j.fail("too_early: %v began before the end of %s was written (%q)", t, name, f.Status)
		}
		before, _ := j.jobs(name)
		for i := range before.Tasks {
			if j.done[workers.TaskID{Job: name, Index: i}] == 0 {
				j.fail("too_early: %v began before task %d of %s was done", t, i, name)
			}
		}
	}
	if other, ok := j.on[t]; ok {
		j.fail("ran_twice: %v on %s and %s", t, other, machine)
	}
	j.on[t] = machine
	j.owner[t.Job] = job
	if j.gpus[job.Team] += job.GPUs; j.gpus[job.Team] > j.limits[job.Team] {
		j.fail("quota: %s has %v", job.Team, j.gpus[job.Team])
	}
	if j.zones[t.Job] == nil {
		j.zones[t.Job] = make(map[string]int)
	}
	j.zones[t.Job][zone]++
	j.in[t] = zone
	if job.Zone != "" && job.Zone != zone {
		j.fail("wrong_place: %v in %s", t, zone)
	}
	if spot && !job.AllowSpot {
		j.fail("wrong_place: %v on spot", t)
	}
	if n := 0; job.SameZone {
		for _, c := range j.zones[t.Job] {
			if c > 0 {
				n++
			}
		}
		if n > 1 {
			j.fail("wrong_place: %s in %d zones", t.Job, n)
		}
	}
}

func (j *judge) TaskEnded(machine string, t workers.TaskID, _ uint64, done bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.overdue(t, machine, "ended")
	delete(j.on, t)
	j.gpus[j.owner[t.Job].Team] -= j.owner[t.Job].GPUs
	j.zones[t.Job][j.in[t]]--
	delete(j.in, t)
	if done {
		j.done[t]++
		if j.ended != nil {
			j.ended(t)
		}
	}
}

// layout is how large a site is, and its settings.
type layout struct {
	nodes, machines int // machines: as many as the cloud has
	params          config.Params
	step            time.Duration // of the workers
	boots           time.Duration // of machines
}

// small is three nodes and ten machines.
func small() layout {
	return layout{nodes: 3, machines: 10, boots: 5 * time.Second, params: config.Params{
		Teams:   []config.Team{{Name: "a", GuaranteedGPUs: 8, MaxGPUs: 12}, {Name: "b", GuaranteedGPUs: 4, MaxGPUs: 8}},
		Workers: config.WorkerTimings{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerS: 8, CancelWithinS: 37},
		State:   config.StateLimits{RPS: 150, WriteRPS: 50, ValueKB: 16, TxnOps: 12}, Cloud: config.CloudLimits{RPS: 2, ListLagS: 5},
	}}
}

// site is a whole deployment of stand-ins and some nodes, in fake time.
type site struct {
	layout
	t     *testing.T
	net   *simulator.Network
	state *simulator.StateService
	cloud *simulator.Cloud
	judge *judge
	jobs  sync.Map
	user  *http.Client
	nodes map[string]*process
	ctx   context.Context
	wait  sync.WaitGroup
	// copies are the delays of copies of reports, workers the machines by name.
	copies  []time.Duration
	keep    int // how many reports each machine keeps, to send again
	runs    func(*jobs.Spec, int) time.Duration
	away    map[string]bool // addresses that no node reaches
	names   int             // the number of the last job that was there before
	mu      sync.Mutex
	workers map[string]*simulator.Worker
	places  map[string]place
	placed  placements
}

// place is where a machine stands in the network.
type place struct {
	host       *simulator.Host
	addr, zone string
}

type process struct {
	host *simulator.Host
	stop context.CancelFunc
	node *Node
}

func (s *site) Job(id string) (*jobs.Spec, bool) {
	j, ok := s.jobs.Load(id)
	if !ok {
		return nil, false
	}
	return j.(*jobs.Spec), true
}

var zones = []string{"east", "west", "north"}

func newSite(t *testing.T, ctx context.Context) *site { return newSiteOf(t, ctx, small()) }

func newSiteOf(t *testing.T, ctx context.Context, lay layout) *site {
	s := &site{
		layout: lay, t: t, net: simulator.NewNetwork(), state: simulator.NewStateService(), nodes: make(map[string]*process), ctx: ctx,
		workers: make(map[string]*simulator.Worker), places: make(map[string]place),
		judge: &judge{
			on: map[workers.TaskID]string{}, gpus: map[string]float64{}, zones: map[string]map[string]int{},
			limits: map[string]float64{}, done: map[workers.TaskID]int{}, owner: map[string]*jobs.Spec{}, in: map[workers.TaskID]string{},
			called: map[string]time.Time{}, late: config.Seconds(lay.params.Workers.CancelWithinS),
		},
	}
	s.placed = placements{slog.NewTextHandler(io.Discard, nil), new(sync.Mutex), make(map[string]int), make(map[string]bool)}
	s.judge.jobs, s.judge.record = s.Job, s.state.Get
	for _, team := range lay.params.Teams {
		s.judge.limits[team.Name] = team.MaxGPUs
	}
	if testing.Verbose() {
		s.placed.Handler = slog.NewTextHandler(os.Stderr, nil)
	}
	meet := simulator.NewGangRegistry()
	cat := autoscaling.Catalog{MachineTypes: []autoscaling.MachineType{{
		Name: "g4", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 80, FetchGBPerS: 1,
		OnDemandPrice: 10, SpotPrice: 5, BootS: lay.boots.Seconds(), Zones: zones,
	}}}
	var addrs []string
	labels := map[string]string{}
	for i := range lay.nodes {
		addrs = append(addrs, fmt.Sprintf("node-%d:80", i))
		labels[fmt.Sprintf("rig-%d", i)] = addrs[i]
	}
	w := lay.params.Workers
	s.cloud = simulator.NewCloud(ctx, cat, lay.machines, func(ctx context.Context, h autoscaling.Instance) {
		host := s.net.Host(h.Name)
		defer host.Kill()
		w := simulator.NewWorker(simulator.WorkerOptions{
			Name: h.Name, Addr: h.Endpoint, MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot,
			Nodes: addrs, NodeByLabel: labels, HeartbeatInterval: config.Seconds(w.HeartbeatS), Lease: config.Seconds(w.LeaseS), FetchTime: 3 * time.Second,
			GangWait: config.Seconds(w.GangWaitS), DuplicateAfter: s.copies, KeepHeartbeats: s.keep, RunTime: s.runs, Step: lay.step,
		}, host, s, s.judge, meet)
		s.mu.Lock()
		s.workers[h.Name] = w
		s.places[h.Name] = place{host, h.Endpoint, h.Zone}
		s.mu.Unlock()
		_ = w.Run(ctx)
	})
	s.serve("state:1", s.state)
	s.serve("cloud:1", s.cloud)
	user := s.net.Host("user")
	s.user = &http.Client{Transport: &http.Transport{DialContext: user.DialContext, DisableKeepAlives: true}, Timeout: 5 * time.Second}
	return s
}

func (s *site) serve(addr string, h http.Handler) {
	host := s.net.Host(addr)
	l, err := host.Listen("tcp", addr)
	if err != nil {
		s.t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	s.wait.Go(func() { _ = srv.Serve(l) })
	context.AfterFunc(s.ctx, func() {
		srv.Close()
		host.Kill()
	})
}

func (s *site) start(i int) {
	label := fmt.Sprintf("rig-%d", i)
	set := &config.Settings{
		NodeName: label, Site: zones[i%len(zones)], Listen: fmt.Sprintf("node-%d:80", i), PeerListen: fmt.Sprintf("node-%d:81", i),
		Services: config.Services{Cloud: "cloud:1", State: "state:1"},
		Params:   s.params,
	}
	set.Params.Count, set.Params.Zones = s.layout.nodes, zones
	for k := range s.layout.nodes {
		if k != i {
			set.Peers = append(set.Peers, config.Peer{Name: fmt.Sprintf("rig-%d", k), Addr: fmt.Sprintf("node-%d:81", k)})
		}
	}
	host := s.net.Host(label)
	host.LimitConns(s.params.MachineLimits.Sockets)
	for addr := range s.away {
		host.Cut(addr)
	}
	ctx, stop := context.WithCancel(s.ctx)
	p := &process{host: host, stop: stop, node: New(set, config.DefaultOperator(), host, slog.New(s.placed).With("node", label))}
	s.nodes[label] = p
	s.wait.Go(func() {
		_ = p.node.Run(ctx)
		host.Kill()
	})
	context.AfterFunc(s.ctx, host.Kill)
}

// kill ends a node's process with no warning.
func (s *site) kill(label string) {
	p := s.nodes[label]
	p.host.Kill()
	p.stop()
	delete(s.nodes, label)
}

func (s *site) leader() string {
	for label, p := range s.nodes {
		if p.node.leading.Load() != nil {
			return label
		}
	}
	return ""
}

func (s *site) call(node int, method, path string, body any) (int, userapi.JobStatus) {
	raw, _ := json.Marshal(body)
	req, err := http.NewRequest(method, fmt.Sprintf("http://node-%d:80%s", node, path), bytes.NewReader(raw))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := s.user.Do(req)
	if err != nil {
		return 0, userapi.JobStatus{}
	}
	defer resp.Body.Close()
	var st userapi.JobStatus
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return resp.StatusCode, st
}

func (s *site) submit(node int, j *jobs.Spec) int {
	status, _ := s.submitted(node, j)
	return status
}

// submitted submits a job and tells the answer.
func (s *site) submitted(node int, j *jobs.Spec) (int, userapi.JobStatus) {
	s.jobs.LoadOrStore(j.ID, j) // a repeat changes nothing
	body := map[string]any{
		"nameId": j.ID, "workload": j.Class, "owner": j.Team, "shape": j.Kind, "urgency": j.PriorityClass,
		"pieces": j.Tasks, "vcpus": j.CPUs, "accelerators": j.GPUs, "ramGb": j.MemoryGB, "bundle": j.Image, "imageGb": 3.0,
		"hall": nullable(j.Zone), "samePlace": j.SameZone, "apart": false, "loaners": j.AllowSpot, "expectS": j.ExpectedS, "snapshotS": j.CheckpointIntervalS, "stashS": j.SaveS,
	}
	if j.DependsOn != nil {
		body["waitsOn"] = j.DependsOn
	}
	return s.call(node, "POST", "/work", body)
}

func nullable(s string) any {
	if s == "" {
		return nil
	}
	return s
}

func testJob(n int, owner, shape string, pieces int) *jobs.Spec {
	return &jobs.Spec{
		ID: fmt.Sprintf("j-%06d", n), Class: shape, Team: owner, Kind: shape, PriorityClass: "standard", Tasks: pieces,
		CPUs: 6, GPUs: 1, MemoryGB: 10, Image: "img", SameZone: shape == jobs.KindGang, AllowSpot: shape == jobs.KindArray,
		ExpectedS: 20, CheckpointIntervalS: 5, SaveS: 1,
	}
}

func (s *site) until(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("not in time: %s", what)
}

func (s *site) status(node int, id string) string {
	code, st := s.call(node, "GET", "/work/"+id, nil)
	if code != http.StatusOK {
		return fmt.Sprint(code)
	}
	return st.Status
}

// TestSiteThroughFailures runs a whole site in fake time: jobs of both shapes,
// a cancellation, the leader killed, the state service down, every node killed
// at once. All accepted jobs end, and no rule of the protocol is broken.
func TestSiteThroughFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSite(t, ctx)
		defer s.wait.Wait()
		defer cancel()
		defer s.state.Close()
		for i := range 3 {
			s.start(i)
		}
		s.until(10*time.Second, "a leader", func() bool { return s.leader() != "" })
		s.until(10*time.Second, "readiness", func() bool { c, _ := s.call(0, "GET", "/ready", nil); return c == http.StatusOK })

		var ids []string
		add := func(j *jobs.Spec) {
			t.Helper()
			s.until(30*time.Second, "acceptance of "+j.ID, func() bool {
				for n := range 3 {
					if c := s.submit(n, j); c == http.StatusCreated || c == http.StatusOK {
						return true
					}
				}
				return false
			})
			ids = append(ids, j.ID)
		}
		for n := range 6 {
			owner := []string{"a", "b"}[n%2]
			if n%3 == 2 {
				add(testJob(n, owner, jobs.KindGang, 3))
			} else {
				add(testJob(n, owner, jobs.KindArray, 5))
			}
		}
		if c := s.submit(1, testJob(0, "a", jobs.KindArray, 5)); c != http.StatusOK {
			t.Errorf("a repeated submission got %d", c)
		}
		if c := s.submit(1, testJob(99, "nobody", jobs.KindArray, 5)); c != http.StatusUnprocessableEntity {
			t.Errorf("an unknown team got %d", c)
		}
		if got := s.status(2, "j-777777"); got != "404" {
			t.Errorf("an unknown job got %s", got)
		}
		time.Sleep(25 * time.Second)

		lead := s.leader()
		s.kill(lead)
		s.until(10*time.Second, "a new leader", func() bool { l := s.leader(); return l != "" && l != lead })
		add(testJob(10, "a", jobs.KindGang, 2))
		s.start(int(lead[4] - '0'))

		victim := testJob(11, "b", jobs.KindArray, 8)
		victim.ExpectedS = 500
		s.jobs.Store(victim.ID, victim)
		add(victim)
		ids = ids[:len(ids)-1]
		time.Sleep(20 * time.Second)
		s.until(10*time.Second, "the cancellation", func() bool {
			c, st := s.call(1, "POST", "/work/"+victim.ID+"/cancel", nil)
			return c == http.StatusOK && st.Status == jobs.StatusCancelled
		})
		cancelled := time.Now()

		s.state.SetOutage(true)
		if c := s.submit(1, testJob(12, "a", jobs.KindArray, 2)); c != http.StatusServiceUnavailable {
			t.Errorf("a submission during the outage got %d", c)
		}
		time.Sleep(15 * time.Second)
		for label := range s.nodes {
			s.kill(label)
		}
		time.Sleep(3 * time.Second)
		for i := range 3 {
			s.start(i)
		}
		s.state.SetOutage(false)
		time.Sleep(max(0, 37*time.Second-time.Since(cancelled)))
		s.judge.mu.Lock()
		for task := range s.judge.on {
			if task.Job == victim.ID {
				t.Errorf("ran_cancelled: %v", task)
			}
		}
		s.judge.mu.Unlock()

		for _, id := range ids {
			s.until(5*time.Minute, id+" done", func() bool { return s.status(0, id) == jobs.StatusDone })
			j, _ := s.Job(id)
			s.judge.mu.Lock()
			for i := range j.Tasks {
				if s.judge.done[workers.TaskID{Job: id, Index: i}] == 0 {
					t.Errorf("not_done: %s is called done before its task %d is", id, i)
				}
			}
			s.judge.mu.Unlock()
		}
		if got := s.status(0, victim.ID); got != jobs.StatusCancelled {
			t.Errorf("went_back: the cancelled job is %s", got)
		}
		for _, b := range s.judge.broken {
			t.Errorf("rule broken: %s", b)
		}
		// With nothing left to do, the machines are given back but a few.
		s.until(5*time.Minute, "idle machines returned", func() bool { return s.cloud.RentedCount() <= 2 })
	})
}
