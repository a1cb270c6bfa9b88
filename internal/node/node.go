// Package node runs one controller process: its listeners, the leader election, the users'
// API, and the status and metrics for operators.
package node

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/leader"
	"thornnotch/internal/peers"
	"thornnotch/internal/statestore"
	"thornnotch/internal/userapi"
)

// Node is one controller process. Run starts all its goroutines and waits for them. State that
// the goroutines share is set before they start, is atomic, or is guarded by its own mutex.
type Node struct {
	network  Network
	settings *config.Settings
	operator config.Operator
	log      *slog.Logger
	version  string

	store   *statestore.Client
	cloud   *autoscaling.CloudClient
	elector *election.Elector
	peers   *peers.Client

	catalog     *catalogCache
	health      *healthMonitor
	connections *connTracker
	stateLimits stateLimits
	// sizingWarnings has a warning for each setting that is too small for the fleet; nil until
	// the first check.
	sizingWarnings atomic.Pointer[[]string]
	// leading is the leader component of the term that this node holds; nil while it does not
	// lead.
	leading atomic.Pointer[leader.Leader]

	// userServer and userHandler are set by Run before it starts any goroutine.
	userServer  *userapi.Server
	userHandler http.Handler
}

// New returns a node with the given settings. Run starts it.
func New(settings *config.Settings, operator config.Operator, network Network, log *slog.Logger) *Node {
	n := &Node{
		network: network, settings: settings, operator: operator, log: log, version: buildVersion(),
		connections: newConnTracker(settings.SocketLimit()),
	}
	n.store = statestore.New(settings.Services.State, statestore.NewBudget(n.stateRates(false)), network.DialContext)
	n.store.OnRateLimited = n.onRateLimited
	n.cloud = autoscaling.NewCloudClient(settings.Services.Cloud, settings.Params.Cloud.RPS*operator.Budgets.UsableShare, network.DialContext)
	n.elector = election.New(settings.NodeName, n.store, log)
	n.peers = peers.NewClient(peerAddresses(settings.Peers), network.DialContext)
	n.catalog = &catalogCache{cloud: n.cloud, store: n.store, leads: n.leads, log: log}
	n.health = &healthMonitor{store: n.store, peers: n.peers, settings: settings}
	return n
}

func peerAddresses(configured []config.Peer) map[string]string {
	addresses := make(map[string]string, len(configured))
	for _, peer := range configured {
		addresses[peer.Name] = peer.Addr
	}
	return addresses
}

// leads reports whether this node leads.
func (n *Node) leads() bool { return n.leading.Load() != nil }

// ready reports whether users may be sent to this node. An outage of the state service alone
// does not make a node unready: it affects all nodes alike, and a load balancer is slow to
// bring a removed node back. A node is unready only if it reaches neither the state service
// nor any peer, or if it has no catalog yet.
func (n *Node) ready() bool { return n.catalog.load() != nil && !n.health.isolated.Load() }

// onRateLimited handles the refusal of a call by the state service's rate limit. It reduces
// the node's own rates if the refusals show that the service has lowered its limits.
func (n *Node) onRateLimited() {
	if n.stateLimits.recordRateLimited(time.Now()) {
		n.log.Info("state service rate limits lowered")
		n.store.Budget.SetRates(n.stateRates(n.leads()))
	}
}

// stateRates returns this node's share of the state service's rate limits, in requests and in
// writes per second.
func (n *Node) stateRates(leads bool) (rps, writeRPS float64) {
	rps, writeRPS = n.settings.Params.State.Rates(n.stateLimits.ratesLowered.Load())
	budgets := n.operator.Budgets
	return rps * n.rateShare(leads, budgets.LeaderShare), writeRPS * n.rateShare(leads, budgets.LeaderWriteShare)
}

// rateShare returns the fraction of a rate limit that this node may use. The leader gets
// leaderShare of the usable part, and the other nodes split the remainder evenly. A node without
// peers gets all of the usable part.
func (n *Node) rateShare(leads bool, leaderShare float64) float64 {
	usable := n.operator.Budgets.UsableShare
	followers := n.settings.Params.NodeCount - 1
	switch {
	case followers <= 0:
		return usable
	case leads:
		return leaderShare * usable
	}
	return (1 - leaderShare) / float64(followers) * usable
}

// maxConcurrentSubmissions returns how many submissions this node can write before they time
// out, or constants.MinConcurrentSubmissions if that is more. Each takes one write. A full budget
// holds the writes of one second, and more become available until constants.UserRequestTimeout.
func (n *Node) maxConcurrentSubmissions() int {
	_, writeRPS := n.stateRates(false)
	return max(constants.MinConcurrentSubmissions, int(writeRPS*(1+constants.UserRequestTimeout.Seconds())))
}
