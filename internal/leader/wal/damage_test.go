package wal

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"thornnotch/internal/statestore"
)

// TestDamagedLog: a value that counts and can't be read stops the failover and
// is named; a foreign key is named and does no harm.
func TestDamagedLog(t *testing.T) {
	store := newFakeStore()
	writer := NewWriter(1, Limits{ValueBytes: 2000, TxnOps: 8}, Head{}, 0)
	writer.AttemptPlaced("m-1", Attempt{Task: "j-1/0", Number: 1, Epoch: 1}, "j-1", JobUse{Team: "x"}, nil)
	commitNext(t, store, writer, nil)

	foreignKey := Prefix + "note"
	store.rows[foreignKey] = statestore.KeyValue{Key: foreignKey, Value: json.RawMessage(`"hello"`)}
	if state, foreign, err := Read(store.allRows()); err != nil || !slices.Equal(foreign, []string{foreignKey}) || len(state.Machines["m-1"].Attempts) != 1 {
		t.Errorf("%v %v %v", state, foreign, err)
	}

	damaged := smallRingKey(0)
	for _, test := range []struct {
		name  string
		value string // none: the record is missing
		want  any    // pointer to the error's type
	}{
		{"another type", `7`, new(*UnreadableRecordError)},
		{"another entry", `{"s":99}`, new(*MisplacedEntryError)},
		{"missing", ``, new(*MissingRecordError)},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.value == "" {
				delete(store.rows, damaged)
			} else {
				store.rows[damaged] = statestore.KeyValue{Key: damaged, Value: json.RawMessage(test.value)}
			}
			_, _, err := Read(store.allRows())
			if !errors.As(err, test.want) || !strings.Contains(err.Error(), damaged) {
				t.Errorf("%q is read: %v", test.value, err)
			}
		})
	}
}
