package node

import (
	"context"
	"sync"
	"time"

	"thornnotch/internal/attestation"
)

// AttestCancellations returns, for the leader, the IDs of the jobs whose cancellation this
// process has confirmed to users within the window before now. It reports false if it can't
// attest that the list is complete.
func (n *Node) AttestCancellations(window time.Duration) (cancelled []string, ok bool) {
	if n.userServer == nil {
		return nil, false // the process is still starting
	}
	return n.userServer.AttestCancellations(window)
}

// collectAttestations queries all peers concurrently and returns the cancellations within the
// window that they and this node attest to. It reports false unless every node of the site has
// attested.
func (n *Node) collectAttestations(ctx context.Context, window time.Duration) (cancelled []string, ok bool) {
	attestations := make([]attestation.Attestation, 1+len(n.settings.Peers))
	var wg sync.WaitGroup
	for i, peer := range n.settings.Peers {
		wg.Go(func() {
			result := &attestations[1+i]
			result.Cancelled, result.Complete = n.peers.AttestCancellations(ctx, peer.Name, window)
		})
	}
	attestations[0].Cancelled, attestations[0].Complete = n.AttestCancellations(window)
	wg.Wait()
	return attestation.Merge(attestations, n.settings.Params.NodeCount)
}
