package workers

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	// Thousands of heartbeats arrive each second: this package decodes one in a sixth of the
	// time that the standard library takes.
	"github.com/segmentio/encoding/json"

	"thornnotch/internal/constants"
)

// The messages of the protocol between workers and controller nodes. The protocol's own
// names stand in the JSON tags here, and in the errors that name a field of a message.

// TaskStatus is the state of a task on a worker, as the worker reports it.
type TaskStatus string

// States of a task on a worker.
const (
	StatusFetching TaskStatus = "fetching" // waits for its image
	StatusWaiting  TaskStatus = "waiting"  // waits for the other tasks of its gang
	StatusRunning  TaskStatus = "running"
	StatusSaving   TaskStatus = "saving" // was told to stop, and writes a checkpoint
	StatusExited   TaskStatus = "exited"
)

// ExitCause is why a task exited.
type ExitCause string

// Causes of an exit.
const (
	CauseDone           ExitCause = "done"
	CauseError          ExitCause = "error"
	CauseStopped        ExitCause = "halted"     // on command
	CauseGangIncomplete ExitCause = "alone"      // the gang's other tasks did not come in time
	CauseGangLost       ExitCause = "mates_gone" // another task of the running gang is gone
	CauseFull           ExitCause = "full"       // start refused: the machine has no room
	CauseInUse          ExitCause = "in_use"     // start refused: the task is there with another attempt
	CauseUnknownJob     ExitCause = "unknown"    // start refused: no such job
)

// Verb is what a command tells a worker to do with a task.
type Verb string

// Verbs of commands.
const (
	VerbRun    Verb = "run"
	VerbStop   Verb = "stop"
	VerbForget Verb = "forget" // drop an exited task from the heartbeats
)

// TaskReport is one task in a heartbeat.
type TaskReport struct {
	Task    string     `json:"piece"`
	Attempt uint64     `json:"try"`
	Status  TaskStatus `json:"status"`
	Cause   ExitCause  `json:"cause,omitempty"`
	Saved   bool       `json:"saved,omitempty"`
}

// Heartbeat is what a worker reports of itself: at intervals, on each change, and in the
// answer to a direct command.
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

// Command tells a worker what to do with a task. GraceS is the time to save, for a stop.
type Command struct {
	Verb    Verb     `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"`
}

// CommandBatch is the reply to a heartbeat; with an epoch it is a direct command.
type CommandBatch struct {
	Token    uint64    `json:"warrant"`
	Epoch    uint64    `json:"shift,omitempty"`
	Commands []Command `json:"orders"`
}

// DecodeHeartbeat reads and checks a heartbeat.
func DecodeHeartbeat(raw []byte) (*Heartbeat, error) {
	if text := bytes.TrimSpace(raw); len(text) == 0 || text[0] != '{' {
		return nil, errors.New("the report is not a JSON object")
	}
	var heartbeat Heartbeat
	if err := json.Unmarshal(raw, &heartbeat); err != nil {
		return nil, fmt.Errorf("the report is not valid: %w", err)
	}
	if err := heartbeat.checkMachine(); err != nil {
		return nil, err
	}
	if err := heartbeat.checkTasks(); err != nil {
		return nil, err
	}
	return &heartbeat, nil
}

// checkMachine checks what the heartbeat says of the machine.
func (h *Heartbeat) checkMachine() error {
	switch {
	case h.Machine == "" || len(h.Machine) > constants.MaxMachineNameBytes || strings.ContainsAny(h.Machine, " /\n"):
		return fmt.Errorf("rig: %q is not a machine's name", h.Machine)
	case h.MachineType == "":
		return errors.New("rigType: is missing")
	case h.Zone == "":
		return errors.New("hall: is missing")
	case h.Epoch == 0:
		return errors.New("shift: is missing")
	}
	return nil
}

// checkTasks checks that each task is well formed and that no attempt is listed twice.
func (h *Heartbeat) checkTasks() error {
	type reportedAttempt struct {
		task   string
		number uint64
	}
	seen := make(map[reportedAttempt]bool, len(h.Tasks))
	for i := range h.Tasks {
		task := &h.Tasks[i]
		if _, err := ParseTaskID(task.Task); err != nil {
			return fmt.Errorf("pieces: %w", err)
		}
		attempt := reportedAttempt{task.Task, task.Attempt}
		if seen[attempt] {
			return fmt.Errorf("pieces: %s stands twice", task.Task)
		}
		seen[attempt] = true
		switch task.Status {
		case StatusFetching, StatusWaiting, StatusRunning, StatusSaving, StatusExited:
		default:
			return fmt.Errorf("pieces: %s: unknown status %q", task.Task, task.Status)
		}
	}
	return nil
}
