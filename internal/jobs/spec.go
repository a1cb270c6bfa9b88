// Package jobs defines what a job is: its specification as users submit it, the records that
// the state service keeps of it, and the check whether it can ever run. It serves no requests.
package jobs

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"

	"thornnotch/internal/constants"
)

// Shapes of jobs.
const (
	KindArray = "sweep"
	KindGang  = "gang"
	// KindService is a sweep whose tasks run until the job is cancelled. The
	// protocol's page does not name it, its users send it (docs/questions.md).
	KindService = "service"
)

// States of a job as users see them.
const (
	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "aborted"
)

// Spec is a job as users submit it.
type Spec struct {
	ID                  string   `json:"nameId"`
	Class               string   `json:"workload"`
	Team                string   `json:"owner"`
	Kind                string   `json:"shape"`
	PriorityClass       string   `json:"urgency"`
	Tasks               int      `json:"pieces"`
	CPUs                float64  `json:"vcpus"`
	GPUs                float64  `json:"accelerators"`
	MemoryGB            float64  `json:"ramGb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"imageGb"`
	MachineTypes        []string `json:"rigTypes,omitempty"`
	Zone                string   `json:"hall,omitempty"`
	SameZone            bool     `json:"samePlace,omitempty"`
	SpreadZones         bool     `json:"apart,omitempty"`
	AllowSpot           bool     `json:"loaners,omitempty"`
	ExpectedS           float64  `json:"expectS"`
	CheckpointIntervalS float64  `json:"snapshotS"`
	SaveS               float64  `json:"stashS"`
	DueS                *float64 `json:"dueS,omitempty"`
	// DependsOn are the jobs that must be done before any task of this one starts,
	// each once.
	DependsOn []string `json:"waitsOn,omitempty"`
}

var idPattern = regexp.MustCompile(`^j-[0-9]{1,20}$`)

// ValidID tells whether id has the form of a job's name.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Priority orders urgencies; higher goes first.
func Priority(urgency string) int {
	switch urgency {
	case "production":
		return 3
	case "urgent":
		return 2
	case "standard":
		return 1
	}
	return 0
}

// FieldError is a malformed submission; it names the field at fault.
type FieldError struct{ Field, Problem string }

func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Problem
	}
	return e.Field + ": " + e.Problem
}

// submission has pointers so that a missing field differs from a zero one.
type submission struct {
	NameID       *string  `json:"nameId"`
	Workload     *string  `json:"workload"`
	Owner        *string  `json:"owner"`
	Shape        *string  `json:"shape"`
	Urgency      *string  `json:"urgency"`
	Pieces       *int     `json:"pieces"`
	VCPUs        *float64 `json:"vcpus"`
	Accelerators *float64 `json:"accelerators"`
	RAMGB        *float64 `json:"ramGb"`
	Bundle       *string  `json:"bundle"`
	ImageGB      *float64 `json:"imageGb"`
	MachineTypes []string `json:"rigTypes"`
	Hall         *string  `json:"hall"`
	SamePlace    *bool    `json:"samePlace"`
	Apart        *bool    `json:"apart"`
	Loaners      *bool    `json:"loaners"`
	ExpectS      *float64 `json:"expectS"`
	SnapshotS    *float64 `json:"snapshotS"`
	StashS       *float64 `json:"stashS"`
	DueS         *float64 `json:"dueS"`
	WaitsOn      []string `json:"waitsOn"`
}

// DecodeSpec reads a submission. Unknown fields are ignored and null equals
// omitted; every error is a *FieldError.
func DecodeSpec(raw []byte) (*Spec, error) {
	if trimmed := bytes.TrimSpace(raw); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, &FieldError{"", "the body is not a JSON object"}
	}
	var s submission
	if err := json.Unmarshal(raw, &s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, &FieldError{te.Field, "has the wrong type: " + te.Value}
		}
		return nil, &FieldError{"", "the body is not JSON: " + err.Error()}
	}
	var bad *FieldError
	fail := func(field, problem string) {
		if bad == nil {
			bad = &FieldError{field, problem}
		}
	}
	text := func(field string, v *string) string {
		switch {
		case v == nil:
			fail(field, "is missing")
			return ""
		case *v == "" || len(*v) > 200:
			fail(field, "must have 1 to 200 bytes")
		}
		return *v
	}
	amount := func(field string, v *float64, least float64) float64 {
		switch {
		case v == nil:
			fail(field, "is missing")
			return 0
		case !(*v >= least) || math.IsInf(*v, 0) || *v > constants.MaxAmount:
			fail(field, fmt.Sprintf("%v is out of range", *v))
		}
		return *v
	}
	flag := func(field string, v *bool) bool {
		if v == nil {
			fail(field, "is missing")
			return false
		}
		return *v
	}
	j := &Spec{
		ID: text("nameId", s.NameID), Class: text("workload", s.Workload), Team: text("owner", s.Owner),
		Kind: text("shape", s.Shape), PriorityClass: text("urgency", s.Urgency),
		CPUs: amount("vcpus", s.VCPUs, 0), GPUs: amount("accelerators", s.Accelerators, 0),
		MemoryGB: amount("ramGb", s.RAMGB, 0), Image: text("bundle", s.Bundle), ImageGB: amount("imageGb", s.ImageGB, 0),
		MachineTypes: s.MachineTypes, SameZone: flag("samePlace", s.SamePlace), SpreadZones: flag("apart", s.Apart),
		AllowSpot: flag("loaners", s.Loaners), ExpectedS: amount("expectS", s.ExpectS, 0),
		CheckpointIntervalS: amount("snapshotS", s.SnapshotS, 0), SaveS: amount("stashS", s.StashS, 0), DueS: s.DueS,
	}
	if s.Hall != nil {
		j.Zone = text("hall", s.Hall)
	}
	if s.DueS != nil {
		amount("dueS", s.DueS, 0)
	}
	if s.MachineTypes != nil && len(s.MachineTypes) == 0 {
		fail("rigTypes", "must be null or name a type")
	}
	switch {
	case s.Pieces == nil:
		fail("pieces", "is missing")
	case *s.Pieces < 1 || *s.Pieces > constants.MaxTasks:
		fail("pieces", fmt.Sprintf("%d is not from 1 to %d", *s.Pieces, constants.MaxTasks))
	default:
		j.Tasks = *s.Pieces
	}
	seen := make(map[string]bool, len(s.WaitsOn))
	for _, id := range s.WaitsOn {
		if !ValidID(id) {
			fail("waitsOn", fmt.Sprintf("%.40q is not j- and digits", id))
			break
		}
		if !seen[id] {
			seen[id] = true
			j.DependsOn = append(j.DependsOn, id)
		}
	}
	if bad == nil {
		switch {
		case !ValidID(j.ID):
			fail("nameId", "must be j- and digits")
		case j.Kind != KindArray && j.Kind != KindGang && j.Kind != KindService:
			fail("shape", "must be sweep, gang or service")
		case j.PriorityClass != "idle" && Priority(j.PriorityClass) == 0:
			fail("urgency", "must be production, urgent, standard or idle")
		}
	}
	if bad != nil {
		return nil, bad
	}
	return j, nil
}
