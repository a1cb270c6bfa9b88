package simulator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// Transport is how a simulated machine reaches others and is reached: a Host of a Network,
// or the system's own network.
type Transport interface {
	Listen(network, addr string) (net.Listener, error)
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// Jobs is what users have submitted: workers get the specifications from here.
type Jobs interface {
	Job(id string) (*jobs.Spec, bool)
}

// Observer is told what really happens on machines.
type Observer interface {
	TaskStarted(machine, zone string, spot bool, task workers.TaskID, attempt uint64, job *jobs.Spec)
	TaskEnded(machine string, task workers.TaskID, attempt uint64, done bool)
}

// WorkerOptions describe one machine.
type WorkerOptions struct {
	Name, Addr, MachineType, Zone string
	Spot                          bool

	Nodes       []string          // the nodes' addresses
	NodeByLabel map[string]string // address by label, for redirects

	HeartbeatInterval, Lease time.Duration
	FetchTime                time.Duration // to fetch any image
	GangWait                 time.Duration
	// Step is how often the machine looks at its tasks; 0: ten times a second.
	Step time.Duration
	// RunTime tells how long a task runs; nil: each as long as its job expects.
	RunTime func(job *jobs.Spec, index int) time.Duration

	// DuplicateAfter are delays after which copies of every heartbeat arrive once more.
	DuplicateAfter []time.Duration
	// KeepHeartbeats is how many of its last heartbeats the machine keeps for ResendHeartbeats.
	KeepHeartbeats int
}

const (
	// FaultyRunTime is how long a task runs on a faulty machine.
	FaultyRunTime = 500 * time.Millisecond
	// replyTimeout is how long a worker waits for the reply to a heartbeat (protocol).
	replyTimeout = 4 * time.Second
	// defaultStep is the WorkerOptions.Step for 0.
	defaultStep = 100 * time.Millisecond
)

// Worker is a machine that runs tasks for their expected time. It follows the protocol for
// tokens, leases and commands; the tasks of a gang meet through a GangRegistry.
type Worker struct {
	options   WorkerOptions
	transport Transport
	jobs      Jobs
	observer  Observer
	gangs     *GangRegistry
	http      *http.Client
	changes   chan struct{} // holds a value when there is a change to report
	ended     chan struct{} // closed at the end, for copies under way

	mu        sync.Mutex // guards all below
	epoch     uint64
	sequence  uint64
	token     uint64
	leaseFrom time.Time // when the last answered heartbeat was sent
	tasks     map[workers.AttemptID]*task
	images    map[string]bool
	node      int // index of the node that it reports to

	// Faults.
	incomingCut bool
	outgoingCut bool
	faulty      bool
	hanging     bool
	resumed     chan struct{} // closed when it goes on after a hang
	kept        []workers.Heartbeat
}

// NewWorker makes a machine; Run starts it.
func NewWorker(options WorkerOptions, transport Transport, jobs Jobs, observer Observer, gangs *GangRegistry) *Worker {
	if options.Step == 0 {
		options.Step = defaultStep
	}
	return &Worker{
		options: options, transport: transport, jobs: jobs, observer: observer, gangs: gangs,
		http:    &http.Client{Transport: &http.Transport{DialContext: transport.DialContext}},
		changes: make(chan struct{}, 1), ended: make(chan struct{}),
		epoch: 1, tasks: make(map[workers.AttemptID]*task), images: make(map[string]bool),
	}
}

// Run works until ctx ends; then all that is on the machine is gone.
func (w *Worker) Run(ctx context.Context) error {
	stop, err := w.serve(ctx)
	if err != nil {
		return err
	}
	defer stop()
	w.mu.Lock()
	w.leaseFrom = time.Now()
	w.mu.Unlock()
	defer w.http.CloseIdleConnections()
	defer close(w.ended)
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.killAll()
	}()
	return w.work(ctx)
}

// serve takes direct commands until ctx ends.
func (w *Worker) serve(ctx context.Context) (stop func() bool, err error) {
	listener, err := w.transport.Listen("tcp", w.options.Addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.takeDirectCommands)
	mux.HandleFunc("GET /status", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(rw, http.StatusOK, w.report())
	})
	server := &http.Server{Handler: mux}
	stop = context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // it ends when the server is closed
	return stop, nil
}

// work moves the tasks on and sends heartbeats, one at a time, until ctx ends.
func (w *Worker) work(ctx context.Context) error {
	step := time.NewTicker(w.options.Step)
	defer step.Stop()
	next := time.Now()
	answered := make(chan struct{}, 1)
	underWay := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-answered:
			underWay = false
		case <-w.changes:
			if soon := time.Now().Add(w.options.HeartbeatInterval / 4); soon.Before(next) {
				next = soon
			}
		case <-step.C:
			w.mu.Lock()
			w.advance(time.Now())
			w.mu.Unlock()
		}
		if now := time.Now(); !underWay && !w.isHanging() && !now.Before(next) {
			underWay, next = true, now.Add(w.options.HeartbeatInterval)
			go func() {
				w.sendHeartbeat(ctx)
				answered <- struct{}{}
			}()
		}
	}
}

// noteChange has the next heartbeat sent soon.
func (w *Worker) noteChange() {
	select {
	case w.changes <- struct{}{}:
	default: // one is noted already
	}
}
