package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The stand-in of a worker, by the protocol's "Workers -> controller nodes" and "Controller nodes
// -> workers".

type pieceReport struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Saved  bool   `json:"saved,omitempty"`
}

type hello struct {
	Rig      string        `json:"rig"`
	Endpoint string        `json:"endpoint"`
	RigType  string        `json:"rigType"`
	Hall     string        `json:"hall"`
	Loaners  bool          `json:"loaners"`
	Shift    uint64        `json:"shift"`
	Tick     uint64        `json:"tick"`
	Warrant  uint64        `json:"warrant"`
	RecallS  *float64      `json:"recallS"`
	Pieces   []pieceReport `json:"pieces"`
}

type order struct {
	Verb      string   `json:"verb"`
	Piece     string   `json:"piece"`
	Try       uint64   `json:"try"`
	WindDownS *float64 `json:"windDownS"`
}

type orders struct {
	Warrant *uint64 `json:"warrant"`
	Shift   *uint64 `json:"shift"`
	Orders  []order `json:"orders"`
}

type pieceKey struct {
	piece string
	try   uint64
}

type pieceState struct {
	pieceReport
	spec  *spec
	since time.Time
}

type workerTimes struct{ report, lease time.Duration }

// gangWait and gangPeer are set for sites that run gangs.
var gangWait, gangPeer = 35 * time.Second, 8 * time.Second

type worker struct {
	name, endpoint, rigType, hall string
	cpus, gpus, ram, pullGBPerS   float64
	times                         workerTimes
	nodes                         []string // addresses
	labels                        map[string]int
	ledger                        *ledger
	record                        *record
	client                        *http.Client
	done                          chan struct{}
	server                        *http.Server

	mu           sync.Mutex
	shift, tick  uint64
	warrant      uint64
	leaseStart   time.Time
	pieces       map[pieceKey]*pieceState
	images       map[string]time.Time // when each image is there
	nodeIndex    int
	sending      bool
	changed      bool
	nextReport   time.Time // the regular one
	notBefore    time.Time // after a failure or a redirect
	lastReport   time.Time
	tokenChanged time.Time
	cutIn        bool // answers and commands do not arrive
	cutOut       bool // reports do not arrive
	hanging      bool
	recall       time.Time                        // when the cloud takes the machine; zero: never
	late         func(report hello) time.Duration // delay of a copy of a report; 0: none
	gangs        *gangs
}

// gangs lets the tasks of a gang find one another.
type gangs struct {
	mu      sync.Mutex
	members map[string]*gang // by job and try
}

type gang struct {
	here    map[string]bool
	started time.Time // zero until all tasks were there
	done    bool
	broken  time.Time // when a task of the running gang disappeared
	stopped time.Time // progress ends with the first stop
}

func (g *gangs) of(piece *pieceState) *gang {
	key := piece.spec.ID + "#" + strconv.FormatUint(piece.Try, 10)
	if g.members[key] == nil {
		g.members[key] = &gang{here: map[string]bool{}}
	}
	return g.members[key]
}

// enter and leave are called when a task gets its image and when it ends.
func (g *gangs) enter(piece *pieceState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	of := g.of(piece)
	of.here[piece.Piece] = true
	if len(of.here) == piece.spec.Pieces && of.started.IsZero() {
		of.started = time.Now()
	}
}

func (g *gangs) leave(piece *pieceState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	of := g.of(piece)
	delete(of.here, piece.Piece)
	if !of.started.IsZero() && !of.done && of.broken.IsZero() {
		of.broken = time.Now()
	}
}

func (g *gangs) look(piece *pieceState) (of gang) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.of(piece)
	if !p.started.IsZero() && p.broken.IsZero() && p.stopped.IsZero() && time.Since(p.started).Seconds() >= piece.spec.runS {
		p.done = true
	}
	return *p
}

func (w *worker) run(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.serveCommands)
	mux.HandleFunc("GET /status", func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		report := w.report()
		w.mu.Unlock()
		writeJSON(rw, http.StatusOK, report)
	})
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	w.mu.Lock()
	w.leaseStart, w.nextReport = time.Now(), time.Now().Add(rand.N(w.times.report))
	w.mu.Unlock()
	go func() {
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-w.done:
				return
			case <-tick.C:
				w.step(time.Now())
			}
		}
	}()
}

func (w *worker) setCut(in, out bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutIn, w.cutOut = in, out
}

// quiet reports whether no report is on its way, none was just sent and none is due within a
// second.
func (w *worker) quiet() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return !w.sending && !w.changed && now.Sub(w.lastReport) > 600*time.Millisecond && w.nextReport.Sub(now) > time.Second
}

// next returns the time until the next regular report, and whether a report is on its way.
func (w *worker) next() (in time.Duration, sending bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.nextReport), w.sending || w.changed
}

// finish completes the job's tasks that run on the machine: they had as long to run.
func (w *worker) finish(job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, piece := range w.pieces {
		if piece.Status == "running" && piece.spec.ID == job {
			w.exit(piece, "done", time.Now())
		}
	}
}

