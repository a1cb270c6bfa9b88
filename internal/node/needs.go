package node

import (
	"context"
	"math"
	"runtime/metrics"
	"runtime/pprof"
	"slices"
	"strings"
	"time"

	"thornnotch/internal/constants"
)

// What a node takes of its machine, and what is scarce, for operators.

// warn logs which settings are too small for so many workers, and has status tell it.
func (n *Node) warn(workers int) {
	problems := n.set.SizingWarnings(workers)
	n.tooSmall.Store(&problems)
	for _, problem := range problems {
		n.log.Warn("settings are too small", "problem", problem)
	}
}

// problems are the settings that are too small for the fleet.
func (n *Node) problems() []string {
	if problems := n.tooSmall.Load(); problems != nil {
		return *problems
	}
	return nil
}

// expected is how many machines the settings must be enough for: those that the teams
// are guaranteed, or those that there are if this node leads.
func (n *Node) expected() int {
	expected := max(constants.MinWorkers, n.guaranteedMachines())
	if l := n.leading.Load(); l != nil {
		expected = max(expected, l.Machines())
	}
	return expected
}

// guaranteedMachines is how many machines the teams' guarantees fill, on the
// largest type: at least as many are to be expected.
func (n *Node) guaranteedMachines() int {
	cat := n.catalog.Load()
	if cat == nil {
		return 0
	}
	gpus, cpus := 0.0, 0.0
	for _, t := range cat.MachineTypes {
		gpus, cpus = max(gpus, t.GPUs), max(cpus, t.CPUs)
	}
	sum := 0.0
	for _, t := range n.set.Params.Teams {
		need := 0.0
		if gpus > 0 {
			need = t.GuaranteedGPUs / gpus
		}
		if cpus > 0 {
			need = max(need, t.GuaranteedCPUs/cpus)
		}
		sum += need
	}
	return int(math.Ceil(sum))
}

// memoryMB is what the process holds of memory now.
func memoryMB() float64 {
	read := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(read)
	return float64(read[0].Value.Uint64()-read[1].Value.Uint64()) / (1 << 20)
}

// threads is how many threads the process has made.
func threads() int { return pprof.Lookup("threadcreate").Count() }

// scarce names what there is too little of.
func (n *Node) scarce(memory float64) (out []string) {
	if n.sockets.user() {
		out = append(out, "sockets")
	}
	if lim := n.set.Params.MachineLimits.MemMB; lim > 0 && memory > constants.MemoryScarce*lim {
		out = append(out, "memory")
	}
	requests, changes := n.store.Budget.Available()
	rps, writes := n.share(n.leading.Load() != nil)
	if requests < constants.TokensScarce*rps {
		out = append(out, "state service requests")
	}
	if changes < constants.TokensScarce*writes {
		out = append(out, "state service changes")
	}
	return out
}

// watchNeeds logs when something becomes scarce and when that is over, and whether
// the settings are enough for the machines that are to be expected, as their number
// grows.
func (n *Node) watchNeeds(ctx context.Context) error {
	tick := time.NewTicker(constants.ResourceCheckInterval)
	defer tick.Stop()
	var was []string
	checked := float64(constants.MinWorkers)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if expected := n.expected(); float64(expected) > checked*constants.FleetGrowth {
			checked = float64(expected)
			n.warn(expected)
		}
		memory := memoryMB()
		is := n.scarce(memory)
		if slices.Equal(is, was) {
			continue
		}
		u := n.sockets.use()
		attrs := []any{"memory_mb", math.Round(memory), "threads", threads(), "sockets", u.Open, "sockets_limit", u.Limit}
		if len(is) > 0 {
			n.log.Info("scarce", append([]any{"what", strings.Join(is, ", ")}, attrs...)...)
		} else {
			n.log.Info("nothing is scarce any more", attrs...)
		}
		was = is
	}
}
