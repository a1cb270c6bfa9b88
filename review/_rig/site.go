package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"thornnotch/internal/simulator"
)

// site is a small deployment on loopback: the state service (the project's own stand-in), the
// cloud and the workers. Each controller has its own address of the state service and of the
// cloud, so that the stand-ins know who asks, and can refuse one controller alone.
type site struct {
	controllers                 int
	nodes                       []*nodeInfo
	reportS, leaseS, pullGbPerS float64
	readyS, listLagS            float64
	kind                        string
	cpus, gpus, ramGb           float64
	halls                       []string
	began                       time.Time
	host                        string
	state                       *simulator.StateService

	recordMu sync.Mutex
	record   *os.File

	mu    sync.Mutex // guards cloud; taken before a worker's
	cloud cloud

	jobsMu sync.Mutex // guards the fields below
	specs  map[string]*spec
	// starts lists the starts of tasks.
	starts []startEvent
}

type startEvent struct {
	at                time.Time
	piece, rig, hall  string
	by                string // the node whose reply the worker accepted last
	try, warrantGiven uint64
}

type nodeInfo struct {
	label, hall, listen, mesh, state, cloud string

	cutMu sync.Mutex
	// healed is closed at the end of a cut from the state service; nil while there is none.
	healed chan struct{}
}

// cutFromState cuts the node from the state service until heal is called. What either side sends
// meanwhile is kept and delivered afterwards, as PROTOCOL has it under "Delayed messages".
func (n *nodeInfo) cutFromState() (heal func()) {
	n.cutMu.Lock()
	defer n.cutMu.Unlock()
	healed := make(chan struct{})
	n.healed = healed
	return func() { close(healed) }
}

// awaitHealing returns at once if there is no cut, and otherwise at its end.
func (n *nodeInfo) awaitHealing() {
	n.cutMu.Lock()
	healed := n.healed
	n.cutMu.Unlock()
	if healed != nil {
		<-healed
	}
}

// serveState passes a node's request on to the state service, and keeps request and answer back
// while the node is cut off.
func (s *site) serveState(w http.ResponseWriter, r *http.Request, node *nodeInfo) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	node.awaitHealing()
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.RemoteAddr = node.label
	answer := httptest.NewRecorder()
	s.state.ServeHTTP(answer, r)
	node.awaitHealing()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

type spec struct {
	NameID  string  `json:"nameId"`
	Bundle  string  `json:"bundle"`
	ImageGb float64 `json:"imageGb"`
	ExpectS float64 `json:"expectS"`
	Hall    *string `json:"hall"`
	Loaners bool    `json:"loaners"`
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s *site) stamp(at time.Time) string { return fmt.Sprintf("%.2f", at.Sub(s.began).Seconds()) }

func (s *site) log(format string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%7.2f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// spec returns the description of a job that a user has uploaded, or nil.
func (s *site) spec(id string) *spec {
	s.jobsMu.Lock()
	defer s.jobsMu.Unlock()
	return s.specs[id]
}

func (s *site) taskStarted(w *worker, t *task) {
	s.jobsMu.Lock()
	defer s.jobsMu.Unlock()
	s.starts = append(s.starts, startEvent{time.Now(), t.piece, w.name, w.hall, w.servedBy, t.try, w.servedWarrant})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *site) listen(handler http.Handler) (addr string) {
	listener, err := net.Listen("tcp", s.host+":0")
	check(err)
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

// freePort returns a free address. The host is an address of the loopback range that is drawn for
// this run, so that other runs and outgoing connections don't take the port.
func (s *site) freePort() string {
	listener, err := net.Listen("tcp", s.host+":0")
	check(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// addNodes prepares the addresses of the controllers and writes their settings.
func (s *site) addNodes(dir, params string) {
	for i := range s.controllers {
		node := &nodeInfo{label: fmt.Sprintf("rig-%d", i), hall: s.halls[i%len(s.halls)], listen: s.freePort(), mesh: s.freePort()}
		node.state = s.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.serveState(w, r, node)
		}))
		node.cloud = s.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serveCloud(w, r, node.label) }))
		s.nodes = append(s.nodes, node)
	}
	for i, node := range s.nodes {
		var text strings.Builder
		fmt.Fprintf(&text, "label = %q\nsite = %q\nlisten = %q\nmesh_addr = %q\n", node.label, node.hall, node.listen, node.mesh)
		for _, other := range s.nodes {
			if other != node {
				fmt.Fprintf(&text, "[[known]]\nlabel = %q\nsite = %q\naddr = %q\n", other.label, other.hall, other.mesh)
			}
		}
		fmt.Fprintf(&text, "[services]\ncloud = %q\nstate = %q\n%s", node.cloud, node.state, params)
		check(os.WriteFile(filepath.Join(dir, fmt.Sprintf("node-%d.toml", i)), []byte(text.String()), 0o600))
	}
}

// cloud is the stand-in of the cloud. Its list lags by list_lag_s.
type cloud struct {
	rigs     map[string]*rented
	requests map[string][]string
	next     int
	capacity int
	// bootS returns how long the next machine takes to boot.
	bootS func(number int) float64
	// firstNode returns the index of the node that the next machine's worker reports to first.
	firstNode   func(number int) int
	returned    []returnEvent
	firstRent   time.Time
	firstRenter string
}

