package userapi

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"thornnotch/internal/attestation"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// Store is the part of the state service client that the server uses.
type Store interface {
	Get(ctx context.Context, class statestore.Class, key string) (statestore.KeyValue, bool, error)
	Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error)
	List(ctx context.Context, class statestore.Class, prefix string) ([]statestore.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, fromRevision uint64, maxWait time.Duration) (uint64, []statestore.Change, error)
}

// TaskCounts holds the number of a job's done and running tasks, for display only.
type TaskCounts struct{ Done, Running int }

// Progress returns the task counts of the given open jobs by job ID. It omits jobs that the
// leader doesn't know.
type Progress func(ctx context.Context, ids []string) map[string]TaskCounts

// Options configures a Server.
type Options struct {
	Store Store
	Teams []config.Team
	// Limits are the size limits of transactions and values in the state service.
	Limits config.StateLimits
	// MaxSubmissions is the maximum number of concurrent submissions; further ones are
	// rejected with 503.
	MaxSubmissions int
	// MachineTypes returns the machine types that the cloud offers, or none while they aren't
	// known yet.
	MachineTypes func() []jobs.MachineType
	// Progress may be nil; every open job is then reported as pending, with task counts of 0.
	Progress Progress
	// Ready reports whether the load balancer may route users to this node.
	Ready func() bool
	Log   *slog.Logger
}

// Server implements the users' HTTP interface.
type Server struct {
	store        Store
	teams        []config.Team
	machineTypes func() []jobs.MachineType
	progress     Progress
	ready        func() bool
	log          *slog.Logger

	// finalRecords caches final records. They never change, so a cached one needs no proof.
	finalRecords *lru.Cache[string, jobs.FinalRecord]
	// cancellationLog holds the cancellations that this process may have reported to users.
	cancellationLog *attestation.CancellationLog
	replica         *openJobsReplica
	// queries holds the status queries that wait for the next batch.
	queries chan statusQuery
	// submissionSlots is a semaphore that holds one token for each submission in progress.
	submissionSlots chan struct{}

	// maxConditions and maxWrites limit one transaction, maxValueBytes one value.
	maxConditions, maxWrites, maxValueBytes int
}

// NewServer returns a server. It answers status queries only while FollowOpenJobs and
// ServeStatusQueries run.
func NewServer(options Options) (*Server, error) {
	finalRecords, err := lru.New[string, jobs.FinalRecord](constants.FinalRecordCacheSize)
	if err != nil {
		return nil, err
	}
	maxWrites := max(options.Limits.TxnOps, 1)
	return &Server{
		store:           options.Store,
		teams:           options.Teams,
		machineTypes:    options.MachineTypes,
		progress:        options.Progress,
		ready:           options.Ready,
		log:             options.Log,
		finalRecords:    finalRecords,
		cancellationLog: attestation.NewCancellationLog(cancellationLogEntries(options.Limits.WriteRPS), time.Now()),
		replica:         newOpenJobsReplica(),
		queries:         make(chan statusQuery, constants.StatusQueryQueueSize),
		submissionSlots: make(chan struct{}, max(options.MaxSubmissions, 1)),
		maxConditions:   constants.ConditionsPerOp * maxWrites,
		maxWrites:       maxWrites,
		maxValueBytes:   int(options.Limits.ValueKB * 1024),
	}, nil
}

// cancellationLogEntries returns the capacity of the cancellation log: enough for all changes
// that the state service accepts within the log's window at writeRPS changes a second.
func cancellationLogEntries(writeRPS float64) int {
	return max(constants.CancellationLogMinEntries, int(writeRPS*constants.CancellationLogWindow.Seconds()))
}

// Register registers the users' endpoints with mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /work", s.handleSubmit)
	mux.HandleFunc("GET /work/{id}", s.handleStatusQuery)
	mux.HandleFunc("POST /work/{id}/cancel", s.handleCancel)
	mux.HandleFunc("GET /ready", s.handleReady)
}

// handleReady serves GET /ready, the load balancer's readiness probe.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		respondError(w, serviceUnavailable("starting", nil))
		return
	}
	WriteJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ready"})
}

// AttestCancellations returns all jobs that this process reported to users as cancelled within
// the window before now, and possibly further cancelled jobs. It returns ok = false if the list
// may be incomplete.
func (s *Server) AttestCancellations(window time.Duration) (ids []string, ok bool) {
	return s.cancellationLog.Since(window, time.Now())
}
