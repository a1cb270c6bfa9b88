package wal

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"thornnotch/internal/statestore"
)

// TestReplayReportsDamagedRecords checks that Replay fails and names the record if a live record
// is damaged or missing, and that a foreign key is listed and otherwise ignored.
func TestReplayReportsDamagedRecords(t *testing.T) {
	store := newFakeStore()
	writer := NewWriter(1, Limits{ValueBytes: 2000, TxnOps: 8}, Head{}, 0)
	writer.AttemptPlaced("m-1", Attempt{Task: "j-1/0", Number: 1, Epoch: 1}, "j-1", JobUsage{Team: "x"}, nil)
	commitNext(t, store, writer, nil)

	foreignKey := Prefix + "note"
	store.rows[foreignKey] = statestore.KeyValue{Key: foreignKey, Value: json.RawMessage(`"hello"`)}
	if state, foreign, err := Replay(store.allRows()); err != nil || !slices.Equal(foreign, []string{foreignKey}) || len(state.Machines["m-1"].Attempts) != 1 {
		t.Errorf("state %v, foreign keys %v, error %v", state, foreign, err)
	}

	damaged := smallRingKey(0)
	for _, test := range []struct {
		name  string
		value string // empty: the record is missing
		want  any    // pointer to the expected error type
	}{
		{"wrong type", `7`, new(*UnreadableRecordError)},
		{"wrong entry", `{"s":99}`, new(*MisplacedEntryError)},
		{"missing", ``, new(*MissingRecordError)},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.value == "" {
				delete(store.rows, damaged)
			} else {
				store.rows[damaged] = statestore.KeyValue{Key: damaged, Value: json.RawMessage(test.value)}
			}
			_, _, err := Replay(store.allRows())
			if !errors.As(err, test.want) || !strings.Contains(err.Error(), damaged) {
				t.Errorf("value %q: error %v", test.value, err)
			}
		})
	}
}
