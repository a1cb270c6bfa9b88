package config

import (
	"fmt"
	"math"

	"thornnotch/internal/constants"
)

// internalSockets returns the number of sockets that a node needs in addition to those of users
// and workers: for its own calls, for the calls of its peers, and constants.SocketMargin.
func internalSockets(peers int) int {
	const direct = constants.StateConns + constants.StateLeaseConns + constants.MaxCloudConns +
		constants.MaxCommandsInFlight + constants.MaxIdleCommandConns
	return direct + peers*(1+constants.MaxConnsPerPeer) + constants.SocketMargin
}

// SocketLimit returns the maximum number of connections of users and workers together: all
// sockets except the reserved ones, which are those that internalSockets counts, but at most
// constants.MaxReservedSocketShare of all. It returns 0 if there is no limit.
func (s *Settings) SocketLimit() int {
	total := s.Params.MachineLimits.Sockets
	if total <= 0 {
		return 0
	}
	reserved := min(internalSockets(len(s.Peers)), int(float64(total)*constants.MaxReservedSocketShare))
	return max(constants.MinSocketLimit, total-reserved)
}

// WorkerCapacity returns how many workers one node can serve with its sockets, in addition to
// constants.MinUserConns connections of users, and how many with its memory. It returns infinity
// where there is no limit.
func (s *Settings) WorkerCapacity() (bySockets, byMemory float64) {
	bySockets, byMemory = math.Inf(1), math.Inf(1)
	if sockets := s.SocketLimit(); sockets > 0 {
		bySockets = max(0, float64(sockets-constants.MinUserConns))
	}
	if memMB := s.Params.MachineLimits.MemoryMB; memMB > 0 {
		byMemory = max(0, math.Floor((memMB-constants.BaseMemoryMB)/constants.MemoryPerWorkerMB))
	}
	return bySockets, byMemory
}

// SizingWarnings returns a warning for each setting that is too small for a node to serve the
// given number of workers. A warning contains the setting's value and the value needed. The node
// can still start, and serves as many workers as it can.
func (s *Settings) SizingWarnings(workers int) []string {
	var warnings []string
	for _, warning := range []string{s.socketWarning(workers), s.memoryWarning(workers), s.cloudRateWarning(workers)} {
		if warning != "" {
			warnings = append(warnings, warning)
		}
	}
	return warnings
}

// socketWarning returns a warning if there are too few sockets for the workers, else "".
func (s *Settings) socketWarning(workers int) string {
	bySockets, _ := s.WorkerCapacity()
	if bySockets >= float64(workers) {
		return ""
	}
	return fmt.Sprintf("params.machine_limits.sockets: %d leave room for %.0f workers beside %d users and our own calls; %d are to be expected: all of them would take %d",
		s.Params.MachineLimits.Sockets, bySockets, constants.MinUserConns, workers, workers+constants.MinUserConns+internalSockets(len(s.Peers)))
}

// memoryWarning returns a warning if there is too little memory for the workers, else "".
func (s *Settings) memoryWarning(workers int) string {
	_, byMemory := s.WorkerCapacity()
	if byMemory >= float64(workers) {
		return ""
	}
	neededMB := constants.BaseMemoryMB + float64(workers)*constants.MemoryPerWorkerMB
	return fmt.Sprintf("params.machine_limits.mem_mb: %g are enough for %.0f workers; %d are to be expected: they would take about %.0f",
		s.Params.MachineLimits.MemoryMB, byMemory, workers, neededMB)
}

// cloudRateWarning returns a warning if reading the list of machines leaves too little of the
// cloud's request rate for renting and returning, else "".
func (s *Settings) cloudRateWarning(machines int) string {
	rps, listRPS := s.Params.Cloud.RPS, s.listRPS(machines)
	if rps <= 0 || listRPS <= rps*constants.MaxInstanceListRateShare { // 0: no limit
		return ""
	}
	return fmt.Sprintf("params.cloud.rps: %g leave too little for renting and returning; %d machines are to be expected: their list alone takes %.1f, so it should be %.1f",
		rps, machines, listRPS, listRPS/constants.MaxInstanceListRateShare)
}

// listRPS returns the requests per second needed to read a list of that many machines from the
// cloud.
func (s *Settings) listRPS(machines int) float64 {
	pages := math.Ceil(float64(machines) / constants.InstanceListPageSize)
	return pages / max(s.Params.Cloud.ListLagS, constants.MinInstanceListInterval.Seconds())
}
