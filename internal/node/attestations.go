package node

import (
	"context"
	"sync"
	"time"

	"thornnotch/internal/attestation"
)

// AttestCancellations tells another node which cancellations this process has
// confirmed to users within the span.
func (n *Node) AttestCancellations(span time.Duration) (cancelled []string, ok bool) {
	if n.userServer == nil {
		return nil, false // the process has just begun
	}
	return n.userServer.AttestCancellations(span)
}

// collectAttestations asks this node and, at once, all others.
func (n *Node) collectAttestations(ctx context.Context, span time.Duration) (cancelled []string, ok bool) {
	attestations := make([]attestation.Attestation, 1+len(n.settings.Peers))
	var asking sync.WaitGroup
	for i, peer := range n.settings.Peers {
		asking.Go(func() {
			answer := &attestations[1+i]
			answer.Cancelled, answer.Complete = n.peers.AttestCancellations(ctx, peer.Name, span)
		})
	}
	attestations[0].Cancelled, attestations[0].Complete = n.AttestCancellations(span)
	asking.Wait()
	return attestation.Merge(attestations, n.settings.Params.Count)
}
