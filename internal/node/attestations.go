package node

import (
	"context"
	"sync"
	"time"

	"thornnotch/internal/attestation"
)

// AttestCancellations returns, for the leader, the IDs of the jobs whose cancellation this
// process has confirmed to users, at most span ago. It reports false if it can't attest that the
// list is complete.
func (n *Node) AttestCancellations(span time.Duration) (cancelled []string, ok bool) {
	if n.userServer == nil {
		return nil, false // the process is still starting
	}
	return n.userServer.AttestCancellations(span)
}

// collectAttestations queries all peers concurrently and returns the cancellations that they and
// this node attest to. It reports false unless every node of the site has attested.
func (n *Node) collectAttestations(ctx context.Context, span time.Duration) (cancelled []string, ok bool) {
	attestations := make([]attestation.Attestation, 1+len(n.settings.Peers))
	var wg sync.WaitGroup
	for i, peer := range n.settings.Peers {
		wg.Go(func() {
			result := &attestations[1+i]
			result.Cancelled, result.Complete = n.peers.AttestCancellations(ctx, peer.Name, span)
		})
	}
	attestations[0].Cancelled, attestations[0].Complete = n.AttestCancellations(span)
	wg.Wait()
	return attestation.Merge(attestations, n.settings.Params.NodeCount)
}
