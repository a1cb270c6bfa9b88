package jobs

import (
	"strings"
	"testing"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs/jobstest"
)

// TestCheckRunnable checks that jobs that can never run are rejected with the reason. An empty
// reason stands for a job that can run.
func TestCheckRunnable(t *testing.T) {
	teams := []config.Team{{Name: "vision", MaxGPUs: 16}, {Name: "free"}}
	types := []MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a", "b"}}}
	for _, test := range []struct {
		reason string
		edit   func(spec *Spec)
	}{
		{"", func(*Spec) {}},
		{"", func(spec *Spec) { spec.Team, spec.Tasks = "free", 1000 }},
		{"owner", func(spec *Spec) { spec.Team = "nobody" }},
		{"limit", func(spec *Spec) { spec.Tasks = 17 }},
		{"", func(spec *Spec) { spec.Tasks, spec.Kind = 17, KindArray }},
		{"fits no", func(spec *Spec) { spec.GPUs = 9 }},
		{"fits no", func(spec *Spec) { spec.MachineTypes = []string{"other"} }},
		{"fits no", func(spec *Spec) { spec.Zone = "c" }},
		{"contradicts", func(spec *Spec) { spec.SpreadZones = true }},
	} {
		spec, err := DecodeSpec([]byte(jobstest.Submission))
		if err != nil {
			t.Fatal(err)
		}
		test.edit(spec)
		err = CheckRunnable(spec, teams, types)
		if (err == nil) != (test.reason == "") || err != nil && !strings.Contains(err.Error(), test.reason) {
			t.Errorf("want an error that contains %q, got %v", test.reason, err)
		}
	}
}
