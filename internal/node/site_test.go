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

// zones are the zones of a simulated site. Node i is in zones[i%len(zones)].
var zones = []string{"east", "west", "north"}

// siteOptions holds the size and the settings of a simulated site.
type siteOptions struct {
	nodes, machines    int // number of nodes, and of machines that the cloud can rent out
	params             config.Params
	workerStepInterval time.Duration // interval at which workers update their tasks; 0 means the simulator's default
	bootTime           time.Duration // time from renting a machine until its worker runs
	unknownFields      bool          // whether users' submissions have unknown fields, see withUnknownFields
}

// smallSiteOptions returns the options of a site with three nodes, ten machines and two teams.
func smallSiteOptions() siteOptions {
	return siteOptions{nodes: 3, machines: 10, bootTime: 5 * time.Second, params: config.Params{
		Teams:   []config.Team{{Name: "a", GuaranteedGPUs: 8, MaxGPUs: 12}, {Name: "b", GuaranteedGPUs: 4, MaxGPUs: 8}},
		Workers: config.WorkerTimings{HeartbeatS: 2, LeaseS: 12, GangWaitS: 30, GangPeerTimeoutS: 8, CancelWithinS: 37},
		State:   config.StateLimits{RPS: 150, WriteRPS: 50, ValueKB: 16, TxnOps: 12}, Cloud: config.CloudLimits{RPS: 2, ListLagS: 5},
	}}
}

// site is a complete simulated deployment that runs in the fake time of synctest: real
// nodes, and a simulated state service, cloud, workers and network.
type site struct {
	siteOptions
	t          *testing.T
	ctx        context.Context //nolint:containedctx // cancelled when the test ends
	goroutines sync.WaitGroup

	network *simulator.Network
	state   *simulator.StateService
	cloud   *simulator.Cloud
	// nodes holds the running nodes by name. Only the test's goroutine changes the map, and
	// it locks mu to do so, because users in other goroutines read it to find the leader.
	nodes map[string]*nodeProcess

	userClient     *http.Client
	submittedSpecs sync.Map // submitted specifications, *jobs.Spec by job ID
	rules          *ruleChecker
	placementLog   placementLog

	// A test may set the following fields before the nodes start.
	heartbeatDuplicateDelays []time.Duration // delays after which duplicates of each heartbeat arrive
	maxKeptHeartbeats        int             // number of heartbeats that each worker keeps for resending
	// taskDuration returns how long a task runs. If taskDuration is nil, a task runs as long as
	// its job expects.
	taskDuration  func(job *jobs.Spec, index int) time.Duration
	lastJobNumber int // number of the last job ID in use; the next job gets the number after it

	unreachableAddresses map[string]bool // addresses that no node can reach, including nodes that start later

	mu       sync.Mutex // guards the fields below, and changes of nodes
	workers  map[string]*simulator.Worker
	machines map[string]machineLocation
}

// machineLocation holds a machine's host in the simulated network, its address and zone.
type machineLocation struct {
	host       *simulator.Host
	addr, zone string
}

// nodeProcess is a running node with its host in the simulated network.
type nodeProcess struct {
	host *simulator.Host
	stop context.CancelFunc
	node *Node
}

// runSite runs a simulated site in fake time. It starts all nodes and calls run once there
// is a leader and the first node is ready to serve users. prepare, if not nil, is called
// before the nodes start.
func runSite(t *testing.T, options siteOptions, prepare, run func(*site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSite(ctx, t, options)
		if prepare != nil {
			prepare(s)
		}
		defer s.goroutines.Wait()
		defer cancel()
		defer s.state.Close()
		s.startAllNodes()
		s.waitFor(10*time.Second, "a leader", func() bool { return s.leader() != "" })
		s.waitFor(10*time.Second, "readiness", func() bool { return s.ready(0) })
		run(s)
	})
}

// newSite returns a site whose state service and cloud are running, with no nodes started yet.
func newSite(ctx context.Context, t *testing.T, options siteOptions) *site {
	t.Helper()
	s := &site{
		siteOptions: options, t: t, ctx: ctx, network: simulator.NewNetwork(), state: simulator.NewStateService(),
		nodes: make(map[string]*nodeProcess), workers: make(map[string]*simulator.Worker), machines: make(map[string]machineLocation),
		unreachableAddresses: make(map[string]bool),
	}
	s.rules = newRuleChecker(options.params, s.Job, s.state.Get)
	logOutput := io.Discard
	if testing.Verbose() {
		logOutput = os.Stderr
	}
	s.placementLog = newPlacementLog(slog.NewTextHandler(logOutput, nil))
	catalog := autoscaling.Catalog{MachineTypes: []autoscaling.MachineType{{
		Name: "g4", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 80, FetchGBPerS: 1,
		OnDemandPrice: 10, SpotPrice: 5, BootS: options.bootTime.Seconds(), Zones: zones,
	}}}
	gangs := simulator.NewGangRegistry()
	s.cloud = simulator.NewCloud(ctx, catalog, options.machines, func(ctx context.Context, instance autoscaling.Instance) {
		s.runMachine(ctx, instance, gangs)
	})
	s.startServer(stateAddress, s.state)
	s.startServer(cloudAddress, s.cloud)
	user := s.network.Host("user")
	s.userClient = &http.Client{Transport: &http.Transport{DialContext: user.DialContext, DisableKeepAlives: true}, Timeout: 5 * time.Second}
	return s
}

