package jobs

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"thornnotch/internal/constants"
)

// FieldError says what is wrong with a malformed submission.
type FieldError struct {
	// Field is the wire name of the field at fault; empty if the body as a whole is.
	Field   string
	Problem string
}

func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Problem
	}
	return e.Field + ": " + e.Problem
}

// DecodeSpec reads the body of a submission. Unknown fields are ignored and null equals
// omitted (protocol); every error is a *FieldError.
func DecodeSpec(body []byte) (*Spec, error) {
	sub, err := decodeSubmission(body)
	if err != nil {
		return nil, err
	}
	var check validator
	spec := check.spec(sub)
	if check.firstProblem != nil {
		return nil, check.firstProblem
	}
	return spec, nil
}

// decodeSubmission reads the JSON of a submission and checks no more than its types.
func decodeSubmission(body []byte) (*submission, error) {
	if trimmed := bytes.TrimSpace(body); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, &FieldError{Problem: "the body is not a JSON object"}
	}
	var sub submission
	if err := json.Unmarshal(body, &sub); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, &FieldError{typeError.Field, "has the wrong type: " + typeError.Value}
		}
		return nil, &FieldError{Problem: "the body is not JSON: " + err.Error()}
	}
	return &sub, nil
}

// validator checks a submission field by field and keeps the first problem: that is the
// one that the user is told of.
type validator struct {
	firstProblem *FieldError
}

func (v *validator) fail(field, problem string) {
	if v.firstProblem == nil {
		v.firstProblem = &FieldError{field, problem}
	}
}

// spec checks all fields. Their order decides which of several problems the user is told
// of; that a value is one of the allowed words is checked last.
func (v *validator) spec(sub *submission) *Spec {
	spec := &Spec{
		ID:                  v.requiredText(fieldID, sub.ID),
		Class:               v.requiredText(fieldClass, sub.Class),
		Team:                v.requiredText(fieldTeam, sub.Team),
		Kind:                v.requiredText(fieldKind, sub.Kind),
		PriorityClass:       v.requiredText(fieldPriorityClass, sub.PriorityClass),
		CPUs:                v.requiredAmount(fieldCPUs, sub.CPUs),
		GPUs:                v.requiredAmount(fieldGPUs, sub.GPUs),
		MemoryGB:            v.requiredAmount(fieldMemoryGB, sub.MemoryGB),
		Image:               v.requiredText(fieldImage, sub.Image),
		ImageGB:             v.requiredAmount(fieldImageGB, sub.ImageGB),
		SameZone:            v.requiredFlag(fieldSameZone, sub.SameZone),
		SpreadZones:         v.requiredFlag(fieldSpreadZones, sub.SpreadZones),
		AllowSpot:           v.requiredFlag(fieldAllowSpot, sub.AllowSpot),
		ExpectedS:           v.requiredAmount(fieldExpectedS, sub.ExpectedS),
		CheckpointIntervalS: v.requiredAmount(fieldCheckpointIntervalS, sub.CheckpointIntervalS),
		SaveS:               v.requiredAmount(fieldSaveS, sub.SaveS),
		Zone:                v.optionalText(fieldZone, sub.Zone),
		DueS:                v.optionalAmount(fieldDueS, sub.DueS),
		MachineTypes:        v.machineTypes(sub.MachineTypes),
		Tasks:               v.taskCount(sub.Tasks),
		DependsOn:           v.dependsOn(sub.DependsOn),
	}
	v.allowedWords(spec)
	return spec
}

func (v *validator) requiredText(field string, value *string) string {
	if value == nil {
		v.fail(field, "is missing")
		return ""
	}
	return v.optionalText(field, value)
}

func (v *validator) optionalText(field string, value *string) string {
	if value == nil {
		return ""
	}
	if *value == "" || len(*value) > constants.MaxTextBytes {
		v.fail(field, fmt.Sprintf("must have 1 to %d bytes", constants.MaxTextBytes))
	}
	return *value
}

func (v *validator) requiredAmount(field string, value *float64) float64 {
	if value == nil {
		v.fail(field, "is missing")
		return 0
	}
	return *v.optionalAmount(field, value)
}

// optionalAmount checks an amount or a duration in seconds.
func (v *validator) optionalAmount(field string, value *float64) *float64 {
	// Not a number is no amount either: it compares as neither smaller nor larger.
	if value != nil && (!(*value >= 0) || math.IsInf(*value, 0) || *value > constants.MaxAmount) {
		v.fail(field, fmt.Sprintf("%v is out of range", *value))
	}
	return value
}

func (v *validator) requiredFlag(field string, value *bool) bool {
	if value == nil {
		v.fail(field, "is missing")
		return false
	}
	return *value
}

func (v *validator) machineTypes(names []string) []string {
	if names != nil && len(names) == 0 {
		v.fail(fieldMachineTypes, "must be null or name a type")
	}
	return names
}

func (v *validator) taskCount(count *int) int {
	switch {
	case count == nil:
		v.fail(fieldTasks, "is missing")
		return 0
	case *count < 1 || *count > constants.MaxTasks:
		v.fail(fieldTasks, fmt.Sprintf("%d is not from 1 to %d", *count, constants.MaxTasks))
		return 0
	}
	return *count
}

// dependsOn checks the list of a job's dependencies and keeps each of them once.
func (v *validator) dependsOn(ids []string) []string {
	var unique []string
	seen := make(map[string]bool, len(ids))
	for _, id := range ids {
		if !ValidID(id) {
			v.fail(FieldDependsOn, fmt.Sprintf("%.40q is not j- and digits", id))
			break
		}
		if !seen[id] {
			seen[id] = true
			unique = append(unique, id)
		}
	}
	return unique
}

// allowedWords checks the fields whose values the protocol enumerates.
func (v *validator) allowedWords(spec *Spec) {
	switch {
	case !ValidID(spec.ID):
		v.fail(fieldID, "must be j- and digits")
	case !knownKind(spec.Kind):
		v.fail(fieldKind, "must be sweep, gang or service")
	case !knownPriorityClass(spec.PriorityClass):
		v.fail(fieldPriorityClass, "must be production, urgent, standard or idle")
	}
}
