package leader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// TestDependencyReadsPauseAfterFailure checks that final records are read only while jobs wait
// for them, and not during the pause after a failed read.
func TestDependencyReadsPauseAfterFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := newDependencyTracker()
	tracker.requestFinal("j-1")
	if tracker.readsDue(now) {
		t.Error("a final record is requested although no job depends on it")
	}
	tracker.addDownstream("j-1", &jobState{})
	tracker.requestFinal("j-1")
	if !tracker.readsDue(now) {
		t.Fatal("no final record is requested although a job depends on it")
	}
	tracker.readFailed(now)
	if tracker.readsDue(now.Add(constants.FinalRecordRetryDelay-time.Nanosecond)) || !tracker.readsDue(now.Add(constants.FinalRecordRetryDelay)) {
		t.Errorf("reads resume after %v", tracker.retryAt.Sub(now))
	}
	if got := tracker.takeDownstreams("j-1"); len(got) != 1 || len(tracker.downstreamsOf("j-1")) != 0 || tracker.readsDue(now.Add(time.Hour)) {
		t.Errorf("%d downstream jobs taken, tracker afterwards %+v", len(got), tracker)
	}
}

// TestDependencyReadsAreBounded checks that the number of concurrent reads is limited, no
// record is read twice, and reads that are no longer needed are dropped.
func TestDependencyReadsAreBounded(t *testing.T) {
	const upstreams = constants.MaxFinalRecordReads + 5
	tracker := newDependencyTracker()
	for i := range upstreams {
		id := fmt.Sprint("j-", i)
		tracker.addDownstream(id, &jobState{})
		tracker.requestFinal(id)
	}
	spec := arraySpec("j-list", 1)
	waiting := &jobState{spec: &spec}
	tracker.addUnlinked(waiting, jobs.Dependencies{})
	noneOpen := func(string) bool { return false }
	first := tracker.startFinalReads(noneOpen)
	if len(first) != constants.MaxFinalRecordReads || len(tracker.startListReads()) != 0 {
		t.Fatalf("%d reads started at first, want %d", len(first), constants.MaxFinalRecordReads)
	}
	for _, id := range first[:3] {
		tracker.takeDownstreams(id)
		tracker.endRead(dependencyRead{job: id})
	}
	second := tracker.startFinalReads(noneOpen)
	if len(second) != 3 || slices.ContainsFunc(second, func(id string) bool { return slices.Contains(first, id) }) {
		t.Fatalf("second batch of reads %v, first batch %v", second, first)
	}
	for _, id := range slices.Concat(first[3:], second) {
		tracker.takeDownstreams(id)
		tracker.endRead(dependencyRead{job: id})
	}
	if all := tracker.startFinalReads(func(string) bool { return true }); len(all) != 0 || len(tracker.pendingFinals) != 0 {
		t.Errorf("reads %v started although the jobs are open, still pending: %v", all, tracker.pendingFinals)
	}
	if lists := tracker.startListReads(); len(lists) != 1 || lists[0].job != waiting || len(tracker.startListReads()) != 0 {
		t.Errorf("dependency lists to read: %v", lists)
	}
	tracker.endRead(dependencyRead{job: "j-list", isList: true})
	waiting.removed = true
	if lists := tracker.startListReads(); len(lists) != 0 || tracker.takeUnlinked(waiting) {
		t.Errorf("reads started for the list of a removed job: %v", lists)
	}
}
