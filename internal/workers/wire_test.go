package workers

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/wirejson"
	"thornnotch/internal/wirejson/wirejsontest"
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

// reportedHeartbeat has all fields of a heartbeat.
const reportedHeartbeat = `{"rig":"m-1","endpoint":"1.2.3.4:9","rigType":"g","hall":"a","loaners":true,"shift":1,"tick":3,"warrant":2,
 "recallS":8.5,"pieces":[{"piece":"j-1/0","try":1,"status":"exited","cause":"done","saved":true},{"piece":"j-1/1","try":2,"status":"running"}]}`

// TestHeartbeatIgnoresFieldsOfOtherCase guards against a machine's zone, epoch or tasks being taken
// from unknown fields of its heartbeat, such as "Hall" beside "hall".
func TestHeartbeatIgnoresFieldsOfOtherCase(t *testing.T) {
	wirejsontest.CheckIgnored(t, reportedHeartbeat, DecodeHeartbeat)
	for _, field := range []string{"rig", "rigType", "hall", "shift"} {
		for _, variant := range wirejsontest.CaseVariants(field) {
			text := strings.Replace(reportedHeartbeat, `"`+field+`":`, `"`+variant+`":`, 1)
			if _, err := DecodeHeartbeat([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), field+": ") {
				t.Errorf("%s in place of %s: got error %v", variant, field, err)
			}
		}
	}
}

// TestDirectCommandResponseIgnoresFieldsOfOtherCase guards against the same in the heartbeat with
// which a worker responds to direct commands.
func TestDirectCommandResponseIgnoresFieldsOfOtherCase(t *testing.T) {
	want, err := DecodeHeartbeat([]byte(reportedHeartbeat))
	if err != nil {
		t.Fatal(err)
	}
	body := wirejsontest.AddCaseVariants(t, []byte(reportedHeartbeat))
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(body) // only the client is tested
	}))
	defer worker.Close()
	client := NewCommandClient(new(net.Dialer).DialContext)
	got, err := client.Send(t.Context(), worker.Listener.Addr().String(), CommandBatch{Token: 2, Epoch: 1})
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}

// TestDecoderMatchesStandardLibrary checks that the JSON decoder accepts the same valid and corrupted
// heartbeats as encoding/json and decodes them to the same values. It differs from encoding/json only for
// fields of other case, which drawCorruption does not make.
func TestDecoderMatchesStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw, err := json.Marshal(drawHeartbeat(t))
		if err != nil {
			t.Fatal(err)
		}
		raw = drawCorruption(t, raw)
		var got, want Heartbeat
		err, standardErr := wirejson.Decode(raw, &got), json.Unmarshal(raw, &want) //nolint:forbidigo // compared with Decode
		if (err == nil) != (standardErr == nil) {
			t.Fatalf("%q: error %v, encoding/json error %v", raw, err, standardErr)
		}
		if standardErr == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("%q: decoded %+v, encoding/json decoded %+v", raw, got, want)
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
		raw[at] = rapid.SampledFrom([]byte(`{}[]",:0-e nu`)).Draw(t, "byte")
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
