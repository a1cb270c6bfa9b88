package config

import (
	"fmt"
	"math"

	"thornnotch/internal/constants"
)

// ownSockets is how many sockets the calls of a node with so many peers take.
func ownSockets(peers int) int {
	const direct = constants.StateConns + constants.StateLeaseConns + constants.CloudConns +
		constants.MaxCommandsInFlight + constants.MaxIdleCommandConns
	return direct + peers*(1+constants.MeshConnsPerNode) + constants.SocketMargin
}

// SocketLimit is how many connections users and workers may have together: all
// sockets but those that our own calls need, which are bounded in number. 0
// means that there is no limit.
func (s *Settings) SocketLimit() int {
	all := s.Params.MachineLimits.Sockets
	if all <= 0 {
		return 0
	}
	reserved := min(ownSockets(len(s.Peers)), int(float64(all)*constants.MaxReservedSocketShare))
	return max(constants.MinSockets, all-reserved)
}

// WorkerCapacity is how many workers one node can serve by its sockets and by its memory,
// with some users beside them. Infinite where there is no limit.
func (s *Settings) WorkerCapacity() (bySockets, byMemory float64) {
	bySockets, byMemory = math.Inf(1), math.Inf(1)
	if sockets := s.SocketLimit(); sockets > 0 {
		bySockets = max(0, float64(sockets-constants.MinUsers))
	}
	if memMB := s.Params.MachineLimits.MemMB; memMB > 0 {
		byMemory = max(0, math.Floor((memMB-constants.BaseMemoryMB)/constants.MemoryPerWorkerMB))
	}
	return bySockets, byMemory
}

// SizingWarnings name the settings under which a node can't serve so many workers, each with
// what it is and what it would have to be. They are no reason not to start: the node
// serves those it can.
func (s *Settings) SizingWarnings(workers int) []string {
	var warnings []string
	for _, warning := range []string{s.socketWarning(workers), s.memoryWarning(workers), s.cloudRateWarning(workers)} {
		if warning != "" {
			warnings = append(warnings, warning)
		}
	}
	return warnings
}

// socketWarning is empty if the sockets are enough for so many workers.
func (s *Settings) socketWarning(workers int) string {
	bySockets, _ := s.WorkerCapacity()
	if bySockets >= float64(workers) {
		return ""
	}
	return fmt.Sprintf("params.machine_limits.sockets: %d leave room for %.0f workers beside %d users and our own calls; %d are to be expected: all of them would take %d",
		s.Params.MachineLimits.Sockets, bySockets, constants.MinUsers, workers, workers+constants.MinUsers+ownSockets(len(s.Peers)))
}

// memoryWarning is empty if the memory is enough for so many workers.
func (s *Settings) memoryWarning(workers int) string {
	_, byMemory := s.WorkerCapacity()
	if byMemory >= float64(workers) {
		return ""
	}
	neededMB := constants.BaseMemoryMB + float64(workers)*constants.MemoryPerWorkerMB
	return fmt.Sprintf("params.machine_limits.mem_mb: %g are enough for %.0f workers; %d are to be expected: they would take about %.0f",
		s.Params.MachineLimits.MemMB, byMemory, workers, neededMB)
}

// cloudRateWarning is empty if reading the list of so many machines leaves enough of the
// cloud's rate for renting and returning.
func (s *Settings) cloudRateWarning(machines int) string {
	rps, listRPS := s.Params.Cloud.RPS, s.listRPS(machines)
	if rps <= 0 || listRPS <= rps*constants.MaxListShare { // 0: no limit is set
		return ""
	}
	return fmt.Sprintf("params.cloud.rps: %g leave too little for renting and returning; %d machines are to be expected: their list alone takes %.1f, so it should be %.1f",
		rps, machines, listRPS, listRPS/constants.MaxListShare)
}

// listRPS is how many calls a second the cloud's list of so many machines takes.
func (s *Settings) listRPS(machines int) float64 {
	pages := math.Ceil(float64(machines) / constants.InstanceListPage)
	return pages / max(s.Params.Cloud.ListLagS, constants.MinListInterval.Seconds())
}
