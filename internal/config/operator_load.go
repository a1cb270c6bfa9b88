package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

// OperatorSettingError describes an operator setting that is out of range.
type OperatorSettingError struct {
	// Key is the path of the setting, such as "holds.p".
	Key string
	// Line is its line in the file, or 0 if unknown.
	Line int
	// Range describes the valid values; Value is the invalid one.
	Range string
	Value float64
}

func (e *OperatorSettingError) Error() string {
	lineSuffix := ""
	if e.Line > 0 {
		lineSuffix = fmt.Sprintf(" (line %d)", e.Line)
	}
	return fmt.Sprintf("operator settings: %s%s: must be %s, is %v", e.Key, lineSuffix, e.Range, e.Value)
}

// LoadOperator reads and checks the operators' file. It returns the defaults if path is empty.
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

// ParseOperator decodes and checks the operators' YAML. The error for an unknown key contains
// its line. If values are out of range, the error joins an *OperatorSettingError for each.
func ParseOperator(raw []byte) (Operator, error) {
	operator := DefaultOperator()
	if err := yaml.UnmarshalWithOptions(raw, &operator, yaml.Strict()); err != nil {
		return Operator{}, fmt.Errorf("operator settings: %s", strings.TrimSpace(yaml.FormatError(err, false, false)))
	}
	if operator == (Operator{}) {
		// The decoder sets a file without any setting to the zero value.
		return DefaultOperator(), nil
	}
	if err := operator.check(raw); err != nil {
		return Operator{}, err
	}
	return operator, nil
}

// check returns an error that joins an *OperatorSettingError for each value that is out of
// range, or nil if there are none; raw is the content of the file.
func (o Operator) check(raw []byte) error {
	var problems []error
	// NaN fails every comparison, so valid is false for it.
	require := func(key string, value float64, valid bool, validRange string) {
		if !valid {
			problems = append(problems, &OperatorSettingError{key, lineOf(raw, key), validRange, value})
		}
	}
	alpha, p, threshold := o.Reservations.Alpha, o.Reservations.P, o.Reservations.Threshold
	require("holds.alpha", alpha, alpha > 1 && alpha <= 100, "greater than 1 and at most 100")
	require("holds.p", p, p > 0 && p < 1, "greater than 0 and less than 1")
	require("holds.threshold", threshold, threshold >= 0 && threshold <= 1, "from 0 to 1")

	share, writeShare, usableShare := o.Budgets.LeaderShare, o.Budgets.LeaderWriteShare, o.Budgets.UsableShare
	require("budgets.leader_share", share, share > 0 && share < 1, "greater than 0 and less than 1")
	require("budgets.leader_write_share", writeShare, writeShare > 0 && writeShare < 1, "greater than 0 and less than 1")
	require("budgets.use", usableShare, usableShare > 0 && usableShare <= 1, "greater than 0 and at most 1")

	spare, keep := o.Scaling.ScaleOutSpare, o.Scaling.ScaleInKeep
	require("renting.spare", spare, spare >= 0 && spare <= 1000, "from 0 to 1000")
	require("renting.keep", keep, keep >= 0 && keep <= 1000, "from 0 to 1000")
	return errors.Join(problems...)
}

// lineOf returns the line of a key in the file, or 0 if it can't be found.
func lineOf(raw []byte, key string) int {
	file, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return 0
	}
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