// step lets time pass: the lease, the tasks and the next report.
func (w *worker) step(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hanging {
		for _, piece := range w.pieces {
			piece.since = piece.since.Add(20 * time.Millisecond)
		}
		if now.Sub(w.leaseStart) <= w.times.lease {
			return
		}
	}
	if now.Sub(w.leaseStart) > w.times.lease {
		w.record.trace("lease of %s expired, session %d", w.name, w.shift+1)
		for key, piece := range w.pieces {
			if piece.Status != "exited" {
				w.left(piece)
				w.ledger.end(w.name, piece.Piece, "lease expired")
			}
			delete(w.pieces, key)
		}
		w.shift++
		w.leaseStart, w.changed = now, true
	}
	for _, piece := range w.pieces {
		switch piece.Status {
		case "fetching":
			if there, ok := w.images[piece.spec.Bundle]; ok && !now.Before(there) {
				w.ledger.start(w.name, piece.Piece, piece.Try, piece.spec)
				if piece.spec.Shape == "gang" {
					w.gangs.enter(piece)
					w.set(piece, "waiting", now)
				} else {
					w.set(piece, "running", now)
				}
			}
		case "waiting":
			switch {
			case !w.gangs.look(piece).started.IsZero():
				w.set(piece, "running", now)
			case now.Sub(piece.since) > gangWait:
				w.exit(piece, "alone", now)
			}
		case "running":
			if piece.spec.Shape == "gang" {
				if of := w.gangs.look(piece); of.done {
					w.exit(piece, "done", now)
				} else if !of.broken.IsZero() && now.Sub(of.broken) > gangPeer/2 {
					w.exit(piece, "mates_gone", now)
				}
				continue
			}
			if now.Sub(piece.since).Seconds() >= piece.spec.runS {
				w.exit(piece, "done", now)
			}
		case "saving":
			if now.Sub(piece.since).Seconds() >= piece.spec.StashS {
				piece.Saved = true
				w.exit(piece, "halted", now)
			}
		}
	}
	due := !now.Before(w.nextReport) || w.changed && now.Sub(w.lastReport) >= 500*time.Millisecond
	if w.sending || !due || now.Before(w.notBefore) {
		return
	}
	w.sending, w.changed, w.lastReport = true, false, now
	w.nextReport = now.Add(time.Duration(float64(w.times.report) * (0.75 + rand.Float64()/2)))
	go w.send(w.report(), now, w.nodes[w.nodeIndex%len(w.nodes)])
}

func (w *worker) set(piece *pieceState, status string, now time.Time) {
	piece.Status, piece.since, w.changed = status, now, true
}

func (w *worker) exit(piece *pieceState, cause string, now time.Time) {
	if piece.Status == "running" || piece.Status == "saving" || piece.Status == "waiting" {
		w.left(piece)
		w.ledger.end(w.name, piece.Piece, cause)
	}
	piece.Cause = cause
	w.set(piece, "exited", now)
}

// left tells the other tasks of a gang that this one ends.
func (w *worker) left(piece *pieceState) {
	if piece.spec != nil && piece.spec.Shape == "gang" && piece.Status != "fetching" {
		w.gangs.leave(piece)
	}
}

func (w *worker) report() hello {
	w.tick++
	report := hello{Rig: w.name, Endpoint: w.endpoint, RigType: w.rigType, Hall: w.hall, Shift: w.shift, Tick: w.tick, Warrant: w.warrant, Pieces: []pieceReport{}}
	for _, piece := range w.pieces {
		report.Pieces = append(report.Pieces, piece.pieceReport)
	}
	if !w.recall.IsZero() {
		left := max(time.Until(w.recall).Seconds(), 0)
		report.RecallS = &left
	}
	sort.Slice(report.Pieces, func(i, j int) bool { return report.Pieces[i].Piece < report.Pieces[j].Piece })
	return report
}

// send sends a report and handles the response.
func (w *worker) send(report hello, sentAt time.Time, node string) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	w.mu.Lock()
	cutOut, late := w.cutOut || w.hanging, w.late
	w.mu.Unlock()
	if late != nil {
		if delay := late(report); delay > 0 {
			go w.sendCopy(report, delay)
		}
	}
	status, body := 0, []byte(nil)
	if cutOut {
		<-ctx.Done()
	} else {
		status, body = w.post(ctx, node, report)
	}
	w.mu.Lock()
	cutIn := w.cutIn || w.hanging
	w.mu.Unlock()
	if cutIn {
		<-ctx.Done() // nothing arrives: the worker waits for its time-out
		status = 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sending = false
	now := time.Now()
	switch status {
	case http.StatusOK:
		w.handleOrders(body, report.Shift, sentAt, now)
	case http.StatusMisdirectedRequest:
		var redirect struct {
			Foreman string `json:"foreman"`
		}
		_ = json.Unmarshal(body, &redirect)
		if index, ok := w.labels[redirect.Foreman]; ok && w.nodes[index] != node {
			w.nodeIndex, w.notBefore, w.nextReport = index, now.Add(rand.N(500*time.Millisecond)), now
			return
		}
		w.nodeIndex++
		w.notBefore, w.nextReport = now.Add(time.Second), now
	default:
		w.nodeIndex++
		w.notBefore, w.nextReport = now.Add(time.Second), now
	}
}

