package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

const validSettings = `label = "rig-0"
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

// TestSettingsErrorsNameKey checks that the error contains the key of an invalid setting, and
// that one error reports all invalid settings together, in the order of the file.
func TestSettingsErrorsNameKey(t *testing.T) {
	if _, err := Parse(validSettings); err != nil {
		t.Fatalf("valid settings: %v", err)
	}
	for _, test := range []struct{ old, replacement, wantKey string }{
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
		{`count = 2`, `count = "two"`, "params.count"},
		{`count = 2`, `count = 2.5`, "params.count"},
		{`label = "rig-1"`, `label = 3`, "known[0].label"},
		{`[[params.teams]]`, `[params.teams]`, "params.teams"},
		{`[params]`, `[params`, "line"},
	} {
		_, err := Parse(strings.Replace(validSettings, test.old, test.replacement, 1))
		if err == nil || !strings.Contains(err.Error(), test.wantKey) {
			t.Errorf("%s: error does not contain the key: %v", test.replacement, err)
		}
	}
	_, err := Parse("label = \"x\"\n")
	if err == nil || strings.Count(err.Error(), "\n") < 8 {
		t.Errorf("error does not list all problems: %v", err)
	}
	var problem *SettingError
	if !errors.As(err, &problem) || problem.Key != "site" {
		t.Errorf("first problem is not that of key site: %v", err)
	}
}

// TestSettingsOfLargeClusterAreAccepted checks that the settings of a large cluster are accepted:
// five nodes, thousands of GPUs, small values and large transactions.
func TestSettingsOfLargeClusterAreAccepted(t *testing.T) {
	text := strings.Replace(validSettings, "[services]", `[[known]]
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
	settings, err := Parse(text)
	if err != nil || len(settings.Peers) != 4 || settings.Params.NodeCount != 5 || settings.Params.Teams[0].MaxGPUs != 7000 {
		t.Fatalf("large cluster: got %+v, error %v", settings, err)
	}
	if _, err := Parse(strings.Replace(text, `"rig-4"`, `"rig-3"`, 1)); err == nil || !strings.Contains(err.Error(), "known[3].label") {
		t.Errorf("duplicate peer name: %v", err)
	}
}

// TestUpcomingLimits checks that upcoming size limits apply from the start if they are smaller,
// that upcoming rates apply only after the rates have been lowered, that absent limits do not
// change anything, and that invalid ones are reported.
func TestUpcomingLimits(t *testing.T) {
	withNext := func(next string) string {
		return strings.Replace(validSettings, "[params.cloud]", "[params.state.next]\n"+next+"\n[params.cloud]", 1)
	}
	for _, test := range []struct {
		next                          string
		valueKB                       float64
		txnOps                        int
		upcomingRPS, upcomingWriteRPS float64
	}{
		{"", 16, 12, 150, 50},
		{"value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 35.0", 2, 4, 150, 35},
		{"value_kb = 32.0\ntxn_ops = 40\nrps = 900.0", 16, 12, 150, 50},
		{"rps = 20.0\nnovel = 1", 16, 12, 20, 50},
	} {
		settings, err := Parse(withNext(test.next))
		if err != nil {
			t.Fatalf("%q: not accepted: %v", test.next, err)
		}
		limits := settings.Params.State
		if limits.ValueKB != test.valueKB || limits.TxnOps != test.txnOps {
			t.Errorf("%q: %v KiB, %d writes", test.next, limits.ValueKB, limits.TxnOps)
		}
		if rps, writeRPS := limits.Rates(false); rps != 150 || writeRPS != 50 {
			t.Errorf("%q: present rates %v, %v", test.next, rps, writeRPS)
		}
		if rps, writeRPS := limits.Rates(true); rps != test.upcomingRPS || writeRPS != test.upcomingWriteRPS {
			t.Errorf("%q: upcoming rates %v, %v", test.next, rps, writeRPS)
		}
	}
	for next, key := range map[string]string{
		"value_kb = 0.0": "params.state.next.value_kb", "txn_ops = 2": "params.state.next.txn_ops",
		"write_rps = -1.0": "params.state.next.write_rps", "rps = nan": "params.state.next.rps",
	} {
		if _, err := Parse(withNext(next)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%q: error does not contain the key: %v", next, err)
		}
	}
}

// TestUnknownSettingsOfOtherCaseAreIgnored guards against settings taken from unknown fields whose names
// differ from known ones only in the case of their letters. Fields of one table are decoded in random
// order, so nodes with the same file could have different settings.
func TestUnknownSettingsOfOtherCaseAreIgnored(t *testing.T) {
	want, err := Parse(validSettings)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(
		`label = "rig-0"`, "label = \"rig-0\"\nLabel = \"rig-7\"\nSITE = 5",
		`[services]`, "[Services]\ncloud = \"10.9.9.9:1\"\n[services]\nState = \"10.9.9.9:2\"",
		`gpus = 4.0`, "gpus = 4.0\nGpus = 900.0\nCPUS_MAX = 1.0",
		`lease_s = 12.0`, "lease_s = 12.0\nLease_s = 99.0\n\"lea\u017fe_s\" = 98.0\nLEASE_S = \"x\"",
		`txn_ops = 12`, "txn_ops = 12\nTxn_Ops = 3\nNext = { txn_ops = 2 }",
	).Replace(validSettings)
	for range 20 {
		got, err := Parse(text)
		if err != nil {
			t.Fatalf("with unknown fields: %v", err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("with unknown fields: got %+v, want %+v", got, want)
		}
	}
	for _, test := range []struct{ name, variant, wantKey string }{
		{"label = \"rig-0\"", "Label = \"rig-0\"", "label"},
		{"lease_s", "Lease_S", "params.workers.lease_s"},
		{"[params.state]", "[params.State]", "params.state.rps"},
	} {
		_, err := Parse(strings.Replace(validSettings, test.name, test.variant, 1))
		var problem *SettingError
		if !errors.As(err, &problem) || problem.Key != test.wantKey {
			t.Errorf("%s in place of %s: got %v, want a problem of %s", test.variant, test.name, err, test.wantKey)
		}
	}
}
