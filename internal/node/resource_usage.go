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

const bytesPerMiB = 1 << 20

// LimitRuntime sets the Go runtime's memory limit and GOMAXPROCS from the machine's limits.
func LimitRuntime(limits config.MachineLimits) {
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMB * constants.GoMemoryLimitShare * bytesPerMiB))
		// A high GC percentage is safe here: the memory limit above bounds the heap.
		debug.SetGCPercent(constants.GCPercent)
	}
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(limits.Cores)))
	}
}

// memoryMB returns the memory that the process holds (MiB).
func memoryMB() float64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	total, released := samples[0].Value.Uint64(), samples[1].Value.Uint64()
	return float64(total-released) / bytesPerMiB
}

// threadCount returns how many OS threads the process has created.
func threadCount() int { return pprof.Lookup("threadcreate").Count() }

// scarceResources returns the names of the resources that run short at the given memory usage
// (MiB).
func (n *Node) scarceResources(memory float64) (scarce []string) {
	if n.connections.scarce() {
		scarce = append(scarce, "sockets")
	}
	if limit := n.settings.Params.MachineLimits.MemoryMB; limit > 0 && memory > constants.ScarceMemoryShare*limit {
		scarce = append(scarce, "memory")
	}
	requests, writes := n.store.Budget.Available()
	rps, writeRPS := n.stateRates(n.leads())
	if requests < constants.ScarceTokenShare*rps {
		scarce = append(scarce, "state service requests")
	}
	if writes < constants.ScarceTokenShare*writeRPS {
		scarce = append(scarce, "state service changes")
	}
	return scarce
}

// watchResources logs when a resource becomes scarce and when it recovers, and checks the
// settings again whenever the expected number of machines has grown by
// constants.SizingCheckGrowth.
func (n *Node) watchResources(ctx context.Context) error {
	ticker := time.NewTicker(constants.ResourceCheckInterval)
	defer ticker.Stop()
	checkedMachines := constants.MinWorkers
	var previous []string
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if expected := n.expectedMachines(); float64(expected) > float64(checkedMachines)*constants.SizingCheckGrowth {
			checkedMachines = expected
			n.checkSizing(expected)
		}
		memory := memoryMB()
		scarce := n.scarceResources(memory)
		if !slices.Equal(scarce, previous) {
			n.logScarce(scarce, memory)
			previous = scarce
		}
	}
}

// logScarce logs the scarce resources, or that none is scarce any longer.
func (n *Node) logScarce(scarce []string, memory float64) {
	sockets := n.connections.usage()
	attrs := []any{"memory_mb", math.Round(memory), "threads", threadCount(), "sockets", sockets.Open, "sockets_limit", sockets.Limit}
	if len(scarce) == 0 {
		n.log.Info("resources are no longer scarce", attrs...)
		return
	}
	n.log.Info("resources are scarce", append([]any{"resources", strings.Join(scarce, ", ")}, attrs...)...)
}
