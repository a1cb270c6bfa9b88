package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The stand-in of a machine's worker, as PROTOCOL describes it. It runs independent tasks only,
// no gangs. All its state is guarded by mu.
type worker struct {
	s                          *site
	name, endpoint, kind, hall string
	loaners                    bool
	// interval returns the time to the next regular report.
	interval func() time.Duration

	mu         sync.Mutex
	shift      uint64
	tick       uint64
	warrant    uint64
	leaseStart time.Time
	node       int // index of the node that it reports to
	tasks      map[string]*task
	bundles    map[string]bool
	changed    chan struct{}
	tokenTold  time.Time
	server     *http.Server
	stop       context.CancelFunc
	// servedBy is the node that sent the last accepted 200, with its token.
	servedBy      string
	servedWarrant uint64
	// onReply, if set, is called after each accepted 200.
	onReply func(node string, sentAt time.Time, orders []order)
}

type task struct {
	piece   string
	try     uint64
	status  string
	cause   string
	saved   bool
	ready   time.Time // when the image is there
	started time.Time
	ends    time.Time
	stopped bool // a stop order has arrived
	spec    *spec
}

type order struct {
	Verb      string   `json:"verb"`
	Piece     string   `json:"piece"`
	Try       uint64   `json:"try"`
	WindDownS *float64 `json:"windDownS"`
}

type pieceReport struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Saved  bool   `json:"saved,omitempty"`
}

func key(piece string, try uint64) string { return fmt.Sprintf("%s@%d", piece, try) }

func newWorker(s *site, name, kind, hall string, loaners bool, firstNode int) (*worker, error) {
	listener, err := net.Listen("tcp", s.host+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		s: s, name: name, endpoint: listener.Addr().String(), kind: kind, hall: hall, loaners: loaners,
		shift: 1, leaseStart: time.Now(), node: firstNode, tasks: map[string]*task{}, bundles: map[string]bool{},
		changed: make(chan struct{}, 1),
	}
	w.interval = func() time.Duration {
		return time.Duration(s.reportS * (0.75 + rand.Float64()/2) * float64(time.Second))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.serveCommands)
	mux.HandleFunc("GET /status", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		writeJSON(rw, 200, w.report())
	})
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *worker) start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.runTasks(ctx)
	go w.sendReports(ctx)
}

// kill ends the machine with all that is on it. It returns the tasks that were running.
func (w *worker) kill() (running []string) {
	if w.stop != nil {
		w.stop()
	}
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.status == "running" && !t.stopped {
			running = append(running, t.piece)
		}
	}
	w.tasks = map[string]*task{}
	return running
}

func (w *worker) change() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// report returns the next report. The caller holds mu.
func (w *worker) report() map[string]any {
	w.tick++
	pieces := []pieceReport{}
	for _, t := range w.tasks {
		pieces = append(pieces, pieceReport{t.piece, t.try, t.status, t.cause, t.saved})
	}
	return map[string]any{
		"rig": w.name, "endpoint": w.endpoint, "rigType": w.kind, "hall": w.hall, "loaners": w.loaners,
		"shift": w.shift, "tick": w.tick, "warrant": w.warrant, "recallS": nil, "pieces": pieces,
	}
}

func (w *worker) runTasks(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		now := time.Now()
		if now.Sub(w.leaseStart) > seconds(w.s.leaseS) {
			w.s.log("%s: lease over, %d tasks killed, session %d begins", w.name, len(w.tasks), w.shift+1)
			w.tasks = map[string]*task{}
			w.shift++
			w.leaseStart = now
			w.change()
		}
		for _, t := range w.tasks {
			switch {
			case t.status == "fetching" && now.After(t.ready):
				w.bundles[t.spec.Bundle] = true
				t.status, t.started = "running", now
				t.ends = now.Add(seconds(t.spec.ExpectS))
				w.s.log("%s: task %s attempt %d starts", w.name, t.piece, t.try)
				w.s.taskStarted(w, t)
				w.change()
			case t.status == "running" && now.After(t.ends):
				t.status, t.cause = "exited", "done"
				w.s.log("%s: task %s attempt %d done", w.name, t.piece, t.try)
				w.change()
			}
		}
		w.mu.Unlock()
	}
}

// execute executes orders. The caller holds mu.
func (w *worker) execute(orders []order) {
	for _, o := range orders {
		t := w.tasks[key(o.Piece, o.Try)]
		switch {
		case o.Verb == "run" && t == nil:
			w.run(o)
			w.change()
		case o.Verb == "stop" && t != nil && t.status != "exited":
			// The jobs of the cases save nothing, so a stopped task exits at once.
			t.stopped, t.status, t.cause = true, "exited", "halted"
			w.s.log("%s: task %s attempt %d stopped", w.name, t.piece, t.try)
			w.change()
		case o.Verb == "forget" && t != nil && t.status == "exited":
			delete(w.tasks, key(o.Piece, o.Try))
			w.change()
		}
	}
}

