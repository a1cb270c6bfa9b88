package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"thornnotch/internal/simulator"
)

type machineType struct {
	name                        string
	cpus, gpus, ram, pullGBPerS float64
}

type team struct {
	name         string
	gpus, gpuMax float64
}

type siteOptions struct {
	zones    []string
	nodes    int // controllers; 0: one in each zone
	machine  machineType
	machines int
	capacity int  // machines in all; 0: no more than at the start
	strict   bool // the platform is as slow and as late as the pages allow
	teams    []team
	workers  workerTimes
	// settings below [params], without the teams
	gangWaitS, gangPeerS, cancelS float64
	state                         string // the lines of [params.state] and its tables
	stateLimits                   simulator.RequestLimits
	cloudRPS, listLagS            float64
	machineLimits                 string
	restart                       time.Duration // how long an ended controller stays down
	late                          func(report hello) time.Duration
}

type node struct {
	label, site, listen, mesh, config, log string
	stateProxy                             *proxy
	state                                  *stateFront
	meshProxy, workersProxy                *proxy
	cmd                                    *exec.Cmd
	ended                                  chan struct{}
	starts                                 int
}

type site struct {
	options siteOptions
	record  *record
	ledger  *ledger
	state   *simulator.StateService
	cloud   *cloud
	nodes   []*node
	gangs   *gangs
	late    func(report hello) time.Duration
	folder  string
	run     []string
	user    *http.Client

	mu      sync.Mutex
	stopped bool
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

func newSite(options siteOptions, record *record) (*site, error) {
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		return nil, errors.New("deploy/service.toml has no run line")
	}
	run := strings.Fields(string(match[1]))
	if _, err := os.Stat(run[0]); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	gpuMax := map[string]float64{}
	for _, t := range options.teams {
		gpuMax[t.name] = t.gpuMax
	}
	s := &site{
		options: options, record: record, folder: folder, run: run, gangs: &gangs{members: map[string]*gang{}}, late: options.late,
		ledger: newLedger(record, gpuMax, time.Duration(options.cancelS*float64(time.Second))),
		state:  simulator.NewStateService(),
		user:   &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.state.SetLimits(options.stateLimits)
	s.cloud = &cloud{options: options, start: time.Now(), workers: map[string]*worker{}, hires: map[string][]string{}, add: s.addWorker}
	cloudAddr, err := s.serve(s.cloud)
	if err != nil {
		return nil, err
	}
	limit := &requestLimit{perSecond: 150, tokens: 150, at: time.Now()}
	for i := range max(options.nodes, len(options.zones)) {
		front := &stateFront{service: s.state, limit: limit, strict: options.strict}
		stateAddr, err := s.serve(front)
		if err != nil {
			return nil, err
		}
		proxy, err := newProxy(stateAddr)
		if err != nil {
			return nil, err
		}
		listen, err := freeAddr()
		if err != nil {
			return nil, err
		}
		mesh, err := freeAddr()
		if err != nil {
			return nil, err
		}
		meshProxy, err := newProxy(mesh)
		if err != nil {
			return nil, err
		}
		workersProxy, err := newProxy(listen)
		if err != nil {
			return nil, err
		}
		label := fmt.Sprintf("rig-%d", i)
		s.nodes = append(s.nodes, &node{
			label: label, site: options.zones[i%len(options.zones)], listen: listen, mesh: mesh, stateProxy: proxy, state: front, meshProxy: meshProxy, workersProxy: workersProxy,
			config: filepath.Join(folder, label+".toml"), log: filepath.Join(folder, label+".log"),
		})
	}
	for _, n := range s.nodes {
		if err := os.WriteFile(n.config, []byte(s.settings(n, cloudAddr)), 0o600); err != nil {
			return nil, err
		}
	}
	for i := range options.machines {
		s.cloud.mu.Lock()
		_, err := s.addWorker(options.zones[i%len(options.zones)])
		s.cloud.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
	for _, n := range s.nodes {
		if err := s.startNode(n); err != nil {
			s.stop() // ends those that were started
			return nil, err
		}
	}
	return s, nil
}

// freeAddr returns a free loopback address below the ports that outgoing connections use, so that
// none of them takes it before its process listens.
func freeAddr() (string, error) {
	for range 200 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if taken[addr] {
			continue
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		taken[addr] = true
		return addr, listener.Close()
	}
	return "", errors.New("no free port")
}

var taken = map[string]bool{}

func (s *site) serve(handler http.Handler) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *site) settings(n *node, cloudAddr string) string {
	var b strings.Builder
	o := s.options
	fmt.Fprintf(&b, "label = %q\nsite = %q\nlisten = %q\nmesh_addr = %q\n", n.label, n.site, n.listen, n.mesh)
	for _, other := range s.nodes {
		if other != n {
			fmt.Fprintf(&b, "[[known]]\nlabel = %q\nsite = %q\naddr = %q\n", other.label, other.site, other.meshProxy.addr)
		}
	}
	fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n", cloudAddr, n.stateProxy.addr)
	zones, _ := json.Marshal(o.zones)
	fmt.Fprintf(&b, "[params]\ncount = %d\nzones = %s\nclock_off_ms = 25.0\n", len(s.nodes), zones)
	for _, t := range o.teams {
		fmt.Fprintf(&b, "[[params.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = %.1f\ngpus_max = %.1f\n", t.name, t.gpus, t.gpuMax)
	}
	fmt.Fprintf(&b, "[params.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n",
		o.workers.report.Seconds(), o.workers.lease.Seconds(), o.gangWaitS, o.gangPeerS, o.cancelS)
	fmt.Fprintf(&b, "[params.state]\n%s\n[params.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n[params.machine_limits]\n%s\n", o.state, o.cloudRPS, o.listLagS, o.machineLimits)
	return b.String()
}

// addWorker adds a machine that is up at once. The caller holds s.cloud.mu.
func (s *site) addWorker(hall string) (name string, err error) {
	i := len(s.cloud.order)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	m := s.options.machine
	w := &worker{
		name: fmt.Sprintf("m-%06d", i), endpoint: listener.Addr().String(), rigType: m.name, hall: hall,
		cpus: m.cpus, gpus: m.gpus, ram: m.ram, pullGBPerS: m.pullGBPerS, times: s.options.workers,
		labels: map[string]int{}, ledger: s.ledger, record: s.record, client: &http.Client{Transport: &http.Transport{}},
		done: make(chan struct{}), shift: 1, pieces: map[pieceKey]*pieceState{}, images: map[string]time.Time{}, nodeIndex: i, gangs: s.gangs, late: s.late,
	}
	for index, n := range s.nodes {
		w.nodes = append(w.nodes, n.workersProxy.addr)
		w.labels[n.label] = index
	}
	s.ledger.mu.Lock()
	s.ledger.halls[w.name] = hall
	s.ledger.mu.Unlock()
	s.cloud.workers[w.name] = w
	s.cloud.order = append(s.cloud.order, w.name)
	if s.options.strict && i >= s.options.machines {
		switch rand.IntN(20) {
		case 0: // never comes up
			go func() { <-w.done }()
			w.server = &http.Server{}
			return w.name, nil
		default:
			w.server = &http.Server{}
			time.AfterFunc(time.Duration(2+rand.IntN(20))*time.Second, func() {
				w.mu.Lock()
				select {
				case <-w.done:
					w.mu.Unlock()
					return
				default:
				}
				w.mu.Unlock()
				w.run(listener)
			})
			return w.name, nil
		}
	}
	w.run(listener)
	return w.name, nil
}

// startNode starts a controller with the deploy file's command. Like the platform it starts it
// again after a while whenever it ends.
func (s *site) startNode(n *node) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return errCantRun
	}
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(s.run[0], append(append([]string{}, s.run[1:]...), n.config)...)
	cmd.Stderr, cmd.Stdout = log, log
	if level := os.Getenv("LOG_LEVEL"); level == "" {
		cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	n.starts++
	s.record.log("%s started", n.label)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if !stopped {
			s.record.log("%s ended", n.label)
			time.Sleep(s.options.restart)
			_ = s.startNode(n)
		}
	}()
	return nil
}

