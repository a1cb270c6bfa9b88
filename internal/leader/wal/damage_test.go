package wal

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"

	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson/wirejsontest"
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

// TestReplayIgnoresFieldsOfOtherCase guards against machines and attempts restored from unknown fields of
// the log's records, such as one that a later version adds.
func TestReplayIgnoresFieldsOfOtherCase(t *testing.T) {
	rows := func(head, part, entry string) []statestore.KeyValue {
		return []statestore.KeyValue{
			{Key: HeadKey, Value: json.RawMessage(head)},
			{Key: partKey(areaA, 0), Value: json.RawMessage(part)},
			{Key: smallRingKey(7), Value: json.RawMessage(entry)},
		}
	}
	const head = `{"term":3,"turn":9,"from":7,"next":8,"area":"a","parts":1}`
	want, _, err := Replay(rows(head,
		`{"r":{"m-1":{"t":"g4","z":"east","h":2,"a":[{"p":"j-1/0","t":5,"h":2}]}},"d":{"j-2":[{"f":0,"b":"AQ=="}]}}`,
		`{"s":7,"r":{"m-1":{"a":[{"p":"j-1/1","t":6,"h":2}],"x":[{"p":"j-1/0","t":5,"h":2}]}},"d":{"j-2":[3]}}`))
	if err != nil || len(want.Machines["m-1"].Attempts) != 1 {
		t.Fatalf("got %+v, error %v", want, err)
	}
	got, _, err := Replay(rows(string(wirejsontest.AddCaseVariants(t, []byte(head))),
		`{"R":{},"r":{"m-1":{"t":"g4","z":"east","h":2,"Z":"west","H":9,"a":[{"p":"j-1/0","t":5,"h":2,"T":4}],"A":[]}},"d":{"j-2":[{"f":0,"b":"AQ==","F":8}]},"D":{}}`,
		`{"S":8,"s":7,"S":6,"r":{"m-1":{"a":[{"p":"j-1/1","t":6,"h":2,"P":"j-9/9"}],"x":[{"p":"j-1/0","t":5,"h":2}],"X":[],"G":true}},"d":{"j-2":[3]},"R":"x"}`))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}
