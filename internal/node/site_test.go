package node

import (
	"context"
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
)

const (
	stateAddress = "state:1"
	cloudAddress = "cloud:1"
)

// zones are a site's zones. Node i is in zone i.
var zones = []string{"east", "west", "north"}

// siteLayout is how large a site is, and its settings.
type siteLayout struct {
	nodes, machines int // machines: as many as the cloud has
	params          config.Params
	workerStep      time.Duration // how often workers look at their tasks; 0: their own
	bootTime        time.Duration // of machines
}

// smallSite is three nodes and ten machines.
func smallSite() siteLayout {
	return siteLayout{nodes: 3, machines: 10, bootTime: 5 * time.Second, params: config.Params{
		Teams:   []config.Team{{Name: "a", GuaranteedGPUs: 8, MaxGPUs: 12}, {Name: "b", GuaranteedGPUs: 4, MaxGPUs: 8}},
		Workers: config.WorkerTimings{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerS: 8, CancelWithinS: 37},
		State:   config.StateLimits{RPS: 150, WriteRPS: 50, ValueKB: 16, TxnOps: 12}, Cloud: config.CloudLimits{RPS: 2, ListLagS: 5},
	}}
}

// site is a whole deployment in fake time: nodes, and stand-ins for the state service,
// the cloud and its machines, in a network of its own.
type site struct {
	siteLayout
	t          *testing.T
	ctx        context.Context //nolint:containedctx // ends with the test
	goroutines sync.WaitGroup

	network *simulator.Network
	state   *simulator.StateService
	cloud   *simulator.Cloud
	// nodes are those that run, by name. The test's goroutine alone changes it, with mu
	// locked, as users in other goroutines look for the leader.
	nodes map[string]*nodeProcess

	userClient   *http.Client
	specs        sync.Map // *jobs.Spec by job ID: what was submitted
	rules        *ruleChecker
	placementLog placementLog

	// What a test may set before nodes start.
	heartbeatCopies []time.Duration // how late copies of each heartbeat come
	keptHeartbeats  int             // how many heartbeats each machine keeps, to send again
	taskDuration    func(job *jobs.Spec, index int) time.Duration
	lastJob         int // the number of the last job that was there before

	unreachable map[string]bool // addresses that no node reaches, also one that starts

	mu       sync.Mutex // guards all below, and changes of nodes
	workers  map[string]*simulator.Worker
	machines map[string]machinePlace
}

// machinePlace is where a machine stands in the network.
type machinePlace struct {
	host       *simulator.Host
	addr, zone string
}

// nodeProcess is a node that runs.
type nodeProcess struct {
	host *simulator.Host
	stop context.CancelFunc
	node *Node
}

// runSite runs a site in fake time: all nodes are started, one leads and users are
// served before act is called. prepare, if set, may change the site before.
func runSite(t *testing.T, layout siteLayout, prepare, act func(*site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSite(ctx, t, layout)
		if prepare != nil {
			prepare(s)
		}
		defer s.goroutines.Wait()
		defer cancel()
		defer s.state.Close()
		s.startAllNodes()
		s.waitFor(10*time.Second, "a leader", func() bool { return s.leader() != "" })
		s.waitFor(10*time.Second, "readiness", func() bool { return s.ready(0) })
		act(s)
	})
}

// newSite makes a site that has no node yet.
func newSite(ctx context.Context, t *testing.T, layout siteLayout) *site {
	t.Helper()
	s := &site{
		siteLayout: layout, t: t, ctx: ctx, network: simulator.NewNetwork(), state: simulator.NewStateService(),
		nodes: make(map[string]*nodeProcess), workers: make(map[string]*simulator.Worker), machines: make(map[string]machinePlace),
		unreachable: make(map[string]bool),
	}
	s.rules = newRuleChecker(layout.params, s.Job, s.state.Get)
	logOutput := io.Discard
	if testing.Verbose() {
		logOutput = os.Stderr
	}
	s.placementLog = newPlacementLog(slog.NewTextHandler(logOutput, nil))
	catalog := autoscaling.Catalog{MachineTypes: []autoscaling.MachineType{{
		Name: "g4", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 80, FetchGBPerS: 1,
		OnDemandPrice: 10, SpotPrice: 5, BootS: layout.bootTime.Seconds(), Zones: zones,
	}}}
	gangs := simulator.NewGangRegistry()
	s.cloud = simulator.NewCloud(ctx, catalog, layout.machines, func(ctx context.Context, instance autoscaling.Instance) {
		s.runMachine(ctx, instance, gangs)
	})
	s.serveStandIn(stateAddress, s.state)
	s.serveStandIn(cloudAddress, s.cloud)
	user := s.network.Host("user")
	s.userClient = &http.Client{Transport: &http.Transport{DialContext: user.DialContext, DisableKeepAlives: true}, Timeout: 5 * time.Second}
	return s
}

