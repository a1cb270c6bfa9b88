// Package node puts one controller process together: its listeners, the component that
// may lead, the users' interface, and what operators ask for.
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

// Node is one controller process. Run starts all its goroutines and waits for them;
// what they share is set before, is atomic, or guards itself.
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
	// undersized are the settings that are too small for the fleet; nil until the
	// first check.
	undersized atomic.Pointer[[]string]
	// leading is the leader of the term that this node holds; nil while it does not.
	leading atomic.Pointer[leader.Leader]

	// userServer and its handler are set by Run before it starts any goroutine.
	userServer  *userapi.Server
	userHandler http.Handler
}

// New makes a node from its settings.
func New(settings *config.Settings, operator config.Operator, network Network, log *slog.Logger) *Node {
	n := &Node{
		network: network, settings: settings, operator: operator, log: log, version: buildVersion(),
		connections: newConnTracker(settings.SocketLimit()),
	}
	n.store = statestore.New(settings.Services.State, statestore.NewBudget(n.stateRates(false)), network.DialContext)
	n.store.OnRateLimited = n.noteRateLimited
	n.cloud = autoscaling.NewCloudClient(settings.Services.Cloud, settings.Params.Cloud.RPS*operator.Budgets.Use, network.DialContext)
	n.elector = election.New(settings.NodeName, n.store, log)
	n.peers = peers.NewClient(peerAddresses(settings.Peers), network.DialContext)
	n.catalog = &catalogCache{cloud: n.cloud, store: n.store, leads: n.leads, log: log}
	n.health = &healthMonitor{store: n.store, peers: n.peers, settings: settings}
	return n
}

func peerAddresses(known []config.Peer) map[string]string {
	addresses := make(map[string]string, len(known))
	for _, peer := range known {
		addresses[peer.Name] = peer.Addr
	}
	return addresses
}

// leads tells whether this node leads.
func (n *Node) leads() bool { return n.leading.Load() != nil }

// ready tells whether users may be sent here. It does not follow the state
// service's outages: they hit all nodes alike, and a node that is taken out
// is brought back only slowly. Only a node that reaches neither the state
// service nor any other node sends users elsewhere.
func (n *Node) ready() bool { return n.catalog.load() != nil && !n.health.isolated.Load() }

// noteRateLimited follows a refusal for too many calls by the state service.
func (n *Node) noteRateLimited() {
	if n.stateLimits.noteRefusal(time.Now()) {
		n.log.Info("the state service has lowered its rates")
		n.store.Budget.SetRates(n.stateRates(n.leads()))
	}
}

// stateRates is this node's share of the calls to the state service.
func (n *Node) stateRates(leads bool) (rps, writeRPS float64) {
	rps, writeRPS = n.settings.Params.State.Rates(n.stateLimits.ratesLowered.Load())
	budgets := n.operator.Budgets
	return rps * n.rateShare(leads, budgets.LeaderShare), writeRPS * n.rateShare(leads, budgets.LeaderWriteShare)
}

// rateShare is this node's part of a rate of which the leader takes leaderShare and
// the other nodes share the rest.
func (n *Node) rateShare(leads bool, leaderShare float64) float64 {
	use := n.operator.Budgets.Use
	followers := n.settings.Params.Count - 1
	switch {
	case followers <= 0:
		return use
	case leads:
		return leaderShare * use
	}
	return (1 - leaderShare) / float64(followers) * use
}

// maxConcurrentSubmits is how many submissions this node can have recorded in the time
// that a user is let wait: each is one change.
func (n *Node) maxConcurrentSubmits() int {
	_, writeRPS := n.stateRates(false)
	return max(constants.MinConcurrentSubmits, int(writeRPS*(1+constants.UserRequestTimeout.Seconds())))
}