// sendCopy delivers a late copy of a report to each node; nobody waits for the answers.
func (w *worker) sendCopy(report hello, delay time.Duration) {
	select {
	case <-w.done:
		return
	case <-time.After(delay):
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	for _, node := range w.nodes {
		status, _ := w.post(ctx, node, report)
		w.record.trace("late copy of report %d/%d of %s: %d", report.Shift, report.Tick, w.name, status)
	}
}

func (w *worker) handleOrders(body []byte, shift uint64, sentAt, now time.Time) {
	var batch orders
	if json.Unmarshal(body, &batch) != nil || batch.Warrant == nil || *batch.Warrant < w.warrant || shift != w.shift {
		return
	}
	w.leaseStart = sentAt
	w.seeToken(*batch.Warrant, now)
	w.execute(batch.Orders, sentAt, now)
}

func (w *worker) seeToken(token uint64, now time.Time) {
	if token > w.warrant {
		w.warrant = token
		if now.Sub(w.tokenChanged) > w.times.lease/2 {
			w.tokenChanged, w.changed = now, true
		}
	}
}

// execute executes commands; sentAt is when the report was sent that they answer, or zero.
func (w *worker) execute(list []order, sentAt, now time.Time) {
	for _, o := range list {
		key := pieceKey{o.Piece, o.Try}
		piece := w.pieces[key]
		w.record.trace("%s executes %s %s try %d", w.name, o.Verb, o.Piece, o.Try)
		switch o.Verb {
		case "run":
			w.ledger.ordered(w.name, o.Piece, sentAt)
			if piece == nil {
				w.startPiece(key, now)
			}
		case "stop":
			if piece != nil && piece.Status != "exited" {
				w.stopPiece(piece, o.WindDownS, now)
			}
		case "forget":
			if piece != nil && piece.Status == "exited" {
				delete(w.pieces, key)
			}
		}
	}
}

func (w *worker) startPiece(key pieceKey, now time.Time) {
	job, index, _ := strings.Cut(key.piece, "/")
	number, err := strconv.Atoi(index)
	piece := &pieceState{pieceReport: pieceReport{Piece: key.piece, Try: key.try, Status: "fetching"}, spec: w.ledger.spec(job), since: now}
	used := spec{}
	inUse := false
	for _, other := range w.pieces {
		if other.Status != "exited" {
			used.CPUs, used.GPUs, used.RAM = used.CPUs+other.spec.CPUs, used.GPUs+other.spec.GPUs, used.RAM+other.spec.RAM
			inUse = inUse || other.Piece == key.piece
		}
	}
	w.pieces[key] = piece
	w.changed = true
	switch {
	case err != nil || piece.spec == nil || number >= piece.spec.Pieces:
		piece.Status, piece.Cause = "exited", "unknown"
	case inUse:
		piece.Status, piece.Cause = "exited", "in_use"
	case used.CPUs+piece.spec.CPUs > w.cpus+1e-6 || used.GPUs+piece.spec.GPUs > w.gpus+1e-6 || used.RAM+piece.spec.RAM > w.ram+1e-6:
		piece.Status, piece.Cause = "exited", "full"
	default:
		if _, ok := w.images[piece.spec.Bundle]; !ok {
			w.images[piece.spec.Bundle] = now.Add(time.Duration(piece.spec.ImageGB / w.pullGBPerS * float64(time.Second)))
		}
	}
}

func (w *worker) stopPiece(piece *pieceState, windDownS *float64, now time.Time) {
	grace := 0.0
	if windDownS != nil {
		grace = *windDownS
	}
	switch {
	case piece.Status == "running" && piece.spec.SnapshotS > 0 && grace >= piece.spec.StashS:
		w.set(piece, "saving", now)
		if piece.spec.Shape == "gang" {
			w.gangs.mu.Lock()
			if of := w.gangs.of(piece); of.stopped.IsZero() {
				of.stopped = now
			}
			w.gangs.mu.Unlock()
		}
	case piece.Status == "saving" && grace > 0:
	default:
		w.exit(piece, "halted", now)
	}
}

func (w *worker) unreachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutIn || w.hanging
}

func (w *worker) serveCommands(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for w.unreachable() { // held until the cut or the hang is over, also if the sender has given up
		select {
		case <-w.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	var batch orders
	if json.Unmarshal(body, &batch) != nil || batch.Warrant == nil || batch.Shift == nil {
		writeJSON(rw, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	w.mu.Lock()
	status := http.StatusConflict
	if *batch.Warrant >= w.warrant && *batch.Shift == w.shift {
		status = http.StatusOK
		w.seeToken(*batch.Warrant, time.Now())
		w.execute(batch.Orders, time.Time{}, time.Now())
	}
	report := w.report()
	w.mu.Unlock()
	writeJSON(rw, status, report)
}

func (w *worker) post(ctx context.Context, node string, report hello) (status int, body []byte) {
	raw, _ := json.Marshal(report)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/hello", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if body, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}
