package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// TestLateLargestGangsAreBoosted checks that the largest gangs of a class are boosted once too
// many of them start late, and no longer once they start in time again.
func TestLateLargestGangsAreBoosted(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	waits := l.classes.gangWaits
	submitted := 0
	addGang := func(tasks int) *jobState {
		submitted++
		spec := arraySpec(fmt.Sprint("j-", submitted), tasks)
		spec.Kind, spec.SameZone = jobs.KindGang, true
		return addJob(t, l, spec, now)
	}
	observeStartAfter := func(tasks int, wait time.Duration) {
		gang := addGang(tasks)
		gang.startedAt = now.Add(wait)
		waits.observe(gang, gang.startedAt)
	}
	observeLate := func(tasks int) {
		waits.observe(addGang(tasks), now.Add(constants.LargeGangLateAfter+time.Second))
	}

	observeStartAfter(8, 20*time.Second)
	observeLate(2) // smaller gangs are not counted
	if got := waits.boostedClasses(); len(got) != 0 {
		t.Fatalf("boosted although no large gang was late: %v", got)
	}
	observeLate(8)
	if len(waits.boostedClasses()) != 0 {
		t.Fatalf("boosted after a single late gang: %+v", waits["x"])
	}

	want := []placement.Boost{placement.BoostWithinPriority, placement.BoostAboveAll}
	for i := 0; i < 10 && len(want) > 0; i++ {
		observeLate(8)
		if got := waits.boostedClasses()["x"]; got.Boost == want[0] && got.MinTasks == 8 {
			want = want[1:]
		}
	}
	if len(want) != 0 {
		t.Fatalf("not boosted although many were late: %+v", waits["x"])
	}

	for range 12 {
		observeStartAfter(8, 30*time.Second)
	}
	if len(waits.boostedClasses()) != 0 {
		t.Errorf("still boosted after many gangs started in time: %+v", waits["x"])
	}
}

// TestOnlyLargestGangsAreObserved checks that late gangs of smaller sizes never cause a boost,
// and a new largest size resets the statistics.
func TestOnlyLargestGangsAreObserved(t *testing.T) {
	now := time.Now()
	waits := make(gangWaits)
	observeLate := func(tasks int) {
		spec := arraySpec("j-1", tasks)
		spec.Kind = jobs.KindGang
		waits.addJob(&spec)
		waits.observe(newJobState(&spec, 1, now, now), now.Add(constants.LargeGangLateAfter+time.Second))
	}
	observeLate(8)
	for range 20 {
		observeLate(7)
	}
	if got := waits.boostedClasses(); len(got) != 0 {
		t.Errorf("boosted because of late smaller gangs: %v", got)
	}
	for range 20 {
		observeLate(8)
	}
	if got := waits.boostedClasses(); len(got) != 1 {
		t.Errorf("not boosted although many of the largest gangs were late: %+v", waits["x"])
	}
	observeLate(9)
	if got := waits.boostedClasses(); len(got) != 0 {
		t.Errorf("boosted after a single late gang of a new largest size: %v", got)
	}
}
