package node

import (
	"context"
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"runtime/pprof"
	"slices"
	"strings"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

const bytesPerMB = 1 << 20

// LimitRuntime keeps the Go runtime within the machine's limits.
func LimitRuntime(limits config.MachineLimits) {
	if limits.MemMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemMB * constants.MemoryShare * bytesPerMB))
		// Collect seldom: the memory limit above keeps the heap in bounds.
		debug.SetGCPercent(constants.GCPercent)
	}
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(limits.Cores)))
	}
}

// memoryMB is how much memory the process holds now.
func memoryMB() float64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	total, released := samples[0].Value.Uint64(), samples[1].Value.Uint64()
	return float64(total-released) / bytesPerMB
}

// threads is how many threads the process has made.
func threads() int { return pprof.Lookup("threadcreate").Count() }

// scarceResources names what there is too little of while the process holds so much
// memory.
func (n *Node) scarceResources(memory float64) (scarce []string) {
	if n.connections.scarce() {
		scarce = append(scarce, "sockets")
	}
	if limit := n.settings.Params.MachineLimits.MemMB; limit > 0 && memory > constants.MemoryScarce*limit {
		scarce = append(scarce, "memory")
	}
	requests, writes := n.store.Budget.Available()
	rps, writeRPS := n.stateRates(n.leads())
	if requests < constants.TokensScarce*rps {
		scarce = append(scarce, "state service requests")
	}
	if writes < constants.TokensScarce*writeRPS {
		scarce = append(scarce, "state service changes")
	}
	return scarce
}

// watchResources logs when something becomes scarce and when that is over, and whether
// the settings are enough for the machines that are to be expected, as their number
// grows.
func (n *Node) watchResources(ctx context.Context) error {
	ticker := time.NewTicker(constants.ResourceCheckInterval)
	defer ticker.Stop()
	checkedFor := constants.MinWorkers
	var before []string
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if expected := n.expectedMachines(); float64(expected) > float64(checkedFor)*constants.FleetGrowth {
			checkedFor = expected
			n.checkSizing(expected)
		}
		memory := memoryMB()
		scarce := n.scarceResources(memory)
		if !slices.Equal(scarce, before) {
			n.logScarce(scarce, memory)
			before = scarce
		}
	}
}

// logScarce logs what is scarce now, or that nothing is any more.
func (n *Node) logScarce(scarce []string, memory float64) {
	sockets := n.connections.usage()
	attrs := []any{"memory_mb", math.Round(memory), "threads", threads(), "sockets", sockets.Open, "sockets_limit", sockets.Limit}
	if len(scarce) == 0 {
		n.log.Info("resources are no longer scarce", attrs...)
		return
	}
	n.log.Info("resources are scarce", append([]any{"resources", strings.Join(scarce, ", ")}, attrs...)...)
}
