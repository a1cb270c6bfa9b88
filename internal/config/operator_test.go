package config

import (
	"strings"
	"testing"
)

// TestOperatorErrorsNameKeyAndLine checks that errors for unknown keys and invalid values
// contain the key and its line.
func TestOperatorErrorsNameKeyAndLine(t *testing.T) {
	operator, err := ParseOperator([]byte("holds:\n  p: 0.5\n"))
	if err != nil || operator.Reservations.P != 0.5 || operator.Reservations.Alpha != DefaultOperator().Reservations.Alpha {
		t.Fatalf("file with one setting: got %+v, error %v", operator, err)
	}
	if operator, err := ParseOperator(nil); err != nil || operator != DefaultOperator() {
		t.Fatalf("empty file: got %+v, error %v", operator, err)
	}
	for text, wantParts := range map[string][]string{
		"holds:\n  q: 1\n":            {"q", "2"},
		"holds:\n  P: 0.5\n":          {"unknown field", "P", "2"},
		"Holds:\n  p: 0.5\n":          {"unknown field", "Holds", "1"},
		"holds:\n  p: 1.5\n":          {"holds.p", "line 2"},
		"holds:\n  alpha: 0.9\n":      {"holds.alpha", "line 2"},
		"budgets:\n  use: 0\n":        {"budgets.use", "line 2"},
		"renting:\n\n  spare: -1\n":   {"renting.spare", "line 3"},
		"holds: [\n":                  {"operator settings"},
		"holds:\n  threshold: lots\n": {"2"},
	} {
		_, err := ParseOperator([]byte(text))
		for _, want := range wantParts {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q: want %q in: %v", text, want, err)
			}
		}
	}
}
