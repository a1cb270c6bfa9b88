package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"thornnotch/internal/constants"
)

// Operator holds the operators' own settings. Every field has a default, so
// the file may be absent or name only what differs.
type Operator struct {
	Holds   HoldSettings    `yaml:"holds"`
	Budgets BudgetSettings  `yaml:"budgets"`
	Scaling ScalingSettings `yaml:"renting"`
	Log     LogSettings     `yaml:"log"`
}

// LogSettings steer the leader's write-ahead log.
type LogSettings struct {
	// LargeRing lets a large fleet's entries stand in a ring that versions before it
	// do not read, once all nodes do. Off, the log is brought back to the first ring,
	// as before a return to such a version.
	LargeRing bool `yaml:"large_ring"`
}

// ScalingSettings steer how many machines are rented.
type ScalingSettings struct {
	// Spare is how many machines more than the present demand fills are
	// rented, in units of the square root of that number.
	Spare float64 `yaml:"spare"`
	// Keep is the same for how many idle machines are kept, with the greatest
	// demand of the last while.
	Keep float64 `yaml:"keep"`
}

// HoldSettings steer speculative slot reservation.
type HoldSettings struct {
	// Enabled turns holds off for comparison.
	Enabled bool `yaml:"enabled"`
	// SubmissionOrder makes holds also where no edges are named: for the next job of the
	// same owner and workload in the order of submission.
	SubmissionOrder bool `yaml:"submission_order"`
	// Alpha is the Pareto shape of task run times, above 1.
	Alpha float64 `yaml:"alpha"`
	// P is the wished chance that a stage ends before its holds lapse.
	P float64 `yaml:"p"`
	// Threshold is the finished part of a stage past which more room is held.
	Threshold float64 `yaml:"threshold"`
}

// BudgetSettings are the parts of the allowed rates that are used.
type BudgetSettings struct {
	// LeaderShare is the leader's part of the calls to the state service,
	// LeaderWriteShare its part of the changes.
	LeaderShare      float64 `yaml:"leader_share"`
	LeaderWriteShare float64 `yaml:"leader_write_share"`
	// Use is the part of every allowed rate that is planned for.
	Use float64 `yaml:"use"`
}

// DefaultOperator is what holds without a file.
func DefaultOperator() Operator {
	return Operator{
		Holds:   HoldSettings{Enabled: true, SubmissionOrder: true, Alpha: constants.HoldAlpha, P: constants.HoldP, Threshold: constants.HoldThreshold},
		Budgets: BudgetSettings{LeaderShare: constants.LeaderShare, LeaderWriteShare: constants.LeaderWriteShare, Use: constants.BudgetUse},
		Scaling: ScalingSettings{Spare: constants.ScaleOutSpare, Keep: constants.ScaleInSpare},
		Log:     LogSettings{LargeRing: true},
	}
}

// LoadOperator reads the operators' file; an empty path gives the defaults.
func LoadOperator(path string) (Operator, error) {
	if path == "" {
		return DefaultOperator(), nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, fmt.Errorf("operator settings: %w", err)
	}
	return ParseOperator(raw)
}

// ParseOperator decodes and checks the operators' YAML. Unknown keys and
// values out of range are named with key and line.
func ParseOperator(raw []byte) (Operator, error) {
	op := DefaultOperator()
	if err := yaml.UnmarshalWithOptions(raw, &op, yaml.Strict()); err != nil {
		return Operator{}, fmt.Errorf("operator settings: %s", strings.TrimSpace(yaml.FormatError(err, false, false)))
	}
	if op == (Operator{}) {
		// A file without a single setting decodes to nothing at all.
		return DefaultOperator(), nil
	}
	var errs []error
	bad := func(key, want string, got any) {
		errs = append(errs, fmt.Errorf("operator settings: %s%s: must be %s, is %v", key, lineOf(raw, key), want, got))
	}
	if !(op.Holds.Alpha > 1 && op.Holds.Alpha <= 100) {
		bad("holds.alpha", "above 1 and at most 100", op.Holds.Alpha)
	}
	if !(op.Holds.P > 0 && op.Holds.P < 1) {
		bad("holds.p", "between 0 and 1", op.Holds.P)
	}
	if !(op.Holds.Threshold >= 0 && op.Holds.Threshold <= 1) {
		bad("holds.threshold", "from 0 to 1", op.Holds.Threshold)
	}
	if !(op.Budgets.LeaderShare > 0 && op.Budgets.LeaderShare < 1) {
		bad("budgets.leader_share", "between 0 and 1", op.Budgets.LeaderShare)
	}
	if !(op.Budgets.LeaderWriteShare > 0 && op.Budgets.LeaderWriteShare < 1) {
		bad("budgets.leader_write_share", "between 0 and 1", op.Budgets.LeaderWriteShare)
	}
	if !(op.Budgets.Use > 0 && op.Budgets.Use <= 1) {
		bad("budgets.use", "above 0 and at most 1", op.Budgets.Use)
	}
	if !(op.Scaling.Spare >= 0 && op.Scaling.Spare <= 1000) {
		bad("renting.spare", "from 0 to 1000", op.Scaling.Spare)
	}
	if !(op.Scaling.Keep >= 0 && op.Scaling.Keep <= 1000) {
		bad("renting.keep", "from 0 to 1000", op.Scaling.Keep)
	}
	if err := errors.Join(errs...); err != nil {
		return Operator{}, err
	}
	return op, nil
}

// lineOf finds where a key stands, for messages; empty when it can't.
func lineOf(raw []byte, key string) string {
	f, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return ""
	}
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return ""
	}
	node, err := path.FilterFile(f)
	if err != nil || node == nil || node.GetToken() == nil {
		return ""
	}
	return fmt.Sprintf(" (line %d)", node.GetToken().Position.Line)
}
