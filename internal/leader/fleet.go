package leader

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"time"
)

// fleet is the machines known in this term. It belongs to the leader's routine.
type fleet struct {
	byName map[string]*machineState
	// sorted are all of them by name; nil when it must be made anew.
	sorted []*machineState
}

func newFleet() fleet { return fleet{byName: make(map[string]*machineState)} }

// len is how many machines are known.
func (f *fleet) len() int { return len(f.byName) }

// get finds a machine; it is nil if none of that name is known.
func (f *fleet) get(name string) *machineState { return f.byName[name] }

// getOrAdd finds a machine, or adds one of which nothing is known but its name.
func (f *fleet) getOrAdd(name string, now time.Time) *machineState {
	machine := f.byName[name]
	if machine == nil {
		machine = newMachineState(name, now)
		f.byName[name] = machine
		f.sorted = nil
	}
	return machine
}

// remove drops a machine.
func (f *fleet) remove(machine *machineState) {
	delete(f.byName, machine.agent.Name)
	f.sorted = nil
}

// all goes through the machines in no order.
func (f *fleet) all() iter.Seq[*machineState] { return maps.Values(f.byName) }

// sortedByName lists the machines by name. The list must not be changed.
func (f *fleet) sortedByName() []*machineState {
	if f.sorted == nil {
		f.sorted = slices.AppendSeq(make([]*machineState, 0, len(f.byName)), f.all())
		slices.SortFunc(f.sorted, func(a, b *machineState) int { return strings.Compare(a.agent.Name, b.agent.Name) })
	}
	return f.sorted
}
