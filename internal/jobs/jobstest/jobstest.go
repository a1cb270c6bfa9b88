// Package jobstest provides job submissions for tests.
package jobstest

import (
	"encoding/json"
	"testing"

	"thornnotch/internal/wirejson"
)

// Submission is a valid submission of a gang. It contains every field except waitsOn, and a
// field that the protocol doesn't define.
const Submission = `{"nameId":"j-000412","workload":"train","owner":"vision","shape":"gang","urgency":"urgent","pieces":16,
 "vcpus":8.0,"accelerators":1.0,"ramGb":64.0,"bundle":"img-07","imageGb":6.2,"rigTypes":["g8"],"hall":null,"samePlace":true,
 "apart":false,"loaners":true,"expectS":240.0,"snapshotS":30.0,"stashS":4.0,"dueS":900.0,"unknown":[1]}`

// TestingT is the subset of testing.TB that rapid.T implements too.
type TestingT interface {
	Helper()
	Fatal(args ...any)
}

var _ TestingT = testing.TB(nil)

// Edit returns Submission with its fields modified by edit.
func Edit(t TestingT, edit func(fields map[string]any)) []byte {
	t.Helper()
	var fields map[string]any
	if err := wirejson.Decode([]byte(Submission), &fields); err != nil {
		t.Fatal(err)
	}
	edit(fields)
	raw, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
