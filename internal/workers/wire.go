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
	Fetching = "fetching"
	Waiting  = "waiting"
	Running  = "running"
	Saving   = "saving"
	Exited   = "exited"
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
	Run    = "run"
	Stop   = "stop"
	Forget = "forget"
)

// Piece is a task as a worker reports it.
type Piece struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Saved  bool   `json:"saved,omitempty"`
}

// Report is what a worker tells of itself.
type Report struct {
	Machine     string   `json:"rig"`
	Endpoint    string   `json:"endpoint"`
	MachineType string   `json:"rigType"`
	Hall        string   `json:"hall"`
	Loaners     bool     `json:"loaners"`
	Shift       uint64   `json:"shift"`
	Tick        uint64   `json:"tick"`
	Warrant     uint64   `json:"warrant"`
	RecallS     *float64 `json:"recallS"`
	Pieces      []Piece  `json:"pieces"`
}

// Order tells a worker what to do with a task.
type Order struct {
	Verb      string   `json:"verb"`
	Piece     string   `json:"piece"`
	Try       uint64   `json:"try"`
	WindDownS *float64 `json:"windDownS,omitempty"`
}

// Answer is the answer to a report; with Shift it is a direct command.
type Answer struct {
	Warrant uint64  `json:"warrant"`
	Shift   uint64  `json:"shift,omitempty"`
	Orders  []Order `json:"orders"`
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

// DecodeReport reads and checks a report.
func DecodeReport(raw []byte) (*Report, error) {
	if t := bytes.TrimSpace(raw); len(t) == 0 || t[0] != '{' {
		return nil, errors.New("the report is not a JSON object")
	}
	var r Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("the report is not valid: %w", err)
	}
	switch {
	case r.Machine == "" || len(r.Machine) > 100 || strings.ContainsAny(r.Machine, " /\n"):
		return nil, fmt.Errorf("rig: %q is not a machine's name", r.Machine)
	case r.MachineType == "":
		return nil, errors.New("rigType: is missing")
	case r.Hall == "":
		return nil, errors.New("hall: is missing")
	case r.Shift == 0:
		return nil, errors.New("shift: is missing")
	}
	type attempt struct {
		piece string
		try   uint64
	}
	seen := make(map[attempt]bool, len(r.Pieces))
	for _, p := range r.Pieces {
		if _, err := ParseTaskID(p.Piece); err != nil {
			return nil, fmt.Errorf("pieces: %w", err)
		}
		key := attempt{p.Piece, p.Try}
		if seen[key] {
			return nil, fmt.Errorf("pieces: %s stands twice", p.Piece)
		}
		seen[key] = true
		switch p.Status {
		case Fetching, Waiting, Running, Saving, Exited:
		default:
			return nil, fmt.Errorf("pieces: %s: unknown status %q", p.Piece, p.Status)
		}
	}
	return &r, nil
}
