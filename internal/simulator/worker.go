package simulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// Endpoint is how a stand-in reaches others and is reached.
type Transport interface {
	Listen(network, addr string) (net.Listener, error)
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// Jobs is what users have uploaded: workers get the descriptions from here.
type Jobs interface {
	Job(id string) (*jobs.Spec, bool)
}

// Judge is told what really happens on machines.
type Observer interface {
	TaskStarted(machine, zone string, spot bool, t workers.TaskID, try uint64, j *jobs.Spec)
	TaskEnded(machine string, t workers.TaskID, try uint64, done bool)
}

// WorkerOptions describe one machine.
type WorkerOptions struct {
	Name, Addr, MachineType, Zone string
	Spot                          bool
	Nodes                         []string          // the controllers' addresses
	NodeByLabel                   map[string]string // address by label, for redirects
	HeartbeatInterval, Lease      time.Duration
	FetchTime                     time.Duration // time to fetch any image
	GangWait                      time.Duration
	// Step is how often the machine looks at its tasks; 0: ten times a second.
	Step time.Duration
	// Copies are delays after which copies of every report arrive once more.
	DuplicateAfter []time.Duration
	// Runs tells how long a task runs; nil: each as long as its job expects.
	RunTime func(j *jobs.Spec, index int) time.Duration
	// Keep is how many of its last reports the machine keeps for Again.
	KeepHeartbeats int
}

type task struct {
	id      workers.AttemptID
	job     *jobs.Spec
	status  workers.TaskStatus
	cause   workers.ExitCause
	saved   bool
	since   time.Time // of the present state
	began   bool
	fails   bool // it was started on a faulty machine
	stopped time.Time
}

// Worker is a machine that runs tasks for their expected time. It follows the
// protocol for tokens, sessions and orders; gangs meet through a Meeting.
type Worker struct {
	opt   WorkerOptions
	end   Transport
	jobs  Jobs
	judge Observer
	meet  *GangRegistry
	http  *http.Client

	mu      sync.Mutex
	shift   uint64
	tick    uint64
	warrant uint64
	leased  time.Time
	tasks   map[workers.AttemptID]*task
	images  map[string]bool
	target  int
	deaf    bool
	mute    bool
	faulty  bool
	hangs   bool
	resumed chan struct{} // closed when it goes on after a hang
	kept    []workers.Heartbeat
	poke    chan struct{}
	over    chan struct{} // closed at the end, for copies under way
}

// Meeting lets the tasks of a gang find one another.
type GangRegistry struct {
	mu   sync.Mutex
	here map[string]map[int]bool // by job and try
	done map[string]bool
}

// NewMeeting makes an empty meeting.
func NewGangRegistry() *GangRegistry {
	return &GangRegistry{here: make(map[string]map[int]bool), done: make(map[string]bool)}
}

// NewWorker makes a machine; Run starts it.
func NewWorker(opt WorkerOptions, end Transport, jobs Jobs, judge Observer, meet *GangRegistry) *Worker {
	return &Worker{
		opt: opt, end: end, jobs: jobs, judge: judge, meet: meet, shift: 1,
		tasks: make(map[workers.AttemptID]*task), images: make(map[string]bool), poke: make(chan struct{}, 1), over: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{DialContext: end.DialContext}},
	}
}

// SetDeaf begins or ends a cut of one direction: reports go out, answers and
// commands do not arrive.
func (w *Worker) CutIncoming(deaf bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf = deaf
}

// SetHang makes the machine stand still, or go on: meanwhile it runs nothing,
// says nothing and hears nothing. Its lease runs on.
//
// Direct commands that come meanwhile are carried out when it goes on, whether
// or not the sender still waits.
func (w *Worker) SetHanging(hangs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hangs && !hangs {
		close(w.resumed)
	}
	if !w.hangs && hangs {
		w.resumed = make(chan struct{})
	}
	w.hangs = hangs
}

