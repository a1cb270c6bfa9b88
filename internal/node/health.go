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

// healthMonitor finds nodes that can serve users while the state service fails this
// one. The state service may refuse one node alone, or be out of its reach, while the
// others work. A node can't tell that from an outage by itself, so it asks the others;
// as long as one of them is served, users' requests are relayed there instead of being
// refused.
type healthMonitor struct {
	store    *statestore.Client
	peers    *peers.Client
	settings *config.Settings

	// helpers are nodes that the state service answers; nil while it answers this one.
	helpers atomic.Pointer[[]string]
	// isolated is set when neither the state service nor any other node answers.
	isolated atomic.Bool
}

// Healthy tells other nodes whether the state service answers this one.
func (n *Node) Healthy() bool { return n.health.healthy() }

func (m *healthMonitor) healthy() bool {
	return m.store.FailingFor() == 0 && time.Since(m.store.LastSuccess()) < constants.HealthMaxAge
}

// run checks the state service until ctx ends.
func (m *healthMonitor) run(ctx context.Context) error {
	ticker := time.NewTicker(constants.HealthCheckInterval)
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

// check asks all other nodes if the state service has failed for so long that they can
// be asked.
func (m *healthMonitor) check(ctx context.Context) {
	failing := m.store.FailingFor()
	if failing < constants.HealthCheckInterval {
		m.helpers.Store(nil)
		m.isolated.Store(false)
		return
	}
	helpers, reached := m.askPeers(ctx)
	m.helpers.Store(&helpers)
	m.isolated.Store(reached == 0 && len(m.settings.Peers) > 0 && failing > constants.IsolatedAfter)
}

// askPeers asks all other nodes at once. It returns those that the state service
// answers, and how many answered at all.
func (m *healthMonitor) askPeers(ctx context.Context) (helpers []string, reached int) {
	var mu sync.Mutex // guards both results
	var asking sync.WaitGroup
	for _, peer := range m.settings.Peers {
		asking.Go(func() {
			healthy, err := m.peers.Health(ctx, peer.Name)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				reached++
			}
			if healthy {
				helpers = append(helpers, peer.Name)
			}
		})
	}
	asking.Wait()
	return helpers, reached
}

// relayTargets are the nodes that a user's request may be relayed to now.
func (m *healthMonitor) relayTargets() []string {
	helpers := m.helpers.Load()
	if helpers == nil {
		return nil
	}
	return (*helpers)[:min(len(*helpers), constants.MaxRelayTargets)]
}
