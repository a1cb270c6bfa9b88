package attestation

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestMemorySaysWhatItForgets: a process vouches for no time that it does not
// remember.
func TestMemorySaysWhatItForgets(t *testing.T) {
	start := time.Unix(1000, 0)
	log := NewCancellationLog(4, start)
	if _, complete := log.Since(time.Second, start); complete {
		t.Error("a new process vouches for the time before it began")
	}

	for i := range 5 { // one more than it holds
		log.Add(fmt.Sprint(i), start.Add(time.Duration(1+i)*time.Second))
	}
	now := start.Add(10 * time.Second)
	if _, complete := log.Since(9500*time.Millisecond, now); complete {
		t.Error("it vouches for a time that it has forgotten")
	}
	if jobIDs, complete := log.Since(8500*time.Millisecond, now); !complete || !slices.Equal(jobIDs, []string{"4", "3", "2", "1"}) {
		t.Errorf("%v %v", jobIDs, complete)
	}
}
