package workers

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	fast "github.com/segmentio/encoding/json"
	"pgregory.net/rapid"
)

// TestDecodeHeartbeat checks that valid heartbeats are decoded, also with unknown fields, that
// invalid ones are rejected, and that task IDs survive formatting and parsing.
func TestDecodeHeartbeat(t *testing.T) {
	good := `{"rig":"m-1","endpoint":"1.2.3.4:9","rigType":"g","hall":"a","loaners":true,"shift":1,"tick":3,"warrant":2,"recallS":null,"new":{},"pieces":[{"piece":"j-1/0","try":1,"status":"exited","cause":"done"}]}`
	if heartbeat, err := DecodeHeartbeat([]byte(good)); err != nil || len(heartbeat.Tasks) != 1 {
		t.Fatalf("valid heartbeat: %v", err)
	}
	for _, bad := range []string{
		``, `[]`, `{`, `{"rig":"m-1"}`, `{"rig":"a b","rigType":"g","hall":"a","shift":1}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":-1}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":1,"pieces":[{"piece":"x","try":1,"status":"running"}]}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":1,"pieces":[{"piece":"j-1/01","try":1,"status":"running"}]}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":1,"pieces":[{"piece":"j-1/0","try":1,"status":"odd"}]}`,
	} {
		if _, err := DecodeHeartbeat([]byte(bad)); err == nil {
			t.Errorf("invalid heartbeat accepted: %s", bad)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		id := TaskID{fmt.Sprintf("j-%d", rapid.IntRange(0, 1<<30).Draw(t, "job")), rapid.IntRange(0, 99999).Draw(t, "index")}
		if got, err := ParseTaskID(id.String()); err != nil || got != id {
			t.Fatalf("%v parsed as %v, %v", id, got, err)
		}
	})
}

// TestDecoderMatchesStandardLibrary checks that the faster JSON decoder accepts the same valid
// and corrupted heartbeats as encoding/json and decodes them to the same values.
func TestDecoderMatchesStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw, err := json.Marshal(drawHeartbeat(t))
		if err != nil {
			t.Fatal(err)
		}
		raw = drawCorruption(t, raw)
		var fromFast, fromStandard Heartbeat
		fastErr, standardErr := fast.Unmarshal(raw, &fromFast), json.Unmarshal(raw, &fromStandard)
		if (fastErr == nil) != (standardErr == nil) {
			t.Fatalf("%q: error %v, encoding/json error %v", raw, fastErr, standardErr)
		}
		if standardErr == nil && !reflect.DeepEqual(fromFast, fromStandard) {
			t.Fatalf("%q: decoded %+v, encoding/json decoded %+v", raw, fromFast, fromStandard)
		}
	})
}

// drawHeartbeat draws a heartbeat with arbitrary field values.
func drawHeartbeat(t *rapid.T) Heartbeat {
	text := rapid.StringMatching(`[a-zA-Z0-9 ./_"\\\x{e4}\x{2028}\n-]{0,12}`)
	heartbeat := Heartbeat{
		Machine:     text.Draw(t, "machine"),
		Endpoint:    text.Draw(t, "endpoint"),
		MachineType: text.Draw(t, "type"),
		Zone:        text.Draw(t, "zone"),
		Spot:        rapid.Bool().Draw(t, "spot"),
		Epoch:       rapid.Uint64().Draw(t, "epoch"),
		Sequence:    rapid.Uint64().Draw(t, "sequence"),
		Token:       rapid.Uint64().Draw(t, "token"),
	}
	if rapid.Bool().Draw(t, "reclaim") {
		seconds := rapid.Float64Range(-1e9, 1e9).Draw(t, "seconds")
		heartbeat.ReclaimInS = &seconds
	}
	for range rapid.IntRange(0, 4).Draw(t, "tasks") {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskReport{
			Task:            text.Draw(t, "task"),
			Attempt:         rapid.Uint64().Draw(t, "attempt"),
			Status:          TaskStatus(text.Draw(t, "status")),
			Cause:           ExitCause(text.Draw(t, "cause")),
			CheckpointSaved: rapid.Bool().Draw(t, "saved"),
		})
	}
	return heartbeat
}

// drawCorruption truncates the text, replaces a byte, inserts a fragment, or changes nothing.
func drawCorruption(t *rapid.T, raw []byte) []byte {
	switch rapid.IntRange(0, 5).Draw(t, "corruption") {
	case 0:
		return raw[:rapid.IntRange(0, len(raw)).Draw(t, "cut")]
	case 1:
		at := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
		raw[at] = rapid.SampledFrom([]byte(`{}[]",:0-e nt`)).Draw(t, "byte")
	case 2:
		at := rapid.IntRange(0, len(raw)).Draw(t, "at")
		fragment := rapid.SampledFrom([]string{`"x":1,`, `,`, `null`, `{"a":[1,{}]},`, ` `, "\x00", `"`}).Draw(t, "more")
		return slices.Concat(raw[:at], []byte(fragment), raw[at:])
	}
	return raw
}

// BenchmarkDecodeHeartbeat decodes the heartbeat of a machine with eight tasks. Heartbeats are
// most of the messages that the leader decodes.
func BenchmarkDecodeHeartbeat(b *testing.B) {
	heartbeat := Heartbeat{
		Machine: "m-000231", Endpoint: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Spot: true,
		Epoch: 1, Sequence: 88, Token: 41,
	}
	for i := range 8 {
		task := TaskID{"j-000412", i}
		heartbeat.Tasks = append(heartbeat.Tasks, TaskReport{Task: task.String(), Attempt: 2, Status: StatusRunning})
	}
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeHeartbeat(raw); err != nil {
			b.Fatal(err)
		}
	}
}
