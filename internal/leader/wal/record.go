package wal

import (
	"encoding/json"
	"fmt"
)

// The types in this file define the JSON encoding of the log's records. Later versions must
// be able to read what earlier ones wrote: fields may be added, but no field may change its
// name or meaning.

// Attempt is one attempt to run a task that may be on its machine.
type Attempt struct {
	Task string `json:"p"`
	// Number is unique for a task on a machine; Epoch is the worker's epoch in which the
	// attempt was placed.
	Number uint64 `json:"t"`
	Epoch  uint64 `json:"h"`
}

// JobUsage holds the team and resources of an attempt's job. They are recorded because the job
// may be over while one of its tasks is still on a machine and counts towards the team's
// quota.
type JobUsage struct {
	Team      string    `json:"w"`
	Resources Resources `json:"r"`
}

// Resources holds CPUs (cores), GPUs (devices) and memory (GB), in this order.
type Resources [3]float64

// SlotReservation is a reservation of resources on a machine for a downstream job.
type SlotReservation struct {
	Team               string    `json:"w"`
	Class              string    `json:"k"`
	Upstream           string    `json:"u"`
	Downstream         string    `json:"d"`
	DeclaredDependency bool      `json:"e,omitempty"` // Downstream declared that it depends on Upstream
	Priority           int       `json:"p"`
	Resources          Resources `json:"r"`
	Expires            int64     `json:"x"` // Unix time (ms)
}

// Image is a container image present on a machine.
type Image struct {
	Name string  `json:"n"`
	GB   float64 `json:"g"`
}

// Machine is the complete record of one machine.
type Machine struct {
	Type     string `json:"t,omitempty"`
	Zone     string `json:"z,omitempty"`
	Spot     bool   `json:"s,omitempty"`
	Endpoint string `json:"e,omitempty"`
	// Epoch is the worker's newest epoch.
	Epoch    uint64    `json:"h,omitempty"`
	Leaving  bool      `json:"l,omitempty"` // being returned to the cloud
	Attempts []Attempt `json:"a,omitempty"`
	// Jobs holds the jobs of the attempts, by job ID.
	Jobs         map[string]JobUsage `json:"j,omitempty"`
	Reservations []SlotReservation   `json:"o,omitempty"`
	Images       []Image             `json:"i,omitempty"`
}

// MachineChange is the change of one machine in one entry.
type MachineChange struct {
	// Metadata replaces everything except the attempts and their jobs.
	Metadata *Machine  `json:"m,omitempty"`
	Placed   []Attempt `json:"a,omitempty"`
	// Gone are attempts that are proven to be off the machine.
	Gone []Attempt `json:"x,omitempty"`
	// Jobs holds the jobs of the attempts in Placed, by job ID.
	Jobs map[string]JobUsage `json:"j,omitempty"`
	// Removed is set once the cloud has confirmed that the machine was terminated. It is applied
	// before the other changes.
	Removed bool `json:"g,omitempty"`
}

// AllTasks stands for every task of a job in an entry's list of completed tasks.
const AllTasks = -1

// Entry is one entry of the log, stored as one value.
type Entry struct {
	// Seq is the entry's number. It shows whether a slot still holds an older entry.
	Seq uint64 `json:"s"`
	// Machines holds the changes by machine name.
	Machines map[string]MachineChange `json:"r,omitempty"`
	// Done holds completed tasks by job ID.
	Done map[string][]int `json:"d,omitempty"`
}

// encodedEntry is an Entry whose machine changes are already encoded, because their encoded
// size decides how many of them fit into one value.
type encodedEntry struct {
	Seq      uint64                     `json:"s"`
	Machines map[string]json.RawMessage `json:"r,omitempty"`
	Done     map[string][]int           `json:"d,omitempty"`
}

// part is one part of a checkpoint, stored as one value.
type part struct {
	Machines map[string]Machine     `json:"r,omitempty"`
	Done     map[string][]DoneTasks `json:"d,omitempty"`
}

// encodedPart is a part whose machines are already encoded.
type encodedPart struct {
	Machines map[string]json.RawMessage `json:"r,omitempty"`
	Done     map[string][]DoneTasks     `json:"d,omitempty"`
}

// DoneTasks is a bitmap of a run of a job's tasks: bit k%8 of byte k/8 is set if task First+k
// is completed.
type DoneTasks struct {
	First int    `json:"f"`
	Bits  []byte `json:"b"`
}

// tasks returns the tasks whose bit is set.
func (d DoneTasks) tasks() []int {
	var tasks []int
	for k := range len(d.Bits) * 8 {
		if d.Bits[k/8]&(1<<(k%8)) != 0 {
			tasks = append(tasks, d.First+k)
		}
	}
	return tasks
}

// encode returns the stored form of a record. The types above hold only plain values, which
// always encode; a failure is a bug in this package.
func encode(record any) json.RawMessage {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("wal: encode %T: %v", record, err))
	}
	return raw
}
