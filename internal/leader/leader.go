package leader

import (
	"context"
	"log/slog"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
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
	Txn(ctx context.Context, class statestore.Class, when []statestore.Condition, writes []statestore.Write) (uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (uint64, []statestore.Change, error)
}

// Cloud is what the leader needs of the cloud.
type Cloud interface {
	Rent(ctx context.Context, r autoscaling.RentRequest) ([]string, error)
	Return(ctx context.Context, names []string) error
	List(ctx context.Context, from string) (hosts []autoscaling.Instance, next string, err error)
}

// Workers sends orders straight to a worker; the answer is its report.
type Workers interface {
	Send(ctx context.Context, endpoint string, a workers.CommandBatch) (*workers.Heartbeat, error)
}

// Deps are the parts of a leader.
type Deps struct {
	Settings *config.Settings
	Operator config.Operator
	Store    Store
	Cloud    Cloud
	Workers  Workers
	// Catalog gives the newest catalog, or nil while none is known.
	Catalog func() *autoscaling.Catalog
	// Attest asks all nodes for the cancellations that they know of; nil: the
	// watch alone counts.
	Attest AttestFunc
	// ReadsLargeRing asks whether all nodes read the log's large ring; nil: they don't.
	ReadsLargeRing func(ctx context.Context) bool
	// Usage tells what this node's calls of a class have drawn; may be nil.
	Usage func(statestore.Class) statestore.Usage
	Log   *slog.Logger
}

// Leader is one term's scheduling state. All fields below calls belong to the
// routine that runs it.
type Leader struct {
	deps      Deps
	lease     time.Duration
	events    chan event
	done      chan struct{}
	calls     outboundCalls
	term      term
	certainty certainty.Tracker
	wal       *wal.Writer
	commits   groupCommit

	failover     failover
	published    publishedState
	jobs         jobTable
	fleet        fleet
	teamUsage    teamUsage
	replies      heldReplies
	metadata     metadataQueue
	counts       WorkCounts
	load         loadLog
	teams        []config.Team
	reservations *reservations.Manager
	commands     commandDispatcher
	passes       passTimer
	lastSummary  time.Time
	scaling      scalingState
	// dependencies is what the jobs that wait for others wait for.
	dependencies dependencyTracker
	classes      classStats
}

// New makes a leader for the granted term. Run must be called next.
func New(d Deps, g election.Grant) *Leader {
	w := d.Settings.Params.Workers
	l := &Leader{
		deps: d, term: newTerm(g), certainty: certainty.NewTracker(certainty.Window(w)), lease: config.Seconds(w.LeaseS),
		events: make(chan event, 256), done: make(chan struct{}),
		jobs: newJobTable(), fleet: newFleet(), teams: d.Settings.Params.Teams,
		reservations: reservations.NewManager(reservations.Options{
			Enabled: d.Operator.Holds.Enabled, Alpha: d.Operator.Holds.Alpha,
			P: d.Operator.Holds.P, Threshold: d.Operator.Holds.Threshold,
		}),
		dependencies: newDependencyTracker(),
		classes:      newClassStats(),
		teamUsage:    make(teamUsage),
		replies:      newHeldReplies(),
		load:         loadLog{usage: d.Usage},
		metadata:     newMetadataQueue(d.Settings.Params.State, d.Operator.Budgets),
	}
	l.commits = newGroupCommit(d.Log, l.beginCheckpoint)
	l.openLog(wal.Head{}, 0)
	l.scaling = newScalingState()
	return l
}
