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

// Transport provides the network connections of a simulated machine. Host implements it
// in memory; ServeSite uses the operating system's network.
type Transport interface {
	Listen(network, addr string) (net.Listener, error)
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// JobSource looks up the specifications of submitted jobs for workers.
type JobSource interface {
	Job(id string) (*jobs.Spec, bool)
}

// Observer is notified when a task actually starts and ends on a machine, independently of what
// the worker reports to the nodes.
type Observer interface {
	TaskStarted(machine, zone string, spot bool, task workers.TaskID, attempt uint64, job *jobs.Spec)
	TaskEnded(machine string, task workers.TaskID, attempt uint64, done bool)
}

// WorkerOptions configures one machine and its worker.
type WorkerOptions struct {
	Name, Addr, MachineType, Zone string
	Spot                          bool

	NodeAddrs       []string          // HOST:PORT of each node
	NodeAddrByLabel map[string]string // the same addresses by node label, to follow redirects

	HeartbeatInterval, LeaseDuration time.Duration
	FetchTime                        time.Duration // time that the worker takes to fetch an image
	GangWait                         time.Duration // how long a task waits for the rest of its gang
	// StepInterval is the interval at which the worker updates its tasks; 0 means 100 ms.
	StepInterval time.Duration
	// RunTime returns how long the task with the given index runs; nil means the job's expected
	// run time.
	RunTime func(job *jobs.Spec, index int) time.Duration

	// DuplicateDelays lists the delays after which a copy of every heartbeat is sent again.
	DuplicateDelays []time.Duration
	// MaxKeptHeartbeats is the number of recent heartbeats kept for ResendHeartbeats.
	MaxKeptHeartbeats int
}

const (
	// FaultyRunTime is how long a task runs on a faulty machine before it fails.
	FaultyRunTime = 500 * time.Millisecond
	// replyTimeout is the timeout of a heartbeat request, by the protocol.
	replyTimeout = 4 * time.Second
	// defaultStepInterval is the default of WorkerOptions.StepInterval.
	defaultStepInterval = 100 * time.Millisecond
)

// Worker simulates a machine and its worker process, which follows the protocol for fencing
// tokens, leases and commands. A task only takes time, as set by WorkerOptions.RunTime. Tasks of a
// gang find each other through a GangRegistry.
type Worker struct {
	options            WorkerOptions
	transport          Transport
	jobs               JobSource
	observer           Observer
	gangs              *GangRegistry
	http               *http.Client
	heartbeatRequested chan struct{} // holds a value if an early heartbeat was requested
	stopped            chan struct{} // closed when Run returns, to end pending waits

	mu           sync.Mutex // guards the fields below
	epoch        uint64     // incremented when the lease expires
	sequence     uint64     // sequence number of the last heartbeat
	token        uint64     // highest fencing token accepted so far
	leaseStart   time.Time  // when the last acknowledged heartbeat was sent
	tasks        map[workers.AttemptID]*task
	cachedImages map[string]bool
	nodeIndex    int // index into options.NodeAddrs, modulo its length

	// Fault injection.
	incomingBlocked bool
	outgoingBlocked bool
	faulty          bool
	hanging         bool
	resumed         chan struct{} // closed when a hang ends
	keptHeartbeats  []workers.Heartbeat
}

// NewWorker returns a worker that Run starts.
func NewWorker(options WorkerOptions, transport Transport, jobs JobSource, observer Observer, gangs *GangRegistry) *Worker {
	if options.StepInterval == 0 {
		options.StepInterval = defaultStepInterval
	}
	return &Worker{
		options: options, transport: transport, jobs: jobs, observer: observer, gangs: gangs,
		http:               &http.Client{Transport: &http.Transport{DialContext: transport.DialContext}},
		heartbeatRequested: make(chan struct{}, 1), stopped: make(chan struct{}),
		epoch: 1, tasks: make(map[workers.AttemptID]*task), cachedImages: make(map[string]bool),
	}
}

// Run runs the worker until ctx is done, and then kills all its tasks. It returns ctx's error, or
// an error if the worker can't listen on its address.
func (w *Worker) Run(ctx context.Context) error {
	stop, err := w.serveCommands(ctx)
	if err != nil {
		return err
	}
	defer stop()
	w.mu.Lock()
	w.leaseStart = time.Now()
	w.mu.Unlock()
	defer w.http.CloseIdleConnections()
	defer close(w.stopped)
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.killAllTasks()
	}()
	return w.runLoop(ctx)
}

// serveCommands starts the HTTP server for direct commands and status requests, which runs until
// ctx is done. The returned stop function is that of the context.AfterFunc that closes the server
// when ctx is done.
func (w *Worker) serveCommands(ctx context.Context) (stop func() bool, err error) {
	listener, err := w.transport.Listen("tcp", w.options.Addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.handleDirectCommands)
	mux.HandleFunc("GET /status", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		writeReply(rw, http.StatusOK, w.newHeartbeat())
	})
	server := &http.Server{Handler: mux}
	stop = context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return stop, nil
}

// runLoop updates the tasks and sends heartbeats until ctx is done. At most one heartbeat is in
// flight at a time, apart from duplicates.
func (w *Worker) runLoop(ctx context.Context) error {
	step := time.NewTicker(w.options.StepInterval)
	defer step.Stop()
	nextHeartbeat := time.Now()
	sendFinished := make(chan struct{}, 1)
	sending := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sendFinished:
			sending = false
		case <-w.heartbeatRequested:
			if early := time.Now().Add(w.options.HeartbeatInterval / 4); early.Before(nextHeartbeat) {
				nextHeartbeat = early
			}
		case <-step.C:
			w.mu.Lock()
			w.advanceTasks(time.Now())
			w.mu.Unlock()
		}
		if now := time.Now(); !sending && !w.isHanging() && !now.Before(nextHeartbeat) {
			sending, nextHeartbeat = true, now.Add(w.options.HeartbeatInterval)
			go func() {
				w.sendHeartbeat(ctx)
				sendFinished <- struct{}{}
			}()
		}
	}
}

// requestHeartbeat makes the worker send its next heartbeat early, to report a change.
func (w *Worker) requestHeartbeat() {
	select {
	case w.heartbeatRequested <- struct{}{}:
	default: // already requested
	}
}
