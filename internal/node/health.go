package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/peers"
	"thornnotch/internal/statestore"
)

// healthMonitor finds peers that can serve users while this node's requests to the state
// service fail. The state service may refuse a single node, or be unreachable from it, while it
// serves the other nodes. A node cannot distinguish that from an outage by itself, so it queries
// its peers. While the state service answers any of them, users' requests are relayed to such a
// peer instead of being rejected.
type healthMonitor struct {
	store    *statestore.Client
	peers    *peers.Client
	settings *config.Settings

	// healthyPeers holds the names of the peers that the state service answers. It is nil while
	// the state service answers this node.
	healthyPeers atomic.Pointer[[]string]
	// isolated is set while neither the state service nor any peer answers, once the state
	// service has been failing for longer than constants.IsolatedAfter. It is never set on a
	// node without peers.
	isolated atomic.Bool
}

// Healthy reports to other nodes whether the state service answers this one.
func (n *Node) Healthy() bool { return n.health.healthy() }

func (m *healthMonitor) healthy() bool {
	return m.store.FailingFor() == 0 && time.Since(m.store.LastSuccess()) < constants.MaxStateResponseAge
}

// run checks the state service periodically until ctx is done.
func (m *healthMonitor) run(ctx context.Context) error {
	ticker := time.NewTicker(constants.PeerHealthCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.check(ctx)
		}
	}
}

// check queries the peers if the state service has been failing for at least
// constants.PeerHealthCheckInterval. Otherwise it discards the earlier results.
func (m *healthMonitor) check(ctx context.Context) {
	failing := m.store.FailingFor()
	if failing < constants.PeerHealthCheckInterval {
		m.healthyPeers.Store(nil)
		m.isolated.Store(false)
		return
	}
	healthyPeers, reached := m.queryPeers(ctx)
	m.healthyPeers.Store(&healthyPeers)
	m.isolated.Store(reached == 0 && len(m.settings.Peers) > 0 && failing > constants.IsolatedAfter)
}

// queryPeers queries all peers concurrently. It returns the names of the peers that the state
// service answers, and the number of peers that responded.
func (m *healthMonitor) queryPeers(ctx context.Context) (healthyPeers []string, reached int) {
	var mu sync.Mutex // guards healthyPeers and reached
	var wg sync.WaitGroup
	for _, peer := range m.settings.Peers {
		wg.Go(func() {
			healthy, err := m.peers.Health(ctx, peer.Name)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				reached++
			}
			if healthy {
				healthyPeers = append(healthyPeers, peer.Name)
			}
		})
	}
	wg.Wait()
	return healthyPeers, reached
}

// relayTargets returns the names of the peers that a user's request can be relayed to, at most
// constants.MaxRelayTargets. There are none while the state service answers this node.
func (m *healthMonitor) relayTargets() []string {
	healthyPeers := m.healthyPeers.Load()
	if healthyPeers == nil {
		return nil
	}
	return (*healthyPeers)[:min(len(*healthyPeers), constants.MaxRelayTargets)]
}
