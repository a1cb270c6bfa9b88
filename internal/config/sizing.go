package config

import (
	"fmt"
	"math"

	"thornnotch/internal/constants"
)

// socketsKept is how many sockets the calls of a node with so many others take.
func socketsKept(known int) int {
	return constants.StateConns + constants.StateLeaseConns + constants.CloudConns + constants.MaxCommandsInFlight + constants.MaxIdleCommandConns +
		known*(1+constants.MeshConnsPerNode) + constants.SocketMargin
}

// SocketLimit is how many connections users and workers may have together: all
// sockets but those that our own calls need, which are bounded in number. 0
// means that there is no limit.
func (s *Settings) SocketLimit() int {
	all := s.Params.MachineLimits.Sockets
	if all <= 0 {
		return 0
	}
	kept := min(socketsKept(len(s.Peers)), int(float64(all)*constants.MaxReservedSocketShare))
	return max(constants.MinSockets, all-kept)
}

// WorkerCapacity tells how many workers one node can serve by its sockets and by its
// memory, with some users beside them. Infinite where there is no limit.
func (s *Settings) WorkerCapacity() (bySockets, byMemory float64) {
	bySockets, byMemory = math.Inf(1), math.Inf(1)
	if n := s.SocketLimit(); n > 0 {
		bySockets = max(0, float64(n-constants.MinUsers))
	}
	if mb := s.Params.MachineLimits.MemMB; mb > 0 {
		byMemory = max(0, math.Floor((mb-constants.BaseMemoryMB)/constants.MemoryPerWorkerMB))
	}
	return bySockets, byMemory
}

// listCalls is how many calls a second the cloud's list of so many machines takes.
func (s *Settings) listCalls(machines int) float64 {
	pages := math.Ceil(float64(machines) / constants.InstanceListPage)
	return pages / max(s.Params.Cloud.ListLagS, constants.MinListInterval.Seconds())
}

// SizingWarnings name the settings under which a node can't serve so many workers, each with
// what it is and what it would have to be. They are no reason not to start: the node
// serves those it can.
func (s *Settings) SizingWarnings(workers int) (out []string) {
	bySockets, byMemory := s.WorkerCapacity()
	need := float64(workers)
	if bySockets < need {
		out = append(out, fmt.Sprintf("params.machine_limits.sockets: %d leave room for %.0f workers beside %d users and our own calls; %d are to be expected: all of them would take %d",
			s.Params.MachineLimits.Sockets, bySockets, constants.MinUsers, workers, workers+constants.MinUsers+socketsKept(len(s.Peers))))
	}
	if byMemory < need {
		out = append(out, fmt.Sprintf("params.machine_limits.mem_mb: %g are enough for %.0f workers; %d are to be expected: they would take about %.0f",
			s.Params.MachineLimits.MemMB, byMemory, workers, constants.BaseMemoryMB+need*constants.MemoryPerWorkerMB))
	}
	if rps, list := s.Params.Cloud.RPS, s.listCalls(workers); rps > 0 && list > rps*constants.MaxListShare {
		out = append(out, fmt.Sprintf("params.cloud.rps: %g leave too little for renting and returning; %d machines are to be expected: their list alone takes %.1f, so it should be %.1f",
			rps, workers, list, list/constants.MaxListShare))
	}
	return out
}