// SetMute begins or ends a cut of the other direction: no report leaves, while
// direct commands arrive.
func (w *Worker) CutOutgoing(mute bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = mute
}

// Again sends copies of the reports that the machine has kept to a node, as
// when the network delivers them once more.
func (w *Worker) ResendHeartbeats(ctx context.Context, addr string) (sent int) {
	w.mu.Lock()
	kept := slices.Clone(w.kept)
	w.mu.Unlock()
	for _, rep := range kept {
		again, cancel := context.WithTimeout(ctx, 4*time.Second)
		w.post(again, addr, rep)
		cancel()
	}
	return len(kept)
}

// FailsAfter is how long a task runs on a faulty machine.
const FaultyRunTime = 500 * time.Millisecond

// SetFaulty makes the machine fail every task that it starts from now on, or
// mends it.
func (w *Worker) SetFaulty(faulty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faulty = faulty
}

// Run works until ctx ends; then all that is on the machine is gone.
func (w *Worker) Run(ctx context.Context) error {
	l, err := w.end.Listen("tcp", w.opt.Addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.commands)
	mux.HandleFunc("GET /status", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(rw, http.StatusOK, w.report())
	})
	srv := &http.Server{Handler: mux}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	go func() { _ = srv.Serve(l) }()
	w.mu.Lock()
	w.leased = time.Now()
	w.mu.Unlock()
	defer w.http.CloseIdleConnections()
	defer close(w.over)
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.clear()
	}()
	if w.opt.Step == 0 {
		w.opt.Step = 100 * time.Millisecond
	}
	step := time.NewTicker(w.opt.Step)
	defer step.Stop()
	next := time.Now()
	answered := make(chan struct{}, 1)
	busy := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-answered:
			busy = false
		case <-w.poke:
			if soon := time.Now().Add(w.opt.HeartbeatInterval / 4); soon.Before(next) {
				next = soon
			}
		case <-step.C:
			w.mu.Lock()
			w.advance(time.Now())
			w.mu.Unlock()
		}
		w.mu.Lock()
		hangs := w.hangs
		w.mu.Unlock()
		if now := time.Now(); !busy && !hangs && !now.Before(next) {
			busy, next = true, now.Add(w.opt.HeartbeatInterval)
			go func() {
				w.hello(ctx)
				answered <- struct{}{}
			}()
		}
	}
}

func (w *Worker) clear() {
	for id, t := range w.tasks {
		w.leave(t, false)
		delete(w.tasks, id)
	}
}

func (w *Worker) leave(t *task, done bool) {
	if t.began && t.job.Kind == jobs.KindGang {
		// A gang completes together, whatever each machine gets to say of it.
		_, over := w.meet.state(t)
		done = done || over
	}
	if t.began {
		t.began = false
		w.judge.TaskEnded(w.opt.Name, t.id.Task, t.id.Number, done)
	}
	if t.job != nil && t.job.Kind == jobs.KindGang {
		w.meet.leave(t, done)
	}
}

func gangKey(t *task) string { return t.id.Task.Job + "#" + time.Duration(t.id.Number).String() }

func (m *GangRegistry) join(t *task) (complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := gangKey(t)
	if m.here[k] == nil {
		m.here[k] = make(map[int]bool)
	}
	m.here[k][t.id.Task.Index] = true
	return len(m.here[k]) == t.job.Tasks
}

func (m *GangRegistry) leave(t *task, done bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.here[gangKey(t)], t.id.Task.Index)
	if done {
		m.done[gangKey(t)] = true
	}
}

func (m *GangRegistry) state(t *task) (complete, done bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.here[gangKey(t)]) == t.job.Tasks, m.done[gangKey(t)]
}

