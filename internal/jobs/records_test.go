package jobs

import (
	"encoding/json"
	"testing"

	"thornnotch/internal/jobs/jobstest"
)

// TestSpecRoundTrip checks that an encoded specification decodes to the same one.
func TestSpecRoundTrip(t *testing.T) {
	spec, err := DecodeSpec([]byte(jobstest.Submission))
	if err != nil {
		t.Fatal(err)
	}
	recorded := encode(t, spec)
	var readBack Spec
	if err := json.Unmarshal([]byte(recorded), &readBack); err != nil {
		t.Fatal(err)
	}
	if reencoded := encode(t, &readBack); recorded != reencoded || readBack.Tasks != 16 || !readBack.SameZone {
		t.Errorf("encoded %s, encoded again after decoding %s", recorded, reencoded)
	}
}
