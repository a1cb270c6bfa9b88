package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
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

// TestReadsAreBounded: so many reads are under way at a time and no more, each once; what
// need not be read any more is forgotten.
func TestReadsAreBounded(t *testing.T) {
	const upstreams = constants.MaxFinalReads + 5
	tracker := newDependencyTracker()
	for i := range upstreams {
		id := fmt.Sprint("j-", i)
		tracker.addDownstream(id, &jobState{})
		tracker.requestFinal(id)
	}
	spec := arraySpec("j-list", 1)
	waiting := &jobState{spec: &spec}
	tracker.addUnlinked(waiting, jobs.Dependencies{})
	none := func(string) bool { return false }
	first := tracker.startFinalReads(none)
	if len(first) != constants.MaxFinalReads || len(tracker.startListReads()) != 0 {
		t.Fatalf("%d reads at first, want %d", len(first), constants.MaxFinalReads)
	}
	for _, id := range first[:3] {
		tracker.takeDownstreams(id)
		tracker.endRead(finalRead{job: id})
	}
	again := tracker.startFinalReads(none)
	if len(again) != 3 || slices.ContainsFunc(again, func(id string) bool { return slices.Contains(first, id) }) {
		t.Fatalf("%v are read after %v", again, first)
	}
	for _, id := range slices.Concat(first[3:], again) {
		tracker.takeDownstreams(id)
		tracker.endRead(finalRead{job: id})
	}
	if all := tracker.startFinalReads(func(string) bool { return true }); len(all) != 0 || len(tracker.finalsWanted) != 0 {
		t.Errorf("%v are read although the jobs are open, wanted %v", all, tracker.finalsWanted)
	}
	if lists := tracker.startListReads(); len(lists) != 1 || lists[0].job != waiting || len(tracker.startListReads()) != 0 {
		t.Errorf("lists %v", lists)
	}
	tracker.endRead(finalRead{job: "j-list", namesList: true})
	waiting.removed = true
	if lists := tracker.startListReads(); len(lists) != 0 || tracker.takeUnlinked(waiting) {
		t.Errorf("a removed job's list is read: %v", lists)
	}
}