// advance moves the tasks on to the present.
func (w *Worker) advance(now time.Time) {
	if now.Sub(w.leased) > w.opt.Lease {
		w.clear()
		w.shift++
		w.leased = now
		w.changed()
	}
	if w.hangs {
		for _, t := range w.tasks {
			t.since = t.since.Add(w.opt.Step) // nothing moves on
		}
		return
	}
	if len(w.tasks) == 0 {
		return
	}
	for _, id := range w.order() {
		t := w.tasks[id]
		switch t.status {
		case workers.StatusFetching:
			if !w.images[t.job.Image] && now.Sub(t.since) < w.opt.FetchTime {
				continue
			}
			w.images[t.job.Image] = true
			t.began, t.fails = true, w.faulty
			w.judge.TaskStarted(w.opt.Name, w.opt.Zone, w.opt.Spot, t.id.Task, t.id.Number, t.job)
			if t.job.Kind == jobs.KindGang {
				w.meet.join(t)
				w.set(t, workers.StatusWaiting, now)
			} else {
				w.set(t, workers.StatusRunning, now)
			}
		case workers.StatusWaiting:
			complete, _ := w.meet.state(t)
			switch {
			case complete:
				w.set(t, workers.StatusRunning, now)
			case now.Sub(t.since) > w.opt.GangWait:
				w.exit(t, workers.CauseGangIncomplete, false, now)
			}
		case workers.StatusRunning:
			if t.fails && now.Sub(t.since) >= FaultyRunTime {
				w.exit(t, workers.CauseError, false, now)
				continue
			}
			if t.job.Kind == jobs.KindGang {
				complete, done := w.meet.state(t)
				if !complete && !done {
					w.exit(t, workers.CauseGangLost, false, now)
					continue
				}
				if done {
					w.exit(t, workers.CauseDone, false, now)
					continue
				}
			}
			if now.Sub(t.since) >= w.runs(t) {
				w.exit(t, workers.CauseDone, false, now)
			}
		case workers.StatusSaving:
			if now.Sub(t.stopped).Seconds() >= t.job.SaveS {
				w.exit(t, workers.CauseStopped, true, now)
			}
		}
	}
}

func (w *Worker) runs(t *task) time.Duration {
	if w.opt.RunTime != nil {
		return w.opt.RunTime(t.job, t.id.Task.Index)
	}
	return time.Duration(t.job.ExpectedS * float64(time.Second))
}

func (w *Worker) order() []workers.AttemptID {
	ids := make([]workers.AttemptID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		if ids[i].Task != ids[j].Task {
			return ids[i].Task.String() < ids[j].Task.String()
		}
		return ids[i].Number < ids[j].Number
	})
	return ids
}

func (w *Worker) set(t *task, status workers.TaskStatus, now time.Time) {
	t.status, t.since = status, now
	w.changed()
}

func (w *Worker) exit(t *task, cause workers.ExitCause, saved bool, now time.Time) {
	w.leave(t, cause == workers.CauseDone)
	t.cause, t.saved = cause, saved
	w.set(t, workers.StatusExited, now)
}

func (w *Worker) changed() {
	select {
	case w.poke <- struct{}{}:
	default:
	}
}

