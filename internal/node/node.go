// Package node puts the slices of one controller process together.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader"
	"thornnotch/internal/peers"
	"thornnotch/internal/statestore"
	"thornnotch/internal/userapi"
	"thornnotch/internal/workers"
)

// catalogKey keeps the last catalog, so that a node that starts while the
// cloud is down can still tell what can run.
const catalogKey = "site/catalog"

// Network is how a node reaches others and is reached.
type Network interface {
	Listen(network, addr string) (net.Listener, error)
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// System is the machine's own network.
type System struct{ *net.Dialer }

// Listen opens a listener.
func (System) Listen(network, addr string) (net.Listener, error) { return net.Listen(network, addr) }

// Node is one controller process.
type Node struct {
	net     Network
	set     *config.Settings
	op      config.Operator
	log     *slog.Logger
	store   *statestore.Client
	cloud   *autoscaling.CloudClient
	elector *election.Elector
	peers   *peers.Client
	catalog atomic.Pointer[autoscaling.Catalog]
	leading atomic.Pointer[leader.Leader]
	// helpers are nodes that the state service answers while it does not
	// answer this one; lonely is set when no other node answers either.
	helpers atomic.Pointer[[]string]
	lonely  atomic.Bool
	users   http.Handler
	intake  atomic.Pointer[userapi.Server]
	sockets *sockets
	limits  limits
	version string
	// tooSmall names the settings that are too small for the fleet.
	tooSmall atomic.Pointer[[]string]
}

// New makes a node from its settings.
func New(set *config.Settings, op config.Operator, network Network, log *slog.Logger) *Node {
	n := &Node{
		net: network, set: set, op: op, log: log,
		sockets: newSockets(set.SocketLimit()), version: buildVersion(),
	}
	n.store = statestore.New(set.Services.State, statestore.NewBudget(n.share(false)), network.DialContext)
	n.store.OnRateLimited = func() {
		if n.limits.refused(time.Now()) {
			n.log.Info("the state service has lowered its rates")
			n.store.Budget.SetRates(n.share(n.leading.Load() != nil))
		}
	}
	n.cloud = autoscaling.NewCloudClient(set.Services.Cloud, set.Params.Cloud.RPS*op.Budgets.Use, network.DialContext)
	n.elector = election.New(set.NodeName, n.store, log)
	addrs := make(map[string]string)
	for _, k := range set.Peers {
		addrs[k.Name] = k.Addr
	}
	n.peers = peers.NewClient(addrs, network.DialContext)
	return n
}

// share is this node's part of the calls to the state service.
func (n *Node) share(leads bool) (rps, writeRPS float64) {
	part := func(leaders float64) float64 {
		others := n.set.Params.Count - 1
		switch {
		case others <= 0:
			return n.op.Budgets.Use
		case leads:
			return leaders * n.op.Budgets.Use
		}
		return (1 - leaders) / float64(others) * n.op.Budgets.Use
	}
	rps, writeRPS = n.set.Params.State.Rates(n.limits.fallen.Load())
	return rps * part(n.op.Budgets.LeaderShare), writeRPS * part(n.op.Budgets.LeaderWriteShare)
}

// submitsAtOnce is how many submissions this node can have recorded in the time
// that a user is let wait: each is one change.
func (n *Node) submitsAtOnce() int {
	_, changes := n.share(false)
	return max(constants.MinConcurrentSubmits, int(changes*(1+constants.UserRequestTimeout.Seconds())))
}

// LimitRuntime keeps the Go runtime within the machine's limits.
func LimitRuntime(lim config.MachineLimits) {
	if lim.MemMB > 0 {
		debug.SetMemoryLimit(int64(lim.MemMB * constants.MemoryShare * (1 << 20)))
		// Collect seldom: the memory limit above keeps the heap in bounds.
		debug.SetGCPercent(constants.GCPercent)
	}
	if lim.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(lim.Cores)))
	}
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	users, err := userapi.NewServer(userapi.Options{
		Store:          n.store,
		Teams:          n.set.Params.Teams,
		Limits:         n.set.Params.State,
		MaxSubmissions: n.submitsAtOnce(),
		MachineTypes:   func() []jobs.MachineType { return n.catalog.Load().JobMachineTypes() },
		Progress:       n.progress,
		Ready:          n.ready,
		Log:            n.log,
	})
	if err != nil {
		return err
	}
	n.intake.Store(users)
	own := http.NewServeMux()
	users.Register(own)
	n.users = own
	mux := http.NewServeMux()
	for _, path := range []string{"/work", "/work/", "/ready"} {
		mux.HandleFunc(path, n.serveUser)
	}
	mux.HandleFunc("POST /hello", n.serveHeartbeat)
	n.registerOperators(mux)

	listen, err := n.net.Listen("tcp", n.set.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	listen = door{listen, n.sockets}
	meshListen, err := n.net.Listen("tcp", n.set.PeerListen)
	if err != nil {
		return fmt.Errorf("mesh: %w", err)
	}
	srv := &http.Server{
		Handler: mux, ReadHeaderTimeout: constants.HeaderTimeout, ReadTimeout: constants.BodyTimeout,
		IdleTimeout: constants.IdleTimeout, MaxHeaderBytes: 16 << 10,
		ErrorLog:  slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
		ConnState: n.sockets.follow, ConnContext: n.sockets.accepted,
	}
	attrs := []any{"label", n.set.NodeName, "site", n.set.Site, "listen", n.set.Listen}
	bySockets, byMemory := n.set.WorkerCapacity()
	if !math.IsInf(bySockets, 1) {
		attrs = append(attrs, "room_for_workers_by_sockets", bySockets)
	}
	if !math.IsInf(byMemory, 1) {
		attrs = append(attrs, "room_for_workers_by_memory", byMemory)
	}
	n.log.Info("serving", attrs...)
	n.warn(constants.MinWorkers)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := srv.Serve(listen); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), constants.ShutdownGrace)
		defer cancel()
		return srv.Shutdown(stop)
	})
	group.Go(func() error {
		return peers.Serve(ctx, meshListen, n, max(1, len(n.set.Peers))*constants.MeshConnsPerNode)
	})
	group.Go(func() error { return n.keepCatalog(ctx) })
	group.Go(func() error { return n.watchHealth(ctx) })
	group.Go(func() error { return n.watchNeeds(ctx) })
	group.Go(func() error { return users.FollowOpenJobs(ctx) })
	group.Go(func() error { return users.ServeStatusQueries(ctx) })
	group.Go(func() error { return n.elector.Run(ctx, n.runTerm) })
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// runTerm runs one term.
func (n *Node) runTerm(ctx context.Context, g election.Grant) error {
	set := *n.set
	set.Params.State = n.limits.within(set.Params.State)
	l := leader.New(leader.Deps{
		Settings: &set, Operator: n.op, Store: n.store, Cloud: n.cloud, Workers: workers.NewCommandClient(n.net.DialContext),
		Catalog: n.catalog.Load, Usage: n.store.Budget.Usage, Attest: n.collectAttestations, ReadsLargeRing: n.readsLargeRing, Log: n.log,
	}, g)
	n.store.Budget.SetRates(n.share(true))
	n.leading.Store(l)
	defer func() {
		n.leading.Store(nil)
		n.store.Budget.SetRates(n.share(false))
	}()
	err := l.Run(ctx)
	if errors.Is(err, leader.ErrTxnTooLarge) {
		n.limits.shrink()
	}
	return err
}

