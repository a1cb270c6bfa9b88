package node

import (
	"context"

	"thornnotch/internal/constants"
)

// allReadLargeRing tells whether every node of the site runs a version that reads the
// log's large ring. Each must say so itself, now: a node that is silent may come back
// with an earlier version.
func (n *Node) allReadLargeRing(ctx context.Context) bool {
	if len(n.settings.Peers)+1 < n.settings.Params.Count {
		return false
	}
	for _, peer := range n.settings.Peers {
		formats, err := n.peers.Formats(ctx, peer.Name)
		if err != nil || formats.LogRing < constants.LogLargeRingSize {
			return false
		}
	}
	return true
}
