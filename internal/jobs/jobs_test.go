package jobs

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs/jobstest"
)

// TestBadFields: whatever field is missing, mistyped or absurd, the error
// names it.
func TestBadFields(t *testing.T) {
	if _, err := DecodeSpec([]byte(jobstest.Submission)); err != nil {
		t.Fatalf("good job: %v", err)
	}
	required := []string{
		"nameId", "workload", "owner", "shape", "urgency", "pieces", "vcpus", "accelerators", "ramGb", "bundle",
		"imageGb", "samePlace", "apart", "loaners", "expectS", "snapshotS", "stashS",
	}
	rapid.Check(t, func(t *rapid.T) {
		field := rapid.SampledFrom(required).Draw(t, "field")
		bad := rapid.SampledFrom([]any{nil, []any{}, map[string]any{}, "", -1.0, 1e300}).Draw(t, "value")
		raw := jobstest.Edit(t, func(m map[string]any) { m[field] = bad })
		_, err := DecodeSpec(raw)
		var fe *FieldError
		if !errors.As(err, &fe) || fe.Field != field {
			t.Fatalf("%s = %v: %v", field, bad, err)
		}
	})
	for _, raw := range []string{"", "null", "[]", `"x"`, "{", `{"nameId":1}`, `{}`} {
		if _, err := DecodeSpec([]byte(raw)); err == nil {
			t.Errorf("accepted %q", raw)
		}
	}
	for _, id := range []string{"j-", "k-1", "j-1a", "j-1/2", " j-1", "j--1"} {
		if _, err := DecodeSpec(jobstest.Edit(t, func(m map[string]any) { m["nameId"] = id })); err == nil {
			t.Errorf("accepted id %q", id)
		}
	}
}

// TestNullEqualsOmitted holds for the fields that may be null.
func TestNullEqualsOmitted(t *testing.T) {
	for _, field := range []string{"rigTypes", "hall", "dueS"} {
		a, err1 := DecodeSpec(jobstest.Edit(t, func(m map[string]any) { m[field] = nil }))
		b, err2 := DecodeSpec(jobstest.Edit(t, func(m map[string]any) { delete(m, field) }))
		if err1 != nil || err2 != nil {
			t.Fatalf("%s: %v, %v", field, err1, err2)
		}
		ra, _ := json.Marshal(a)
		rb, _ := json.Marshal(b)
		if string(ra) != string(rb) {
			t.Errorf("%s: %s differs from %s", field, ra, rb)
		}
	}
}

// TestJobSurvivesItsRecord: what is recorded reads back the same.
func TestJobSurvivesItsRecord(t *testing.T) {
	j, err := DecodeSpec([]byte(jobstest.Submission))
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := json.Marshal(j)
	var back Spec
	if err := json.Unmarshal(raw, &back); err != nil {
		t.Fatal(err)
	}
	again, _ := json.Marshal(&back)
	if string(raw) != string(again) || back.Tasks != 16 || !back.SameZone {
		t.Errorf("%s became %s", raw, again)
	}
}

func TestNeverRuns(t *testing.T) {
	teams := []config.Team{{Name: "vision", MaxGPUs: 16}, {Name: "free"}}
	types := []MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a", "b"}}}
	for _, c := range []struct {
		why  string
		edit func(j *Spec)
	}{
		{"", func(*Spec) {}},
		{"", func(j *Spec) { j.Team, j.Tasks = "free", 1000 }},
		{"owner", func(j *Spec) { j.Team = "nobody" }},
		{"limit", func(j *Spec) { j.Tasks = 17 }},
		{"", func(j *Spec) { j.Tasks, j.Kind = 17, KindArray }},
		{"fits no", func(j *Spec) { j.GPUs = 9 }},
		{"fits no", func(j *Spec) { j.MachineTypes = []string{"other"} }},
		{"fits no", func(j *Spec) { j.Zone = "c" }},
		{"contradicts", func(j *Spec) { j.SpreadZones = true }},
	} {
		j, err := DecodeSpec([]byte(jobstest.Submission))
		if err != nil {
			t.Fatal(err)
		}
		c.edit(j)
		err = CheckRunnable(j, teams, types)
		if (err == nil) != (c.why == "") || err != nil && !strings.Contains(err.Error(), c.why) {
			t.Errorf("want %q, got %v", c.why, err)
		}
	}
}
