package node

import (
	"context"

	"thornnotch/internal/peers"
	"thornnotch/internal/userapi"
)

// Progress returns, for other nodes, the progress of jobs by ID, or nil if this node does not
// lead.
func (n *Node) Progress(ctx context.Context, jobs []string) map[string]peers.TaskCounts {
	term := n.leading.Load()
	if term == nil {
		return nil
	}
	progress := make(map[string]peers.TaskCounts, len(jobs))
	for id, counts := range term.Progress(ctx, jobs) {
		progress[id] = peers.TaskCounts(counts)
	}
	return progress
}

// progress returns the progress of jobs by ID, as the leader knows it. The result is empty or
// nil if no leader is known or the call to it fails. That is not an error because the progress
// is only for display.
func (n *Node) progress(ctx context.Context, jobs []string) map[string]userapi.TaskCounts {
	var fromLeader map[string]peers.TaskCounts
	if n.leads() {
		fromLeader = n.Progress(ctx, jobs)
	} else if leader, _ := n.elector.Leader(); leader != "" && leader != n.settings.NodeName {
		var err error
		if fromLeader, err = n.peers.Progress(ctx, leader, jobs); err != nil {
			return nil
		}
	}
	progress := make(map[string]userapi.TaskCounts, len(fromLeader))
	for id, counts := range fromLeader {
		progress[id] = userapi.TaskCounts(counts)
	}
	return progress
}