func (n *node) signal(sig syscall.Signal) { _ = n.cmd.Process.Signal(sig) }

// leader returns the node that holds the lease, or nil.
func (s *site) leader() *node {
	var lead struct {
		Label string `json:"label"`
	}
	if json.Unmarshal(s.state.Get("term/lead"), &lead) != nil {
		return nil
	}
	for _, n := range s.nodes {
		if n.label == lead.Label {
			return n
		}
	}
	return nil
}

// worker returns a machine's worker, or nil.
func (s *site) worker(name string) *worker {
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	return s.cloud.workers[name]
}

// term returns the newest term.
func (s *site) term() int {
	var number struct {
		Term int `json:"term"`
	}
	_ = json.Unmarshal(s.state.Get("term/number"), &number)
	return number.Term
}

func (s *site) stop() {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	s.stopped = true
	var ended []chan struct{}
	for _, n := range s.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			ended = append(ended, n.ended)
		}
	}
	s.mu.Unlock()
	for _, e := range ended {
		<-e
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs in", s.folder)
	}
}

// answer is what a user was told.
type answer struct {
	ID     string `json:"nameId"`
	Status string `json:"status"`
	Done   int    `json:"done"`
}

// call makes a user's request to one node.
func (s *site) call(n *node, method, path string, body any, timeout time.Duration) (status int, a answer) {
	var reader io.Reader
	if body != nil {
		raw, _ := json.Marshal(body)
		reader = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.listen+path, reader)
	if err != nil {
		return 0, a
	}
	response, err := s.user.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		raw, _ := io.ReadAll(response.Body)
		status = response.StatusCode
		_ = json.Unmarshal(raw, &a)
	}
	s.record.trace("%s %s to %s: %d %s", method, path, n.label, status, a.Status)
	return status, a
}

// repeat makes a user's request, node after node, until it is answered with 200 or 201 or the
// time is over.
func (s *site) repeat(method, path string, body any, within time.Duration) (a answer, ok bool) {
	for end, i := time.Now().Add(within), 0; time.Now().Before(end); i++ {
		status, a := s.call(s.nodes[i%len(s.nodes)], method, path, body, 5*time.Second)
		if status == http.StatusOK || status == http.StatusCreated {
			return a, true
		}
		time.Sleep(time.Second)
	}
	return a, false
}

func (s *site) submit(job *spec) error {
	s.ledger.addSpec(job)
	if _, ok := s.repeat("POST", "/work", job, 60*time.Second); !ok {
		return fmt.Errorf("%w: %s was not accepted", errCantRun, job.ID)
	}
	s.record.log("%s accepted", job.ID)
	return nil
}

func (s *site) cancel(id string) error {
	a, ok := s.repeat("POST", "/work/"+id+"/cancel", struct{}{}, 60*time.Second)
	if !ok || a.Status != "aborted" {
		return fmt.Errorf("%w: %s was not cancelled: %s", errCantRun, id, a.Status)
	}
	s.ledger.toldCancelled(id)
	s.record.log("user told that %s is cancelled", id)
	return nil
}

// await waits until a condition holds.
func (s *site) await(what string, within time.Duration, holds func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			s.record.log("%s", what)
			return nil
		}
	}
	return fmt.Errorf("%w: not within %v: %s", errCantRun, within, what)
}
