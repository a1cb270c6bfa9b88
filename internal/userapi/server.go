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

// Store is what the users' interface needs of the state service.
type Store interface {
	Get(ctx context.Context, class statestore.Class, key string) (statestore.KeyValue, bool, error)
	Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error)
	List(ctx context.Context, class statestore.Class, prefix string) ([]statestore.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (uint64, []statestore.Change, error)
}

// TaskCounts counts a job's tasks, for display only.
type TaskCounts struct{ Done, Running int }

// Progress counts the tasks of these open jobs, by job ID; jobs that the leader does not know
// are left out.
type Progress func(ctx context.Context, ids []string) map[string]TaskCounts

// Options are what a Server is made of.
type Options struct {
	Store Store
	Teams []config.Team
	// Limits bound the transactions and values of the state service.
	Limits config.StateLimits
	// MaxSubmissions is how many submissions are taken at once; further ones are told to
	// come again.
	MaxSubmissions int
	// MachineTypes returns the types that the cloud rents; none: they are not known yet.
	MachineTypes func() []jobs.MachineType
	// Progress may be nil: then no counts are shown.
	Progress Progress
	// Ready reports whether the load balancer may send users here.
	Ready func() bool
	Log   *slog.Logger
}

// Server answers users.
type Server struct {
	store        Store
	teams        []config.Team
	machineTypes func() []jobs.MachineType
	progress     Progress
	ready        func() bool
	log          *slog.Logger

	// finals caches final records. These never change, so they need no proof.
	finals *lru.Cache[string, jobs.FinalRecord]
	// cancelled are the cancellations that this process has told users of.
	cancelled *attestation.CancellationLog
	replica   *openJobsReplica
	// queries are the status queries that wait for the next batch.
	queries chan statusQuery
	// submissionSlots holds one token for each submission under way.
	submissionSlots chan struct{}

	// maxConditions and maxWrites bound one transaction, maxValueBytes one value.
	maxConditions, maxWrites, maxValueBytes int
}

// NewServer makes the users' interface. FollowOpenJobs and ServeStatusQueries must run for
// it to answer status queries.
func NewServer(options Options) (*Server, error) {
	finals, err := lru.New[string, jobs.FinalRecord](constants.FinalCache)
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
		finals:          finals,
		cancelled:       attestation.NewCancellationLog(cancellationLogEntries(options.Limits.WriteRPS), time.Now()),
		replica:         newOpenJobsReplica(),
		queries:         make(chan statusQuery, constants.PollQueue),
		submissionSlots: make(chan struct{}, max(options.MaxSubmissions, 1)),
		maxConditions:   constants.CondsPerOp * maxWrites,
		maxWrites:       maxWrites,
		maxValueBytes:   int(options.Limits.ValueKB * 1024),
	}, nil
}

// cancellationLogEntries is how many cancellations are remembered where the state service
// allows so many changes a second.
func cancellationLogEntries(writeRPS float64) int {
	return max(constants.CancellationLogMinEntries, int(writeRPS*constants.CancellationLogWindow.Seconds()))
}

// Register adds the users' endpoints.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /work", s.handleSubmit)
	mux.HandleFunc("GET /work/{id}", s.handleStatusQuery)
	mux.HandleFunc("POST /work/{id}/cancel", s.handleCancel)
	mux.HandleFunc("GET /ready", s.handleReady)
}

// handleReady answers the load balancer's probe.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		respondError(w, unavailable("starting", nil))
		return
	}
	WriteJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ready"})
}

// AttestCancellations names the jobs that this process has told users, within so long a time,
// are cancelled, and maybe some more that are. It reports false when it can't say.
func (s *Server) AttestCancellations(span time.Duration) (ids []string, ok bool) {
	return s.cancelled.Since(span, time.Now())
}
