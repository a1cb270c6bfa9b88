package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

// OperatorSettingError is one of the operators' settings that is out of range.
type OperatorSettingError struct {
	// Key is the setting's, such as "holds.p".
	Key string
	// Line is where it stands in the file; 0 if that is not known.
	Line int
	// Range is what it must be, Value what it is.
	Range string
	Value float64
}

func (e *OperatorSettingError) Error() string {
	place := ""
	if e.Line > 0 {
		place = fmt.Sprintf(" (line %d)", e.Line)
	}
	return fmt.Sprintf("operator settings: %s%s: must be %s, is %v", e.Key, place, e.Range, e.Value)
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

// ParseOperator decodes and checks the operators' YAML. Unknown keys are named with their
// line; for values out of range the error joins an *OperatorSettingError for each.
func ParseOperator(raw []byte) (Operator, error) {
	operator := DefaultOperator()
	if err := yaml.UnmarshalWithOptions(raw, &operator, yaml.Strict()); err != nil {
		return Operator{}, fmt.Errorf("operator settings: %s", strings.TrimSpace(yaml.FormatError(err, false, false)))
	}
	if operator == (Operator{}) {
		// A file without a single setting decodes to nothing at all.
		return DefaultOperator(), nil
	}
	if err := operator.check(raw); err != nil {
		return Operator{}, err
	}
	return operator, nil
}

// check names every value that is out of range; raw is the file that they were read from.
func (o Operator) check(raw []byte) error {
	var problems []error
	// Not a number is in no range, so valid is false for it.
	require := func(key string, value float64, valid bool, wanted string) {
		if !valid {
			problems = append(problems, &OperatorSettingError{key, lineOf(raw, key), wanted, value})
		}
	}
	alpha, p, threshold := o.Holds.Alpha, o.Holds.P, o.Holds.Threshold
	require("holds.alpha", alpha, alpha > 1 && alpha <= 100, "above 1 and at most 100")
	require("holds.p", p, p > 0 && p < 1, "between 0 and 1")
	require("holds.threshold", threshold, threshold >= 0 && threshold <= 1, "from 0 to 1")

	share, writeShare, use := o.Budgets.LeaderShare, o.Budgets.LeaderWriteShare, o.Budgets.Use
	require("budgets.leader_share", share, share > 0 && share < 1, "between 0 and 1")
	require("budgets.leader_write_share", writeShare, writeShare > 0 && writeShare < 1, "between 0 and 1")
	require("budgets.use", use, use > 0 && use <= 1, "above 0 and at most 1")

	spare, keep := o.Scaling.Spare, o.Scaling.Keep
	require("renting.spare", spare, spare >= 0 && spare <= 1000, "from 0 to 1000")
	require("renting.keep", keep, keep >= 0 && keep <= 1000, "from 0 to 1000")
	return errors.Join(problems...)
}

// lineOf finds the line on which a key stands, for messages; 0 when it can't.
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