// runMachine runs the worker of a rented machine until the machine is returned or fails.
func (s *site) runMachine(ctx context.Context, instance autoscaling.Instance, gangs *simulator.GangRegistry) {
	host := s.network.Host(instance.Name)
	defer host.Kill()
	var addresses []string
	addressByLabel := map[string]string{}
	for i := range s.siteOptions.nodes {
		addresses = append(addresses, nodeAddress(i))
		addressByLabel[nodeName(i)] = nodeAddress(i)
	}
	timings := s.params.Workers
	worker := simulator.NewWorker(simulator.WorkerOptions{
		Name: instance.Name, Addr: instance.Endpoint, MachineType: instance.MachineType, Zone: instance.Zone, Spot: instance.Spot,
		NodeAddrs: addresses, NodeAddrByLabel: addressByLabel, FetchTime: 3 * time.Second, StepInterval: s.workerStepInterval,
		HeartbeatInterval: config.Seconds(timings.HeartbeatS), LeaseDuration: config.Seconds(timings.LeaseS), GangWait: config.Seconds(timings.GangWaitS),
		DuplicateDelays: s.heartbeatDuplicateDelays, MaxKeptHeartbeats: s.maxKeptHeartbeats, RunTime: s.taskDuration,
	}, host, s, s.rules, gangs)
	s.mu.Lock()
	s.workers[instance.Name] = worker
	s.machines[instance.Name] = machineLocation{host, instance.Endpoint, instance.Zone}
	s.mu.Unlock()
	_ = worker.Run(ctx) // returns when the machine stops
}

// Job returns the specification of a submitted job and whether there is one. Simulated workers
// and the rule checker call it.
func (s *site) Job(id string) (*jobs.Spec, bool) {
	spec, ok := s.submittedSpecs.Load(id)
	if !ok {
		return nil, false
	}
	return spec.(*jobs.Spec), true
}

// startServer serves a simulated service at an address until the site's context ends.
func (s *site) startServer(address string, handler http.Handler) {
	s.t.Helper()
	host := s.network.Host(address)
	listener, err := host.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	s.goroutines.Go(func() { _ = server.Serve(listener) }) // returns when it is closed
	context.AfterFunc(s.ctx, func() {
		_ = server.Close()
		host.Kill()
	})
}

// settings returns the settings of the node with this number.
func (s *site) settings(number int) *config.Settings {
	settings := &config.Settings{
		NodeName: nodeName(number), Zone: zones[number%len(zones)], Listen: nodeAddress(number), PeerListen: peerAddress(number),
		Services: config.Services{Cloud: cloudAddress, State: stateAddress},
		Params:   s.params,
	}
	settings.Params.NodeCount, settings.Params.Zones = s.siteOptions.nodes, zones
	for other := range s.siteOptions.nodes {
		if other != number {
			settings.Peers = append(settings.Peers, config.Peer{Name: nodeName(other), Addr: peerAddress(other)})
		}
	}
	return settings
}

// startNode starts the node with this number.
func (s *site) startNode(number int) {
	name := nodeName(number)
	host := s.network.Host(name)
	host.LimitConns(s.params.MachineLimits.Sockets)
	for address := range s.unreachableAddresses {
		host.Disconnect(address)
	}
	ctx, stop := context.WithCancel(s.ctx)
	log := slog.New(s.placementLog).With("node", name)
	process := &nodeProcess{host: host, stop: stop, node: New(s.settings(number), config.DefaultOperator(), host, log)}
	s.mu.Lock()
	s.nodes[name] = process
	s.mu.Unlock()
	s.goroutines.Go(func() {
		_ = process.node.Run(ctx) // returns when the node is killed
		host.Kill()
	})
	context.AfterFunc(s.ctx, host.Kill)
}

// startAllNodes starts every node of the site.
func (s *site) startAllNodes() {
	for i := range s.siteOptions.nodes {
		s.startNode(i)
	}
}

// startMissingNodes starts the nodes that are not running.
func (s *site) startMissingNodes() {
	for i := range s.siteOptions.nodes {
		if s.nodes[nodeName(i)] == nil {
			s.startNode(i)
		}
	}
}

// killNode stops a node abruptly, as a crash does: its connections are reset and it can't
// give up its lease.
func (s *site) killNode(name string) {
	process := s.nodes[name]
	process.host.Kill()
	process.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.nodes, name)
}

// killAllNodes kills every running node.
func (s *site) killAllNodes() {
	for name := range s.nodes {
		s.killNode(name)
	}
}

// restartNode kills a node and starts it again after a pause.
func (s *site) restartNode(name string, after time.Duration) {
	s.killNode(name)
	time.Sleep(after)
	s.startNode(nodeNumber(name))
}

// leader returns the name of a node that considers itself the leader; empty if none does.
func (s *site) leader() string { return s.leaderExcept("") }

// leaderExcept returns the name of a node other than except that considers itself the leader;
// empty if none does.
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

// waitFor polls a condition every 500 ms until it holds, and fails the test if it does not
// hold within the limit.
func (s *site) waitFor(limit time.Duration, description string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("timed out waiting for: %s", description)
}

// waitForLeader waits for a leader other than except, which may be empty, and returns its
// name.
func (s *site) waitForLeader(limit time.Duration, except string) (name string) {
	s.t.Helper()
	s.waitFor(limit, "a leader other than "+except, func() bool {
		name = s.leaderExcept(except)
		return name != ""
	})
	return name
}
