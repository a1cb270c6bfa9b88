package node

import (
	"context"
	"sync"
	"time"

	"thornnotch/internal/attestation"
)

// AttestCancellations tells another node which cancellations this process has told users of.
func (n *Node) AttestCancellations(span time.Duration) (cancelled []string, ok bool) {
	u := n.intake.Load()
	if u == nil {
		return nil, false // it has just begun
	}
	return u.AttestCancellations(span)
}

// collectAttestations asks this node and all others.
func (n *Node) collectAttestations(ctx context.Context, span time.Duration) (cancelled []string, ok bool) {
	words := make([]attestation.Attestation, 1+len(n.set.Peers))
	var wait sync.WaitGroup
	for i, k := range n.set.Peers {
		wait.Go(func() { words[1+i].Cancelled, words[1+i].Complete = n.peers.AttestCancellations(ctx, k.Name, span) })
	}
	words[0].Cancelled, words[0].Complete = n.AttestCancellations(span)
	wait.Wait()
	return attestation.Merge(words, n.set.Params.Count)
}
