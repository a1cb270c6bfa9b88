package config

import (
	"strings"
	"testing"
)

const goodSettings = `label = "rig-0"
site = "east"
listen = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
unknown = "ignored"
[[known]]
label = "rig-1"
addr = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
count = 2
[[params.teams]]
name = "vision"
gpus = 4.0
gpus_max = 8.0
[[params.objectives]]
kind = "wait"
class = "x"
within_s = 30.0
share = 0.9
[[params.objectives]]
kind = "deadline"
class = "y"
share = 0.8
times = 1.5
[[params.objectives]]
kind = "useful"
share = 7
novel = true
[params.workers]
report_s = 2.0
lease_s = 12.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 37.0
[params.state]
rps = 150.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 12
[params.cloud]
rps = 2.0
list_lag_s = 10.0
`

// TestSettingsProblems: every problem is named with its key, all at once.
func TestSettingsProblems(t *testing.T) {
	if _, err := Parse(goodSettings); err != nil {
		t.Fatalf("good settings: %v", err)
	}
	for _, c := range []struct{ from, to, key string }{
		{`label = "rig-0"`, ``, "label"},
		{`"10.0.0.1:8080"`, `"10.0.0.1"`, "listen"},
		{`label = "rig-1"`, `label = "rig-0"`, "known[0].label"},
		{`gpus_max = 8.0`, `gpus_max = 2.0`, "params.teams[0].gpus"},
		{`gpus = 4.0`, `gpus = -4.0`, "params.teams[0].gpus"},
		{`lease_s = 12.0`, `lease_s = 0.0`, "params.workers.lease_s"},
		{`cancel_s = 37.0`, `cancel_s = 10.0`, "params.workers.cancel_s"},
		{`txn_ops = 12`, `txn_ops = 1`, "params.state.txn_ops"},
		{`rps = 2.0`, `rps = nan`, "params.cloud.rps"},
		{`within_s = 30.0`, ``, "params.objectives[0].within_s"},
		{`share = 0.9`, ``, "params.objectives[0].share"},
		{`class = "x"`, ``, "params.objectives[0].class"},
		{`times = 1.5`, `times = -1`, "params.objectives[1].times"},
		{`times = 1.5`, `times = nan`, "params.objectives[1].times"},
		{`share = 0.8`, `share = 1.8`, "params.objectives[1].share"},
		{`count = 2`, `count = "two"`, "count"},
		{`[params]`, `[params`, "line"},
	} {
		_, err := Parse(strings.Replace(goodSettings, c.from, c.to, 1))
		if err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: %v", c.to, err)
		}
	}
	_, err := Parse("label = \"x\"\n")
	if err == nil || strings.Count(err.Error(), "\n") < 8 {
		t.Errorf("not all problems are named: %v", err)
	}
}

// TestOperatorProblems: unknown keys and values out of range are named with
// key and line.
func TestOperatorProblems(t *testing.T) {
	op, err := ParseOperator([]byte("holds:\n  p: 0.5\n"))
	if err != nil || op.Holds.P != 0.5 || op.Holds.Alpha != DefaultOperator().Holds.Alpha {
		t.Fatalf("%+v, %v", op, err)
	}
	if op, err := ParseOperator(nil); err != nil || op != DefaultOperator() {
		t.Fatalf("empty file: %+v, %v", op, err)
	}
	for text, want := range map[string][]string{
		"holds:\n  q: 1\n":            {"q", "2"},
		"holds:\n  p: 1.5\n":          {"holds.p", "line 2"},
		"holds:\n  alpha: 0.9\n":      {"holds.alpha", "line 2"},
		"budgets:\n  use: 0\n":        {"budgets.use", "line 2"},
		"renting:\n\n  spare: -1\n":   {"renting.spare", "line 3"},
		"holds: [\n":                  {"operator settings"},
		"holds:\n  threshold: lots\n": {"2"},
	} {
		_, err := ParseOperator([]byte(text))
		for _, w := range want {
			if err == nil || !strings.Contains(err.Error(), w) {
				t.Errorf("%q: want %q in: %v", text, w, err)
			}
		}
	}
}

// TestLargeSite: five nodes, thousands of GPUs, small values and large
// transactions are as good as the small site.
func TestLargeSite(t *testing.T) {
	text := strings.Replace(goodSettings, "[services]", `[[known]]
label = "rig-2"
addr = "10.0.0.3:8081"
[[known]]
label = "rig-3"
addr = "10.0.0.4:8081"
[[known]]
label = "rig-4"
addr = "10.0.0.5:8081"
[services]`, 1)
	for from, to := range map[string]string{
		"count = 2": "count = 5", "gpus = 4.0": "gpus = 2000.0", "gpus_max = 8.0": "gpus_max = 7000.0",
		"value_kb = 16.0": "value_kb = 8.0", "txn_ops = 12": "txn_ops = 32",
	} {
		text = strings.Replace(text, from, to, 1)
	}
	s, err := Parse(text)
	if err != nil || len(s.Peers) != 4 || s.Params.Count != 5 || s.Params.Teams[0].MaxGPUs != 7000 {
		t.Fatalf("%+v: %v", s, err)
	}
	if _, err := Parse(strings.Replace(text, `"rig-4"`, `"rig-3"`, 1)); err == nil || !strings.Contains(err.Error(), "known[3].label") {
		t.Errorf("a node named twice: %v", err)
	}
}

// TestLimitsToCome: values and transactions keep within the smaller of both limits
// from the start, rates fall only once they are found to have fallen, what is not
// named stays, and senseless ones are named.
func TestLimitsToCome(t *testing.T) {
	with := func(next string) string {
		return strings.Replace(goodSettings, "[params.cloud]", "[params.state.next]\n"+next+"\n[params.cloud]", 1)
	}
	for _, c := range []struct {
		next     string
		kb       float64
		ops      int
		rps, wps float64
	}{
		{"", 16, 12, 150, 50},
		{"value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 35.0", 2, 4, 150, 35},
		{"value_kb = 32.0\ntxn_ops = 40\nrps = 900.0", 16, 12, 150, 50},
		{"rps = 20.0\nnovel = 1", 16, 12, 20, 50},
	} {
		s, err := Parse(with(c.next))
		if err != nil {
			t.Fatalf("%q: %v", c.next, err)
		}
		st := s.Params.State
		if st.ValueKB != c.kb || st.TxnOps != c.ops {
			t.Errorf("%q: %v KB, %d changes", c.next, st.ValueKB, st.TxnOps)
		}
		if rps, wps := st.Rates(false); rps != 150 || wps != 50 {
			t.Errorf("%q: now %v, %v", c.next, rps, wps)
		}
		if rps, wps := st.Rates(true); rps != c.rps || wps != c.wps {
			t.Errorf("%q: fallen %v, %v", c.next, rps, wps)
		}
	}
	for next, key := range map[string]string{
		"value_kb = 0.0": "params.state.next.value_kb", "txn_ops = 2": "params.state.next.txn_ops",
		"write_rps = -1.0": "params.state.next.write_rps", "rps = nan": "params.state.next.rps",
	} {
		if _, err := Parse(with(next)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%q: %v", next, err)
		}
	}
}
