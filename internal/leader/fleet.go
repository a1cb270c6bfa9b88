package leader

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"time"
)

// fleet is the set of machines known in this term. Only the leader's event loop may use it.
type fleet struct {
	byName map[string]*machineState
	// sorted caches the machines in order of their names. It is nil after a change.
	sorted []*machineState
}

func newFleet() fleet { return fleet{byName: make(map[string]*machineState)} }

// len returns the number of known machines.
func (f *fleet) len() int { return len(f.byName) }

// get returns the machine of the given name, or nil if it is not known.
func (f *fleet) get(name string) *machineState { return f.byName[name] }

// getOrAdd returns the machine of the given name. An unknown one is added, with nothing but
// its name set.
func (f *fleet) getOrAdd(name string, now time.Time) *machineState {
	machine := f.byName[name]
	if machine == nil {
		machine = newMachineState(name, now)
		f.byName[name] = machine
		f.sorted = nil
	}
	return machine
}

// remove deletes a machine from the fleet.
func (f *fleet) remove(machine *machineState) {
	delete(f.byName, machine.worker.Name)
	f.sorted = nil
}

// all iterates over the machines in unspecified order.
func (f *fleet) all() iter.Seq[*machineState] { return maps.Values(f.byName) }

// sortedByName returns the machines sorted by name. The caller must not modify the slice.
func (f *fleet) sortedByName() []*machineState {
	if f.sorted == nil {
		f.sorted = slices.AppendSeq(make([]*machineState, 0, len(f.byName)), f.all())
		slices.SortFunc(f.sorted, func(a, b *machineState) int { return strings.Compare(a.worker.Name, b.worker.Name) })
	}
	return f.sorted
}
