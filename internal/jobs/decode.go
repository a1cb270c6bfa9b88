package jobs

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"

	"thornnotch/internal/constants"
	"thornnotch/internal/wirejson"
)

// FieldError describes a problem of a malformed submission.
type FieldError struct {
	// Field is the wire name of the invalid field; empty if the problem concerns the whole
	// body.
	Field   string
	Problem string
}

func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Problem
	}
	return e.Field + ": " + e.Problem
}

// DecodeSpec decodes and validates the body of a submission. As the protocol demands, unknown
// fields are ignored and null means omitted. Every error is a *FieldError.
func DecodeSpec(body []byte) (*Spec, error) {
	decoded, err := decodeSubmission(body)
	if err != nil {
		return nil, err
	}
	var check validator
	spec := check.spec(decoded)
	if check.firstProblem != nil {
		return nil, check.firstProblem
	}
	return spec, nil
}

// decodeSubmission decodes the JSON of a submission and checks only the types of its fields.
func decodeSubmission(body []byte) (*submission, error) {
	if trimmed := bytes.TrimSpace(body); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, &FieldError{Problem: "the body is not a JSON object"}
	}
	var decoded submission
	if err := wirejson.Decode(body, &decoded); err != nil {
		var typeError *wirejson.TypeError
		if errors.As(err, &typeError) {
			field, _, _ := strings.Cut(typeError.Path, ".")
			return nil, &FieldError{field, "has the wrong type: must be " + typeError.WantName()}
		}
		return nil, &FieldError{Problem: "the body is not JSON: " + err.Error()}
	}
	return &decoded, nil
}

// DecodeID decodes the job ID alone from the body of a submission, which may be malformed otherwise. ok
// is false if the body has no valid ID.
func DecodeID(body []byte) (id string, ok bool) {
	var decoded struct {
		ID string `json:"nameId"`
	}
	if err := wirejson.Decode(body, &decoded); err != nil {
		return "", false
	}
	return decoded.ID, ValidID(decoded.ID)
}

// validator checks a submission field by field. It keeps only the first problem, which is the
// one reported to the user.
type validator struct {
	firstProblem *FieldError
}

func (v *validator) fail(field, problem string) {
	if v.firstProblem == nil {
		v.firstProblem = &FieldError{field, problem}
	}
}

// spec checks all fields and returns the specification. The order of the checks determines
// which of several problems is reported to the user. Enumerated values are checked last.
func (v *validator) spec(decoded *submission) *Spec {
	spec := &Spec{
		ID:                  v.requiredText(fieldID, decoded.ID),
		Class:               v.requiredText(fieldClass, decoded.Class),
		Team:                v.requiredText(fieldTeam, decoded.Team),
		Kind:                v.requiredText(fieldKind, decoded.Kind),
		PriorityClass:       v.requiredText(fieldPriorityClass, decoded.PriorityClass),
		CPUs:                v.requiredAmount(fieldCPUs, decoded.CPUs),
		GPUs:                v.requiredAmount(fieldGPUs, decoded.GPUs),
		MemoryGB:            v.requiredAmount(fieldMemoryGB, decoded.MemoryGB),
		Image:               v.requiredText(fieldImage, decoded.Image),
		ImageGB:             v.requiredAmount(fieldImageGB, decoded.ImageGB),
		SameZone:            v.requiredFlag(fieldSameZone, decoded.SameZone),
		SpreadZones:         v.requiredFlag(fieldSpreadZones, decoded.SpreadZones),
		AllowSpot:           v.requiredFlag(fieldAllowSpot, decoded.AllowSpot),
		ExpectedS:           v.requiredAmount(fieldExpectedS, decoded.ExpectedS),
		CheckpointIntervalS: v.requiredAmount(fieldCheckpointIntervalS, decoded.CheckpointIntervalS),
		CheckpointSaveS:     v.requiredAmount(fieldCheckpointSaveS, decoded.CheckpointSaveS),
		Zone:                v.optionalText(fieldZone, decoded.Zone),
		DeadlineS:           v.optionalAmount(fieldDeadlineS, decoded.DeadlineS),
		MachineTypes:        v.machineTypes(decoded.MachineTypes),
		Tasks:               v.taskCount(decoded.Tasks),
		DependsOn:           v.dependsOn(decoded.DependsOn),
	}
	v.checkAllowedValues(spec)
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

// optionalAmount checks an amount, or a duration in seconds.
func (v *validator) optionalAmount(field string, value *float64) *float64 {
	// The comparison is negated so that it also rejects NaN, which compares as false.
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

// dependsOn checks the list of a job's dependencies and removes duplicates.
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

// checkAllowedValues checks the form of the job ID and the fields whose values the protocol
// enumerates.
func (v *validator) checkAllowedValues(spec *Spec) {
	switch {
	case !ValidID(spec.ID):
		v.fail(fieldID, "must be j- and digits")
	case !validKind(spec.Kind):
		v.fail(fieldKind, "must be sweep, gang or service")
	case !validPriorityClass(spec.PriorityClass):
		v.fail(fieldPriorityClass, "must be production, urgent, standard or idle")
	}
}