// runMachine runs a rented machine's worker until the machine is returned.
func (s *site) runMachine(ctx context.Context, instance autoscaling.Instance, gangs *simulator.GangRegistry) {
	host := s.network.Host(instance.Name)
	defer host.Kill()
	var addresses []string
	labels := map[string]string{}
	for i := range s.siteLayout.nodes {
		addresses = append(addresses, nodeAddress(i))
		labels[nodeName(i)] = nodeAddress(i)
	}
	timings := s.params.Workers
	worker := simulator.NewWorker(simulator.WorkerOptions{
		Name: instance.Name, Addr: instance.Endpoint, MachineType: instance.MachineType, Zone: instance.Zone, Spot: instance.Spot,
		Nodes: addresses, NodeByLabel: labels, FetchTime: 3 * time.Second, Step: s.workerStep,
		HeartbeatInterval: config.Seconds(timings.HeartbeatS), Lease: config.Seconds(timings.LeaseS), GangWait: config.Seconds(timings.GangWaitS),
		DuplicateAfter: s.heartbeatCopies, KeepHeartbeats: s.keptHeartbeats, RunTime: s.taskDuration,
	}, host, s, s.rules, gangs)
	s.mu.Lock()
	s.workers[instance.Name] = worker
	s.machines[instance.Name] = machinePlace{host, instance.Endpoint, instance.Zone}
	s.mu.Unlock()
	_ = worker.Run(ctx) // ends as the machine does
}

// Job finds a job that was submitted, for workers and rules.
func (s *site) Job(id string) (*jobs.Spec, bool) {
	spec, ok := s.specs.Load(id)
	if !ok {
		return nil, false
	}
	return spec.(*jobs.Spec), true
}

// serveStandIn serves a stand-in at an address until the site ends.
func (s *site) serveStandIn(address string, handler http.Handler) {
	s.t.Helper()
	host := s.network.Host(address)
	listener, err := host.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	s.goroutines.Go(func() { _ = server.Serve(listener) }) // ends as it is closed
	context.AfterFunc(s.ctx, func() {
		_ = server.Close()
		host.Kill()
	})
}

// settings are those of one node.
func (s *site) settings(number int) *config.Settings {
	settings := &config.Settings{
		NodeName: nodeName(number), Site: zones[number%len(zones)], Listen: nodeAddress(number), PeerListen: peerAddress(number),
		Services: config.Services{Cloud: cloudAddress, State: stateAddress},
		Params:   s.params,
	}
	settings.Params.Count, settings.Params.Zones = s.siteLayout.nodes, zones
	for other := range s.siteLayout.nodes {
		if other != number {
			settings.Peers = append(settings.Peers, config.Peer{Name: nodeName(other), Addr: peerAddress(other)})
		}
	}
	return settings
}

// startNode starts a node's process.
func (s *site) startNode(number int) {
	name := nodeName(number)
	host := s.network.Host(name)
	host.LimitConns(s.params.MachineLimits.Sockets)
	for address := range s.unreachable {
		host.Cut(address)
	}
	ctx, stop := context.WithCancel(s.ctx)
	log := slog.New(s.placementLog).With("node", name)
	process := &nodeProcess{host: host, stop: stop, node: New(s.settings(number), config.DefaultOperator(), host, log)}
	s.mu.Lock()
	s.nodes[name] = process
	s.mu.Unlock()
	s.goroutines.Go(func() {
		_ = process.node.Run(ctx) // ends as the node is killed
		host.Kill()
	})
	context.AfterFunc(s.ctx, host.Kill)
}

func (s *site) startAllNodes() {
	for i := range s.siteLayout.nodes {
		s.startNode(i)
	}
}

// startMissingNodes starts the nodes that do not run.
func (s *site) startMissingNodes() {
	for i := range s.siteLayout.nodes {
		if s.nodes[nodeName(i)] == nil {
			s.startNode(i)
		}
	}
}

// killNode ends a node's process with no warning.
func (s *site) killNode(name string) {
	process := s.nodes[name]
	process.host.Kill()
	process.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.nodes, name)
}

func (s *site) killAllNodes() {
	for name := range s.nodes {
		s.killNode(name)
	}
}

// restartNode ends a node's process and starts it again after a while.
func (s *site) restartNode(name string, after time.Duration) {
	s.killNode(name)
	time.Sleep(after)
	s.startNode(nodeNumber(name))
}

// leader names a node that leads; empty if none does.
func (s *site) leader() string { return s.leaderExcept("") }

// leaderExcept names a node that leads, other than one.
func (s *site) leaderExcept(except string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, process := range s.nodes {
		if name != except && process.node.leads() {
			return name
		}
	}
	return ""
}

// waitFor waits until a condition holds.
func (s *site) waitFor(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("not in time: %s", what)
}

// waitForLeader waits for a leader, other than one if it is named.
func (s *site) waitForLeader(limit time.Duration, except string) (name string) {
	s.t.Helper()
	s.waitFor(limit, "a leader other than "+except, func() bool {
		name = s.leaderExcept(except)
		return name != ""
	})
	return name
}