type rented struct {
	name, hall     string
	loaners        bool
	at, upAt, gone time.Time
	w              *worker
}

type returnEvent struct {
	at          time.Time
	caller, rig string
	running     []string
	servedBy    string
	warrant     uint64
}

func (s *site) serveCloud(w http.ResponseWriter, r *http.Request, caller string) {
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		writeJSON(w, 200, map[string]any{"rigTypes": []any{map[string]any{
			"sku": s.kind, "vcpus": s.cpus, "accelerators": s.gpus, "ramGb": s.ramGb, "cacheGb": 80.0,
			"pullGbPerS": s.pullGbPerS, "rate": 13.2, "marketPrice": 6.21, "readyS": s.readyS, "halls": s.halls,
		}}})
	case "POST /hosts":
		s.rent(w, r, caller)
	case "POST /hosts/return":
		s.giveBack(w, r, caller)
	case "GET /hosts":
		s.list(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *site) rent(w http.ResponseWriter, r *http.Request, caller string) {
	var request struct {
		Hire, RigType, Hall string
		Loaners             bool
		Count               int
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Hire == "" {
		writeJSON(w, 400, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if names, known := s.cloud.requests[request.Hire]; known {
		writeJSON(w, 200, map[string]any{"rigs": names})
		return
	}
	names := []string{}
	for len(names) < min(request.Count, 50) && s.cloud.capacity > 0 {
		s.cloud.capacity--
		names = append(names, s.addRig(request.Hall, request.Loaners))
	}
	if len(names) == 0 {
		writeJSON(w, 503, map[string]string{"error": "no capacity"})
		return
	}
	if s.cloud.firstRent.IsZero() {
		s.cloud.firstRent, s.cloud.firstRenter = time.Now(), caller
	}
	s.log("cloud: %s rents %s, gets %v", caller, request.Hire, names)
	s.cloud.requests[request.Hire] = names
	writeJSON(w, 200, map[string]any{"rigs": names})
}

// addRig rents out a machine, which boots. The caller holds mu.
func (s *site) addRig(hall string, loaners bool) string {
	number := s.cloud.next
	s.cloud.next++
	name := fmt.Sprintf("m-%06d", number+1)
	worker, err := newWorker(s, name, s.kind, hall, loaners, s.cloud.firstNode(number))
	check(err)
	boot := seconds(s.cloud.bootS(number))
	rig := &rented{name: name, hall: hall, loaners: loaners, at: time.Now(), upAt: time.Now().Add(boot), w: worker}
	s.cloud.rigs[name] = rig
	time.AfterFunc(boot, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if rig.gone.IsZero() {
			s.log("%s: up", name)
			worker.mu.Lock()
			worker.leaseStart = time.Now()
			worker.mu.Unlock()
			worker.start()
		}
	})
	return name
}

func (s *site) giveBack(w http.ResponseWriter, r *http.Request, caller string) {
	var request struct{ Rigs []string }
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Rigs) > 100 {
		writeJSON(w, 400, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range request.Rigs {
		rig := s.cloud.rigs[name]
		if rig == nil || !rig.gone.IsZero() {
			continue
		}
		rig.gone = time.Now()
		s.cloud.capacity++
		running := rig.w.kill()
		sort.Strings(running)
		s.log("cloud: %s returns %s; running on it: %v; its worker is served by %q, token %d", caller, name, running, rig.w.servedBy, rig.w.servedWarrant)
		s.cloud.returned = append(s.cloud.returned, returnEvent{at: rig.gone, caller: caller, rig: name, running: running, servedBy: rig.w.servedBy, warrant: rig.w.servedWarrant})
	}
	writeJSON(w, 200, map[string]any{})
}

func (s *site) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-seconds(s.listLagS))
	rows := []map[string]any{}
	var names []string
	for name, rig := range s.cloud.rigs {
		if name > r.URL.Query().Get("from") && !rig.at.After(asOf) && (rig.gone.IsZero() || rig.gone.After(asOf)) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		rig := s.cloud.rigs[name]
		status := "starting"
		if !rig.upAt.After(asOf) {
			status = "running"
		}
		rows = append(rows, map[string]any{
			"nameId": name, "endpoint": rig.w.endpoint, "rigType": s.kind, "hall": rig.hall, "loaners": rig.loaners,
			"status": status, "heldS": asOf.Sub(rig.at).Seconds(),
		})
	}
	writeJSON(w, 200, map[string]any{"rigs": rows, "hasNext": false})
}

// user sends a user's request to a node and records it with the answer.
func (s *site) user(node *nodeInfo, method, path string, body []byte) (status int, answer string) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if method == "GET" {
		client.Timeout = 2 * time.Second
	}
	request, err := http.NewRequest(method, "http://"+node.listen+path, strings.NewReader(string(body)))
	check(err)
	response, err := client.Do(request)
	if err != nil {
		s.log("user: %s %s at %s: no answer (%v)", method, path, node.label, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	s.log("user: %s %s %s at %s: %d %s", method, path, body, node.label, response.StatusCode, strings.TrimSpace(string(raw)))
	return response.StatusCode, string(raw)
}

// upload makes a job's description known to the workers, as its user does.
func (s *site) upload(raw []byte) {
	var job spec
	check(json.Unmarshal(raw, &job))
	s.jobsMu.Lock()
	defer s.jobsMu.Unlock()
	s.specs[job.NameID] = &job
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(2)
	}
}
