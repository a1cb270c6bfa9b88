package node

import (
	"context"

	"thornnotch/internal/constants"
)

// readsLargeRing tells whether every node of the site runs a version that reads the
// log's large ring. Each must say so itself, now: a node that is silent may come back
// with an earlier version.
func (n *Node) readsLargeRing(ctx context.Context) bool {
	if len(n.set.Peers)+1 < n.set.Params.Count {
		return false
	}
	for _, k := range n.set.Peers {
		formats, err := n.peers.Formats(ctx, k.Name)
		if err != nil || formats.LogRing < constants.LogLargeRingSize {
			return false
		}
	}
	return true
}
