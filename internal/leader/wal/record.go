package wal

import (
	"encoding/json"
	"fmt"
)

// The types of this file are the stored form of the log's records, as JSON. Later
// versions must be able to read what earlier ones wrote: fields may be added, and none
// may change its name or meaning.

// Attempt is one start of a task that may be on its machine.
type Attempt struct {
	Task string `json:"p"`
	// Number is unique for a task on a machine; Epoch is the agent epoch that the
	// start was addressed to.
	Number uint64 `json:"t"`
	Epoch  uint64 `json:"h"`
}

// JobUse is the team and the size of an attempt's job: the job may be over while a task
// of it is still on a machine and counts towards its team's quota.
type JobUse struct {
	Team      string    `json:"w"`
	Resources Resources `json:"r"`
}

// Resources are CPUs (cores), GPUs (devices) and memory (GB), in this order.
type Resources [3]float64

// Hold is room on a machine that is reserved for a downstream job.
type Hold struct {
	Team       string    `json:"w"`
	Class      string    `json:"k"`
	Upstream   string    `json:"u"`
	Downstream string    `json:"d"`
	Edge       bool      `json:"e,omitempty"` // along an edge that users named
	Priority   int       `json:"p"`
	Resources  Resources `json:"r"`
	Expires    int64     `json:"x"` // Unix time, ms
}

// Image is one image that a machine has.
type Image struct {
	Name string  `json:"n"`
	GB   float64 `json:"g"`
}

// Machine is all that is recorded of one machine.
type Machine struct {
	Type     string `json:"t,omitempty"`
	Zone     string `json:"z,omitempty"`
	Spot     bool   `json:"s,omitempty"`
	Endpoint string `json:"e,omitempty"`
	// Epoch is the agent's newest epoch.
	Epoch    uint64    `json:"h,omitempty"`
	Leaving  bool      `json:"l,omitempty"`
	Attempts []Attempt `json:"a,omitempty"`
	// Jobs are those of the attempts, by job ID.
	Jobs   map[string]JobUse `json:"j,omitempty"`
	Holds  []Hold            `json:"o,omitempty"`
	Images []Image           `json:"i,omitempty"`
}

// MachineChange is what one entry says of one machine.
type MachineChange struct {
	// Metadata replaces everything but the attempts and their jobs.
	Metadata *Machine  `json:"m,omitempty"`
	Placed   []Attempt `json:"a,omitempty"`
	// Gone are attempts that are proven to be off the machine.
	Gone []Attempt `json:"x,omitempty"`
	// Jobs are those of the attempts in Placed, by job ID.
	Jobs map[string]JobUse `json:"j,omitempty"`
	// Removed is set once the cloud has taken the machine back.
	Removed bool `json:"g,omitempty"`
}

// AllTasks stands for every task of a job in an entry's list of completed tasks.
const AllTasks = -1

// Entry is one value of the log.
type Entry struct {
	// Seq is the entry's number; it tells whether its slot holds an older entry.
	Seq uint64 `json:"s"`
	// Machines are changes by the machine's name.
	Machines map[string]MachineChange `json:"r,omitempty"`
	// Done are tasks that were completed, by job ID.
	Done map[string][]int `json:"d,omitempty"`
}

// encodedEntry is an Entry whose changes are encoded already, as their size decides how
// many of them go into one value.
type encodedEntry struct {
	Seq      uint64                     `json:"s"`
	Machines map[string]json.RawMessage `json:"r,omitempty"`
	Done     map[string][]int           `json:"d,omitempty"`
}

// part is one value of a checkpoint.
type part struct {
	Machines map[string]Machine     `json:"r,omitempty"`
	Done     map[string][]DoneTasks `json:"d,omitempty"`
}

// encodedPart is a part whose machines are encoded already.
type encodedPart struct {
	Machines map[string]json.RawMessage `json:"r,omitempty"`
	Done     map[string][]DoneTasks     `json:"d,omitempty"`
}

// DoneTasks is a run of a job's completed tasks: bit k%8 of byte k/8 stands for task
// First+k.
type DoneTasks struct {
	First int    `json:"f"`
	Bits  []byte `json:"b"`
}

// tasks lists the tasks whose bit is set.
func (d DoneTasks) tasks() []int {
	var tasks []int
	for k := range len(d.Bits) * 8 {
		if d.Bits[k/8]&(1<<(k%8)) != 0 {
			tasks = append(tasks, d.First+k)
		}
	}
	return tasks
}

// encode gives the stored form of a record. The types above hold nothing but plain
// values, which can always be encoded: a failure is a fault of this package.
func encode(record any) json.RawMessage {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("wal: encode %T: %v", record, err))
	}
	return raw
}
