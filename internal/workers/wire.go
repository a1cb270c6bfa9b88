// Package workers keeps the workers' sessions: their reports, the orders to
// them, and the proofs that a task has left its machine.
package workers

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	// Reports come by the thousand a second: it decodes one in a sixth of the time that
	// the standard library takes.
	"github.com/segmentio/encoding/json"
)

// States of a task on a worker.
const (
	StatusFetching = "fetching"
	StatusWaiting  = "waiting"
	StatusRunning  = "running"
	StatusSaving   = "saving"
	StatusExited   = "exited"
)

// Causes of an exit.
const (
	CauseDone  = "done"
	CauseError = "error"
	CauseFull  = "full"
	CauseInUse = "in_use"
)

// Verbs of orders.
const (
	VerbRun    = "run"
	VerbStop   = "stop"
	VerbForget = "forget"
)

// TaskReport is a task as a worker reports it.
type TaskReport struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	Status  string `json:"status"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// Heartbeat is what a worker tells of itself.
type Heartbeat struct {
	Machine     string       `json:"rig"`
	Endpoint    string       `json:"endpoint"`
	MachineType string       `json:"rigType"`
	Zone        string       `json:"hall"`
	Spot        bool         `json:"loaners"`
	Epoch       uint64       `json:"shift"`
	Sequence    uint64       `json:"tick"`
	Token       uint64       `json:"warrant"`
	ReclaimInS  *float64     `json:"recallS"`
	Tasks       []TaskReport `json:"pieces"`
}

// Command tells a worker what to do with a task.
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"`
}

// CommandBatch is the answer to a report; with Shift it is a direct command.
type CommandBatch struct {
	Token    uint64    `json:"warrant"`
	Epoch    uint64    `json:"shift,omitempty"`
	Commands []Command `json:"orders"`
}

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Index int
}

func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads a task's name as it stands on the wire.
func ParseTaskID(s string) (TaskID, error) {
	job, idx, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(idx)
	if !ok || job == "" || err != nil || n < 0 || strconv.Itoa(n) != idx {
		return TaskID{}, fmt.Errorf("%q is not a task's name", s)
	}
	return TaskID{job, n}, nil
}

// DecodeHeartbeat reads and checks a report.
func DecodeHeartbeat(raw []byte) (*Heartbeat, error) {
	if t := bytes.TrimSpace(raw); len(t) == 0 || t[0] != '{' {
		return nil, errors.New("the report is not a JSON object")
	}
	var r Heartbeat
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("the report is not valid: %w", err)
	}
	switch {
	case r.Machine == "" || len(r.Machine) > 100 || strings.ContainsAny(r.Machine, " /\n"):
		return nil, fmt.Errorf("rig: %q is not a machine's name", r.Machine)
	case r.MachineType == "":
		return nil, errors.New("rigType: is missing")
	case r.Zone == "":
		return nil, errors.New("hall: is missing")
	case r.Epoch == 0:
		return nil, errors.New("shift: is missing")
	}
	type attempt struct {
		piece string
		try   uint64
	}
	seen := make(map[attempt]bool, len(r.Tasks))
	for _, p := range r.Tasks {
		if _, err := ParseTaskID(p.Task); err != nil {
			return nil, fmt.Errorf("pieces: %w", err)
		}
		key := attempt{p.Task, p.Attempt}
		if seen[key] {
			return nil, fmt.Errorf("pieces: %s stands twice", p.Task)
		}
		seen[key] = true
		switch p.Status {
		case StatusFetching, StatusWaiting, StatusRunning, StatusSaving, StatusExited:
		default:
			return nil, fmt.Errorf("pieces: %s: unknown status %q", p.Task, p.Status)
		}
	}
	return &r, nil
}