func (w *Worker) report() workers.Heartbeat {
	w.tick++
	r := workers.Heartbeat{
		Machine: w.opt.Name, Endpoint: w.opt.Addr, MachineType: w.opt.MachineType, Zone: w.opt.Zone, Spot: w.opt.Spot,
		Epoch: w.shift, Sequence: w.tick, Token: w.warrant,
	}
	for _, id := range w.order() {
		t := w.tasks[id]
		r.Tasks = append(r.Tasks, workers.TaskReport{Task: id.Task.String(), Attempt: id.Number, Status: t.status, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (w *Worker) hello(ctx context.Context) {
	w.mu.Lock()
	rep := w.report()
	addr := w.opt.Nodes[w.target%len(w.opt.Nodes)]
	w.mu.Unlock()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	for _, d := range w.opt.DuplicateAfter {
		go func() {
			t := time.NewTimer(d)
			defer t.Stop()
			select {
			case <-t.C:
				again, cancel := context.WithTimeout(context.WithoutCancel(ctx), 4*time.Second)
				defer cancel()
				w.post(again, addr, rep)
			case <-w.over:
			}
		}()
	}
	w.mu.Lock()
	mute := w.mute
	if w.opt.KeepHeartbeats > 0 {
		w.kept = append(w.kept, rep)
		w.kept = w.kept[max(0, len(w.kept)-w.opt.KeepHeartbeats):]
	}
	w.mu.Unlock()
	if mute {
		<-ctx.Done()
		w.mu.Lock()
		w.target++
		w.mu.Unlock()
		return
	}
	status, body := w.post(ctx, addr, rep)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deaf || w.hangs {
		w.mu.Unlock()
		<-ctx.Done() // given up without an answer
		w.mu.Lock()
		w.target++
		return
	}
	switch status {
	case http.StatusOK:
		var a workers.CommandBatch
		if json.Unmarshal(body, &a) != nil || a.Token < w.warrant || rep.Epoch != w.shift {
			return
		}
		w.warrant, w.leased = a.Token, sent
		w.execute(a.Commands, time.Now())
	case http.StatusMisdirectedRequest:
		var f struct {
			Foreman string `json:"foreman"`
		}
		_ = json.Unmarshal(body, &f)
		for i, n := range w.opt.Nodes {
			if f.Foreman != "" && n == w.opt.NodeByLabel[f.Foreman] && n != addr {
				w.target = i
				w.changed()
				return
			}
		}
		w.target++
	default:
		w.target++
	}
}

func (w *Worker) post(ctx context.Context, addr string, rep workers.Heartbeat) (int, []byte) {
	raw, err := json.Marshal(rep)
	if err != nil {
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/hello", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

func (w *Worker) execute(orders []workers.Command, now time.Time) {
	for _, o := range orders {
		id, err := workers.ParseTaskID(o.Task)
		if err != nil {
			continue
		}
		key := workers.AttemptID{Task: id, Number: o.Attempt}
		t := w.tasks[key]
		switch o.Verb {
		case workers.VerbRun:
			if t != nil {
				continue
			}
			t = &task{id: key, status: workers.StatusFetching, since: now}
			w.tasks[key] = t
			j, ok := w.jobs.Job(id.Job)
			if !ok {
				t.status, t.cause = workers.StatusExited, "unknown"
			}
			t.job = j
			w.changed()
		case workers.VerbStop:
			switch {
			case t == nil || t.status == workers.StatusExited:
			case t.status == workers.StatusRunning && t.job.CheckpointIntervalS > 0 && o.GraceS != nil && *o.GraceS >= t.job.SaveS:
				t.stopped = now
				w.set(t, workers.StatusSaving, now)
			case t.status == workers.StatusSaving && o.GraceS != nil && *o.GraceS > 0:
			default:
				w.exit(t, workers.CauseStopped, false, now)
			}
		case workers.VerbForget:
			if t != nil && t.status == workers.StatusExited {
				delete(w.tasks, key)
			}
		}
	}
}

func (w *Worker) commands(rw http.ResponseWriter, r *http.Request) {
	var a workers.CommandBatch
	if json.NewDecoder(r.Body).Decode(&a) != nil || a.Token == 0 || a.Epoch == 0 {
		reply(rw, http.StatusBadRequest, fields{"error": "malformed"})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deaf {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	for w.hangs {
		resumed := w.resumed
		w.mu.Unlock()
		select {
		case <-resumed:
		case <-w.over:
		}
		w.mu.Lock()
		select {
		case <-w.over:
			return
		default:
		}
	}
	status := http.StatusConflict
	if a.Token >= w.warrant && a.Epoch == w.shift {
		status = http.StatusOK
		w.warrant = a.Token
		w.execute(a.Commands, time.Now())
	}
	reply(rw, status, w.report())
}
