package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader"
	"thornnotch/internal/peers"
	"thornnotch/internal/userapi"
	"thornnotch/internal/workers"
)

// Run serves until ctx is done and returns once all goroutines of the node have finished.
func (n *Node) Run(ctx context.Context) error {
	if err := n.prepareUserAPI(); err != nil {
		return err
	}
	listener, err := n.network.Listen("tcp", n.settings.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s for users and workers: %w", n.settings.Listen, err)
	}
	peerListener, err := n.network.Listen("tcp", n.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listen on %s for other nodes: %w", n.settings.PeerListen, err)
	}
	n.logStart()
	n.checkSizing(constants.MinWorkers)

	server := n.httpServer()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serveHTTP(server, limitedListener{listener, n.connections}) })
	group.Go(func() error { return shutDownAfter(ctx, server) })
	group.Go(func() error { return peers.Serve(ctx, peerListener, n, n.maxPeerConns()) })
	group.Go(func() error { return n.catalog.run(ctx) })
	group.Go(func() error { return n.health.run(ctx) })
	group.Go(func() error { return n.watchResources(ctx) })
	group.Go(func() error { return n.userServer.FollowOpenJobs(ctx) })
	group.Go(func() error { return n.userServer.ServeStatusQueries(ctx) })
	group.Go(func() error { return n.elector.Run(ctx, n.runTerm) })
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// prepareUserAPI sets up the users' API.
func (n *Node) prepareUserAPI() error {
	users, err := userapi.NewServer(userapi.Options{
		Store:          n.store,
		Teams:          n.settings.Params.Teams,
		Limits:         n.settings.Params.State,
		MaxSubmissions: n.maxConcurrentSubmissions(),
		MachineTypes:   func() []jobs.MachineType { return n.catalog.load().JobMachineTypes() },
		Progress:       n.progress,
		Ready:          n.ready,
		Log:            n.log,
	})
	if err != nil {
		return fmt.Errorf("set up user API: %w", err)
	}
	mux := http.NewServeMux()
	users.Register(mux)
	n.userServer, n.userHandler = users, mux
	return nil
}

// httpServer returns the server for users, workers and operators, who all use the same
// address.
func (n *Node) httpServer() *http.Server {
	mux := http.NewServeMux()
	for _, path := range []string{"/work", "/work/", "/ready"} {
		mux.HandleFunc(path, n.serveUser)
	}
	mux.HandleFunc("POST /hello", n.serveHeartbeat)
	n.registerOperatorEndpoints(mux)
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: constants.HeaderTimeout, ReadTimeout: constants.RequestReadTimeout,
		IdleTimeout: constants.IdleTimeout, MaxHeaderBytes: constants.MaxHeaderBytes,
		ErrorLog:  slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
		ConnState: n.connections.onStateChange, ConnContext: n.connections.connContext,
	}
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve users and workers: %w", err)
	}
	return nil
}

// shutDownAfter shuts the server down once ctx is done. Requests in flight get
// constants.ShutdownGrace to finish.
func shutDownAfter(ctx context.Context, server *http.Server) error {
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), constants.ShutdownGrace)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}

// maxPeerConns returns the maximum number of connections from other nodes.
func (n *Node) maxPeerConns() int {
	return max(1, len(n.settings.Peers)) * constants.MaxConnsPerPeer
}

func (n *Node) logStart() {
	attrs := []any{"node", n.settings.NodeName, "zone", n.settings.Zone, "listen", n.settings.Listen}
	bySockets, byMemory := n.settings.WorkerCapacity()
	if !math.IsInf(bySockets, 1) {
		attrs = append(attrs, "room_for_workers_by_sockets", bySockets)
	}
	if !math.IsInf(byMemory, 1) {
		attrs = append(attrs, "room_for_workers_by_memory", byMemory)
	}
	n.log.Info("node started", attrs...)
}

// runTerm runs the leader for one term.
func (n *Node) runTerm(ctx context.Context, grant election.Grant) error {
	settings := *n.settings
	settings.Params.State = n.stateLimits.apply(settings.Params.State)
	term := leader.New(leader.Deps{
		Settings: &settings, Operator: n.operator, Store: n.store, Cloud: n.cloud, Workers: workers.NewCommandClient(n.network.DialContext),
		Catalog: n.catalog.load, Usage: n.store.Budget.Usage, Attest: n.collectAttestations, ReadsLargeRing: n.allReadLargeRing, Log: n.log,
	}, grant)
	n.store.Budget.SetRates(n.stateRates(true))
	n.leading.Store(term)
	defer func() {
		n.leading.Store(nil)
		n.store.Budget.SetRates(n.stateRates(false))
	}()
	err := term.Run(ctx)
	if errors.Is(err, leader.ErrTxnTooLarge) {
		n.stateLimits.halveSizes()
	}
	return err
}
