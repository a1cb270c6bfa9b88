package node

import (
	"context"

	"thornnotch/internal/constants"
)

// allReadLargeRing reports whether every node of the site runs a version that can read the
// large log ring. Each node must confirm it in this call, because a node that does not answer
// might come back with an older version.
func (n *Node) allReadLargeRing(ctx context.Context) bool {
	if len(n.settings.Peers)+1 < n.settings.Params.NodeCount {
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
