package node

import (
	"context"

	"thornnotch/internal/peers"
	"thornnotch/internal/userapi"
)

// Progress tells other nodes the progress of jobs if this node leads.
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

// progress asks the leader for the progress of jobs. It is for display: nil if the
// leader can't be reached.
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
