package config

import (
	"strings"
	"testing"
)

// TestOperatorProblems: unknown keys and values out of range are named with
// key and line.
func TestOperatorProblems(t *testing.T) {
	operator, err := ParseOperator([]byte("holds:\n  p: 0.5\n"))
	if err != nil || operator.Holds.P != 0.5 || operator.Holds.Alpha != DefaultOperator().Holds.Alpha {
		t.Fatalf("%+v, %v", operator, err)
	}
	if operator, err := ParseOperator(nil); err != nil || operator != DefaultOperator() {
		t.Fatalf("empty file: %+v, %v", operator, err)
	}
	for text, named := range map[string][]string{
		"holds:\n  q: 1\n":            {"q", "2"},
		"holds:\n  p: 1.5\n":          {"holds.p", "line 2"},
		"holds:\n  alpha: 0.9\n":      {"holds.alpha", "line 2"},
		"budgets:\n  use: 0\n":        {"budgets.use", "line 2"},
		"renting:\n\n  spare: -1\n":   {"renting.spare", "line 3"},
		"holds: [\n":                  {"operator settings"},
		"holds:\n  threshold: lots\n": {"2"},
	} {
		_, err := ParseOperator([]byte(text))
		for _, part := range named {
			if err == nil || !strings.Contains(err.Error(), part) {
				t.Errorf("%q: want %q in: %v", text, part, err)
			}
		}
	}
}
