package attestation

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestCancellationLogReportsGaps checks that the log does not claim to be complete for a time
// before the process started or from which it has dropped entries.
func TestCancellationLogReportsGaps(t *testing.T) {
	start := time.Unix(1000, 0)
	log := NewCancellationLog(4, start)
	if _, complete := log.Since(time.Second, start); complete {
		t.Error("complete for a time before the process started")
	}

	for i := range 5 { // one more than the capacity
		log.Add(fmt.Sprint(i), start.Add(time.Duration(1+i)*time.Second))
	}
	now := start.Add(10 * time.Second)
	if _, complete := log.Since(9500*time.Millisecond, now); complete {
		t.Error("complete for a time from which entries were dropped")
	}
	if jobIDs, complete := log.Since(8500*time.Millisecond, now); !complete || !slices.Equal(jobIDs, []string{"4", "3", "2", "1"}) {
		t.Errorf("jobs %v, complete %v", jobIDs, complete)
	}
}