func (w *worker) run(o order) {
	id, _, _ := strings.Cut(o.Piece, "/")
	t := &task{piece: o.Piece, try: o.Try, status: "fetching", spec: w.s.spec(id)}
	w.tasks[key(o.Piece, o.Try)] = t
	if t.spec == nil {
		t.status, t.cause = "exited", "unknown"
		return
	}
	for _, other := range w.tasks {
		if other != t && other.piece == t.piece && other.status != "exited" {
			t.status, t.cause = "exited", "in_use"
			return
		}
	}
	t.ready = time.Now()
	if !w.bundles[t.spec.Bundle] {
		t.ready = t.ready.Add(seconds(t.spec.ImageGb / w.s.pullGbPerS))
	}
}

func (w *worker) serveCommands(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Warrant *uint64 `json:"warrant"`
		Shift   *uint64 `json:"shift"`
		Orders  []order `json:"orders"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Warrant == nil || body.Shift == nil {
		writeJSON(rw, 400, map[string]string{"error": "malformed"})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := 409
	if *body.Warrant >= w.warrant && *body.Shift == w.shift {
		status = 200
		w.raise(*body.Warrant)
		w.execute(body.Orders)
	}
	for _, o := range body.Orders {
		w.s.log("%s: direct command %s %s attempt %d, token %d: %d", w.name, o.Verb, o.Piece, o.Try, *body.Warrant, status)
	}
	writeJSON(rw, status, w.report())
}

// raise stores a token. A higher one counts as a change once per half lease at most.
func (w *worker) raise(warrant uint64) {
	if warrant > w.warrant {
		w.warrant = warrant
		if time.Since(w.tokenTold) > seconds(w.s.leaseS/2) {
			w.tokenTold = time.Now()
			w.change()
		}
	}
}

func (w *worker) sendReports(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 4 * time.Second}).DialContext}, Timeout: 4 * time.Second}
	for ctx.Err() == nil {
		sentAt := time.Now()
		wait := w.sendReport(ctx, client, sentAt)
		if wait < 0 { // the next regular report, or a change
			timer := time.NewTimer(time.Until(sentAt.Add(w.interval())))
			select {
			case <-ctx.Done():
			case <-timer.C:
			case <-w.changed:
				time.Sleep(time.Until(sentAt.Add(500 * time.Millisecond)))
			}
			timer.Stop()
			continue
		}
		time.Sleep(wait)
	}
}

// sendReport sends a report and returns the pause before the next one, to another node, or -1.
func (w *worker) sendReport(ctx context.Context, client *http.Client, sentAt time.Time) time.Duration {
	w.mu.Lock()
	raw, _ := json.Marshal(w.report())
	shift, node := w.shift, w.s.nodes[w.node]
	w.mu.Unlock()
	request, _ := http.NewRequestWithContext(ctx, "POST", "http://"+node.listen+"/hello", bytes.NewReader(raw))
	response, err := client.Do(request)
	var body []byte
	status := 0
	if err == nil {
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		status = 0
	}
	switch status {
	case 200:
		var reply struct {
			Warrant uint64  `json:"warrant"`
			Orders  []order `json:"orders"`
		}
		if json.Unmarshal(body, &reply) != nil || reply.Warrant < w.warrant || shift != w.shift {
			w.s.log("%s: dropped a 200 of %s with token %d, has %d", w.name, node.label, reply.Warrant, w.warrant)
			return -1
		}
		w.raise(reply.Warrant)
		w.leaseStart = sentAt
		if w.servedBy != node.label || w.servedWarrant != reply.Warrant {
			w.s.log("%s: served by %s, token %d", w.name, node.label, reply.Warrant)
		}
		w.servedBy, w.servedWarrant = node.label, reply.Warrant
		for _, o := range reply.Orders {
			w.s.log("%s: %s answers the report sent at %s with %s %s attempt %d, token %d", w.name, node.label, w.s.stamp(sentAt), o.Verb, o.Piece, o.Try, reply.Warrant)
		}
		w.execute(reply.Orders)
		if w.onReply != nil {
			w.onReply(node.label, sentAt, reply.Orders)
		}
		return -1
	case 421:
		var reply struct {
			Foreman string `json:"foreman"`
		}
		_ = json.Unmarshal(body, &reply)
		for i, other := range w.s.nodes {
			if other.label == reply.Foreman && i != w.node {
				w.node = i
				return 50 * time.Millisecond
			}
		}
	}
	w.node = (w.node + 1) % len(w.s.nodes)
	return time.Second
}
