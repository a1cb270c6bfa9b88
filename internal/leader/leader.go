package leader

import (
	"context"
	"log/slog"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/leader/staleness"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/reservations"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// Store is the part of the state service's API that the leader uses.
type Store interface {
	Get(ctx context.Context, class statestore.Class, key string) (statestore.KeyValue, bool, error)
	List(ctx context.Context, class statestore.Class, prefix string) ([]statestore.KeyValue, uint64, error)
	Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error)
	Watch(ctx context.Context, prefix string, fromRevision uint64, maxWait time.Duration) (uint64, []statestore.Change, error)
}

// Cloud is the part of the cloud's API that the leader uses.
type Cloud interface {
	Rent(ctx context.Context, request autoscaling.RentRequest) (names []string, err error)
	Return(ctx context.Context, names []string) error
	List(ctx context.Context, from string) (instances []autoscaling.Instance, next string, err error)
}

// Workers sends commands directly to a worker, which answers with a heartbeat.
type Workers interface {
	Send(ctx context.Context, endpoint string, batch workers.CommandBatch) (*workers.Heartbeat, error)
}

// Deps holds a leader's settings and dependencies.
type Deps struct {
	Settings *config.Settings
	Operator config.Operator
	Store    Store
	Cloud    Cloud
	Workers  Workers
	// Catalog returns the latest machine catalog, or nil if none has been loaded.
	Catalog func() *autoscaling.Catalog
	// Attest asks all nodes for the cancellations they have confirmed to users. If nil, only
	// the watch proves that cancellations are known.
	Attest AttestFunc
	// ReadsLargeRing reports whether all nodes can read the log's large ring. Nil means that
	// they can't.
	ReadsLargeRing func(ctx context.Context) bool
	// Usage returns how much of the state service's budget this node's calls of a class have
	// used. It may be nil.
	Usage func(statestore.Class) statestore.Usage
	Log   *slog.Logger
}

// Leader holds the scheduling state of one term and the machinery that delivers events to it.
// Unless noted otherwise, its fields belong to the goroutine that runs the loop.
type Leader struct {
	deps Deps
	// lease is how long a worker runs its tasks without an acknowledged heartbeat.
	lease time.Duration
	teams []config.Team

	// events is the loop's queue; any goroutine may send to it. done is closed when the term
	// ends, after which events are no longer received.
	events chan event
	done   chan struct{}
	// published can be read from any goroutine.
	published publishedState

	// The term and its records.
	term      term
	staleness staleness.Tracker
	calls     outboundCalls
	wal       *wal.Writer
	commits   groupCommit
	failover  failover
	metadata  metadataQueue

	// Jobs and scheduling decisions.
	jobs         jobTable
	dependencies dependencyTracker
	classes      classStats
	teamUsage    teamUsage
	reservations *reservations.Manager
	passes       passTimer

	// Machines and the commands sent to them.
	fleet    fleet
	replies  heldReplies
	commands commandLimiter
	scaling  scalingState

	// Statistics for operators.
	counts      WorkCounts
	load        loadLog
	lastSummary time.Time // when the scheduling summary was last logged
}

// New returns a leader for the granted term. The caller must call Run next.
func New(deps Deps, grant election.Grant) *Leader {
	params, operator := deps.Settings.Params, deps.Operator
	l := &Leader{
		deps:      deps,
		lease:     config.Seconds(params.Workers.LeaseS),
		teams:     params.Teams,
		events:    make(chan event, constants.EventQueueSize),
		done:      make(chan struct{}),
		term:      newTerm(grant),
		staleness: staleness.NewTracker(staleness.Limit(params.Workers)),
		metadata:  newMetadataQueue(params.State, operator.Budgets),
		jobs:      newJobTable(),

		dependencies: newDependencyTracker(),
		classes:      newClassStats(),
		teamUsage:    make(teamUsage),
		reservations: reservations.NewManager(reservations.Options{
			Enabled: operator.Reservations.Enabled, Alpha: operator.Reservations.Alpha,
			P: operator.Reservations.P, Threshold: operator.Reservations.Threshold,
		}),

		fleet:   newFleet(),
		replies: newHeldReplies(),
		scaling: newScalingState(),
		load:    loadLog{usage: deps.Usage},
	}
	l.commits = newGroupCommit(deps.Log, l.beginCheckpoint)
	l.openLog(wal.Head{}, 0)
	return l
}
