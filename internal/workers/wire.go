package workers

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"thornnotch/internal/constants"
	"thornnotch/internal/wirejson"
)

// This file defines the JSON messages between workers and controller nodes. The protocol's own
// names appear only in the JSON tags, and in errors that refer to a field of a message.

// TaskStatus is the status of a task as reported by its worker.
type TaskStatus string

// Statuses of a task.
const (
	StatusFetching TaskStatus = "fetching" // waiting for its image
	StatusWaiting  TaskStatus = "waiting"  // waiting for the other tasks of its gang
	StatusRunning  TaskStatus = "running"
	StatusSaving   TaskStatus = "saving" // stopping, and writing a checkpoint
	StatusExited   TaskStatus = "exited"
)

// ExitCause is the reason why a task exited.
type ExitCause string

// Exit causes.
const (
	CauseDone           ExitCause = "done"
	CauseError          ExitCause = "error"
	CauseStopped        ExitCause = "halted"     // by a `stop`
	CauseGangIncomplete ExitCause = "alone"      // the other tasks of the gang did not start in time
	CauseGangLost       ExitCause = "mates_gone" // another task of the running gang is no longer there
	CauseFull           ExitCause = "full"       // start refused: the machine lacks capacity
	CauseInUse          ExitCause = "in_use"     // start refused: another attempt of the task is on the machine
	CauseUnknownJob     ExitCause = "unknown"    // start refused: no such job
)

// Verb is the action that a command requests for a task.
type Verb string

// Command verbs.
const (
	VerbRun    Verb = "run"
	VerbStop   Verb = "stop"
	VerbForget Verb = "forget" // stop listing an exited task in heartbeats
)

// TaskReport is the state of one task in a heartbeat.
type TaskReport struct {
	Task            string     `json:"piece"`
	Attempt         uint64     `json:"try"`
	Status          TaskStatus `json:"status"`
	Cause           ExitCause  `json:"cause,omitempty"`
	CheckpointSaved bool       `json:"saved,omitempty"`
}

// Heartbeat is a worker's report of its state, sent at intervals, on each change, and in the
// response to a direct command.
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

// Command is a command to a worker concerning one task. For a stop, GraceS is the time the
// task gets to write a checkpoint, in seconds.
type Command struct {
	Verb    Verb     `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windDownS,omitempty"`
}

// CommandBatch is the reply to a heartbeat or, if Epoch is set, a direct command.
type CommandBatch struct {
	Token    uint64    `json:"warrant"`
	Epoch    uint64    `json:"shift,omitempty"`
	Commands []Command `json:"orders"`
}

// DecodeHeartbeat decodes and validates a heartbeat.
func DecodeHeartbeat(raw []byte) (*Heartbeat, error) {
	if text := bytes.TrimSpace(raw); len(text) == 0 || text[0] != '{' {
		return nil, errors.New("the report is not a JSON object")
	}
	var heartbeat Heartbeat
	if err := wirejson.Decode(raw, &heartbeat); err != nil {
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

// checkMachine validates the fields that describe the machine.
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

// checkTasks validates each task, and checks that no attempt is listed twice.
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