// ready tells whether users may be sent here. It does not follow the state
// service's outages: they hit all nodes alike, and a node that is taken out
// is brought back only slowly. Only a node that reaches neither the state
// service nor any other node sends users elsewhere.
func (n *Node) ready() bool { return n.catalog.Load() != nil && !n.lonely.Load() }

// Progress tells how far jobs are if this node leads.
func (n *Node) Progress(ctx context.Context, jobs []string) map[string]peers.TaskCounts {
	l := n.leading.Load()
	if l == nil {
		return nil
	}
	out := make(map[string]peers.TaskCounts, len(jobs))
	for id, p := range l.Progress(ctx, jobs) {
		out[id] = peers.TaskCounts(p)
	}
	return out
}

// progress asks whoever leads.
func (n *Node) progress(ctx context.Context, jobs []string) map[string]userapi.TaskCounts {
	var counts map[string]peers.TaskCounts
	if n.leading.Load() != nil {
		counts = n.Progress(ctx, jobs)
	} else if label, _ := n.elector.Leader(); label != "" && label != n.set.NodeName {
		var err error
		if counts, err = n.peers.Progress(ctx, label, jobs); err != nil {
			return nil
		}
	}
	out := make(map[string]userapi.TaskCounts, len(counts))
	for id, c := range counts {
		out[id] = userapi.TaskCounts(c)
	}
	return out
}

// serveHeartbeat answers workers: the leader gives orders, the others name it.
func (n *Node) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	raw, ok := userapi.ReadBody(w, r)
	if !ok {
		return
	}
	rep, err := workers.DecodeHeartbeat(raw)
	if err != nil {
		userapi.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if l := n.leading.Load(); l != nil {
		ctx, cancel := context.WithTimeout(r.Context(), constants.HeartbeatTimeout)
		defer cancel()
		a, ok := l.Heartbeat(ctx, rep)
		if n.sockets.worker(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		if ok && a.Status == http.StatusOK {
			userapi.WriteJSON(w, http.StatusOK, a.Answer)
			return
		}
		userapi.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "not able to act now"})
		return
	}
	body := map[string]string{}
	if label, _ := n.elector.Leader(); label != "" && label != n.set.NodeName {
		body["foreman"] = label
	}
	// A worker that is sent on has no use for this connection.
	w.Header().Set("Connection", "close")
	userapi.WriteJSON(w, http.StatusMisdirectedRequest, body)
}

// keepCatalog keeps the catalog at hand: from the cloud, or as another node
// has recorded it.
func (n *Node) keepCatalog(ctx context.Context) error {
	for ctx.Err() == nil {
		if n.catalog.Load() == nil {
			n.recallCatalog(ctx)
		}
		wait := constants.CatalogInterval
		if n.catalog.Load() == nil || n.leading.Load() != nil {
			cat, err := n.cloud.Catalog(ctx)
			if err != nil {
				n.log.Debug("no catalog", "err", err)
			} else {
				n.catalog.Store(cat)
				n.recordCatalog(ctx, cat)
			}
		}
		if n.catalog.Load() == nil {
			wait = constants.CatalogRetry
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
	}
	return ctx.Err()
}

func (n *Node) recallCatalog(ctx context.Context) {
	row, found, err := n.store.Get(ctx, statestore.ClassPoll, catalogKey)
	if err != nil || !found {
		return
	}
	var cat autoscaling.Catalog
	if err := json.Unmarshal(row.Value, &cat); err != nil || cat.Validate() != nil {
		n.log.Error("recorded catalog is unreadable", "err", err)
		return
	}
	n.catalog.Store(&cat)
}

func (n *Node) recordCatalog(ctx context.Context, cat *autoscaling.Catalog) {
	raw, err := json.Marshal(cat)
	if err != nil {
		return
	}
	if _, err := n.store.Txn(ctx, statestore.ClassOther, nil, []statestore.Write{{Put: catalogKey, Value: raw}}); err != nil {
		n.log.Debug("catalog not recorded", "err", err)
	}
}
