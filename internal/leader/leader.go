package leader

import (
	"context"
	"log/slog"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/leader/certainty"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/reservations"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// Store is what the leader needs of the state service.
type Store interface {
	Get(ctx context.Context, class statestore.Class, key string) (statestore.KeyValue, bool, error)
	List(ctx context.Context, class statestore.Class, prefix string) ([]statestore.KeyValue, uint64, error)
	Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (uint64, []statestore.Change, error)
}

// Cloud is what the leader needs of the cloud.
type Cloud interface {
	Rent(ctx context.Context, request autoscaling.RentRequest) (names []string, err error)
	Return(ctx context.Context, names []string) error
	List(ctx context.Context, from string) (instances []autoscaling.Instance, next string, err error)
}

// Workers sends commands straight to a worker; the answer is a heartbeat.
type Workers interface {
	Send(ctx context.Context, endpoint string, batch workers.CommandBatch) (*workers.Heartbeat, error)
}

// Deps are what a leader is given.
type Deps struct {
	Settings *config.Settings
	Operator config.Operator
	Store    Store
	Cloud    Cloud
	Workers  Workers
	// Catalog gives the newest catalog, or nil while none is known.
	Catalog func() *autoscaling.Catalog
	// Attest asks all nodes which cancellations they have told users of; nil: the watch
	// alone counts.
	Attest AttestFunc
	// ReadsLargeRing asks whether all nodes read the log's large ring; nil: they don't.
	ReadsLargeRing func(ctx context.Context) bool
	// Usage tells what this node's calls of a class have drawn; may be nil.
	Usage func(statestore.Class) statestore.Usage
	Log   *slog.Logger
}

// Leader is one term's scheduling state: its components, and what carries events to them.
// All but what is marked otherwise belongs to the goroutine that runs the loop.
type Leader struct {
	deps Deps
	// lease is how long a worker goes on without an acknowledged heartbeat.
	lease time.Duration
	teams []config.Team

	// events go to the loop. Any goroutine may send; done is closed once the term is over
	// and nobody takes them any more.
	events chan event
	done   chan struct{}
	// published is what any goroutine may read.
	published publishedState

	// The term and its records.
	term      term
	certainty certainty.Tracker
	calls     outboundCalls
	wal       *wal.Writer
	commits   groupCommit
	failover  failover
	metadata  metadataQueue

	// Jobs, and what is decided about them.
	jobs         jobTable
	dependencies dependencyTracker
	classes      classStats
	teamUsage    teamUsage
	reservations *reservations.Manager
	passes       passTimer

	// Machines, and what they are told.
	fleet    fleet
	replies  heldReplies
	commands commandDispatcher
	scaling  scalingState

	// What operators see.
	counts      WorkCounts
	load        loadLog
	lastSummary time.Time // when the scheduling summary was logged
}

// New makes a leader for the granted term. Run must be called next.
func New(deps Deps, grant election.Grant) *Leader {
	params, operator := deps.Settings.Params, deps.Operator
	l := &Leader{
		deps:      deps,
		lease:     config.Seconds(params.Workers.LeaseS),
		teams:     params.Teams,
		events:    make(chan event, constants.EventQueueSize),
		done:      make(chan struct{}),
		term:      newTerm(grant),
		certainty: certainty.NewTracker(certainty.Window(params.Workers)),
		metadata:  newMetadataQueue(params.State, operator.Budgets),
		jobs:      newJobTable(),

		dependencies: newDependencyTracker(),
		classes:      newClassStats(),
		teamUsage:    make(teamUsage),
		reservations: reservations.NewManager(reservations.Options{
			Enabled: operator.Holds.Enabled, Alpha: operator.Holds.Alpha,
			P: operator.Holds.P, Threshold: operator.Holds.Threshold,
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
