package jobs

import (
	"reflect"
	"testing"

	"thornnotch/internal/jobs/jobstest"
	"thornnotch/internal/wirejson"
	"thornnotch/internal/wirejson/wirejsontest"
)

// TestSpecRoundTrip checks that an encoded specification decodes to the same one.
func TestSpecRoundTrip(t *testing.T) {
	spec, err := DecodeSpec([]byte(jobstest.Submission))
	if err != nil {
		t.Fatal(err)
	}
	recorded := encode(t, spec)
	var readBack Spec
	if err := wirejson.Decode([]byte(recorded), &readBack); err != nil {
		t.Fatal(err)
	}
	if reencoded := encode(t, &readBack); recorded != reencoded || readBack.Tasks != 16 || !readBack.SameZone {
		t.Errorf("encoded %s, encoded again after decoding %s", recorded, reencoded)
	}
}

// TestDependenciesIgnoreFieldsOfOtherCase guards against dependencies that a later version's record
// holds under another name, which differs from "waitsOn" or "split" only in the case of its letters.
func TestDependenciesIgnoreFieldsOfOtherCase(t *testing.T) {
	record := []byte(`{"nameId":"j-3","waitsOn":["j-1"],"split":{"upload":"x","parts":2}}`)
	want := Dependencies{DependsOn: []string{"j-1"}, Split: &SplitList{Upload: "x", Parts: 2}}
	if got := DecodeDependencies(wirejsontest.AddCaseVariants(t, record)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
