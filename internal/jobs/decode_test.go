package jobs

import (
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/jobs/jobstest"
	"thornnotch/internal/wirejson/wirejsontest"
)

// requiredFields are the wire names of the fields that a submission must contain.
var requiredFields = []string{
	"nameId", "workload", "owner", "shape", "urgency", "pieces", "vcpus", "accelerators", "ramGb", "bundle",
	"imageGb", "samePlace", "apart", "loaners", "expectS", "snapshotS", "stashS",
}

// TestInvalidFields checks that the error names the field that is missing, mistyped or out of
// range.
func TestInvalidFields(t *testing.T) {
	if _, err := DecodeSpec([]byte(jobstest.Submission)); err != nil {
		t.Fatalf("valid submission: %v", err)
	}
	rapid.Check(t, func(t *rapid.T) {
		field := rapid.SampledFrom(requiredFields).Draw(t, "field")
		bad := rapid.SampledFrom([]any{nil, []any{}, map[string]any{}, "", -1.0, 1e300}).Draw(t, "value")
		body := jobstest.Edit(t, func(fields map[string]any) { fields[field] = bad })
		_, err := DecodeSpec(body)
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != field {
			t.Fatalf("%s = %v: error does not name the field: %v", field, bad, err)
		}
	})
	for _, body := range []string{"", "null", "[]", `"x"`, "{", `{"nameId":1}`, `{}`} {
		if _, err := DecodeSpec([]byte(body)); err == nil {
			t.Errorf("accepted %q", body)
		}
	}
	for field, word := range map[string]string{"shape": "circle", "urgency": "whenever"} {
		_, err := DecodeSpec(jobstest.Edit(t, func(fields map[string]any) { fields[field] = word }))
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != field {
			t.Errorf("%s = %q: error does not name the field: %v", field, word, err)
		}
	}
	for _, id := range []string{"j-", "k-1", "j-1a", "j-1/2", " j-1", "j--1"} {
		if _, err := DecodeSpec(jobstest.Edit(t, func(fields map[string]any) { fields["nameId"] = id })); err == nil {
			t.Errorf("accepted id %q", id)
		}
	}
}

// TestNullFieldEqualsOmitted checks that null means the same as omission for the optional
// fields.
func TestNullFieldEqualsOmitted(t *testing.T) {
	for _, field := range []string{"rigTypes", "hall", "dueS"} {
		null, nullErr := DecodeSpec(jobstest.Edit(t, func(fields map[string]any) { fields[field] = nil }))
		omitted, omittedErr := DecodeSpec(jobstest.Edit(t, func(fields map[string]any) { delete(fields, field) }))
		if nullErr != nil || omittedErr != nil {
			t.Fatalf("%s: %v, %v", field, nullErr, omittedErr)
		}
		if fromNull, fromOmitted := encode(t, null), encode(t, omitted); fromNull != fromOmitted {
			t.Errorf("%s: null gives %s, omission gives %s", field, fromNull, fromOmitted)
		}
	}
}

func encode(t *testing.T, spec *Spec) string {
	t.Helper()
	raw, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestUnknownFieldsOfOtherCaseAreIgnored guards against tasks in a zone, on a machine type or under a
// job ID that the user gave only in an unknown field, such as "Hall" beside "hall".
func TestUnknownFieldsOfOtherCaseAreIgnored(t *testing.T) {
	submitted := jobstest.Edit(t, func(fields map[string]any) {
		fields["hall"], fields["waitsOn"] = "east", []string{"j-1", "j-2"}
	})
	wirejsontest.CheckIgnored(t, string(submitted), DecodeSpec)
}

// TestFieldOfOtherCaseIsMissing guards against the acceptance of a submission that lacks a required
// field but has an unknown one whose name differs from it only in the case of its letters.
func TestFieldOfOtherCaseIsMissing(t *testing.T) {
	for _, field := range requiredFields {
		for _, variant := range wirejsontest.CaseVariants(field) {
			_, err := DecodeSpec(jobstest.Edit(t, func(fields map[string]any) {
				fields[variant] = fields[field]
				delete(fields, field)
			}))
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != field {
				t.Errorf("%s in place of %s: got error %v", variant, field, err)
			}
		}
	}
}

// BenchmarkDecodeSpec decodes a submission.
func BenchmarkDecodeSpec(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeSpec([]byte(jobstest.Submission)); err != nil {
			b.Fatal(err)
		}
	}
}
