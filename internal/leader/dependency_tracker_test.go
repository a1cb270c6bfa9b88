package leader

import (
	"testing"
	"time"

	"thornnotch/internal/constants"
)

// TestReadsWaitAfterAFailure: final records are read only while somebody waits for them,
// and not for a while after a read has failed.
func TestReadsWaitAfterAFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := newDependencyTracker()
	tracker.requestFinal("j-1")
	if tracker.readsDue(now) {
		t.Error("a final record is wanted for which nobody waits")
	}
	tracker.addDownstream("j-1", &jobState{})
	tracker.requestFinal("j-1")
	if !tracker.readsDue(now) {
		t.Fatal("no final record is wanted although a job waits")
	}
	tracker.readFailed(now)
	if tracker.readsDue(now.Add(constants.FinalReadRetry-time.Nanosecond)) || !tracker.readsDue(now.Add(constants.FinalReadRetry)) {
		t.Errorf("read again at %v", tracker.retryAt.Sub(now))
	}
	if got := tracker.takeDownstreams("j-1"); len(got) != 1 || len(tracker.downstreamsOf("j-1")) != 0 || tracker.readsDue(now.Add(time.Hour)) {
		t.Errorf("after the end %d waited, %+v", len(got), tracker)
	}
}
