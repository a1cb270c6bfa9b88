package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// TestLargestAreLiftedWhenLate: a class's largest gangs are boosted once too many
// of them begin late, and no longer when they begin in time again.
func TestLargestAreLiftedWhenLate(t *testing.T) {
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
	beginsAfter := func(tasks int, wait time.Duration) {
		gang := addGang(tasks)
		gang.started = now.Add(wait)
		waits.observe(gang, gang.started)
	}
	waitsTooLong := func(tasks int) {
		waits.observe(addGang(tasks), now.Add(constants.LargeGangLateAfter+time.Second))
	}

	beginsAfter(8, 20*time.Second)
	waitsTooLong(2) // a small one that is late does not count
	if got := waits.boostedClasses(); len(got) != 0 {
		t.Fatalf("boosted although all is well: %v", got)
	}
	waitsTooLong(8)
	if len(waits.boostedClasses()) != 0 {
		t.Fatalf("one that is late is enough to boost them: %+v", waits["x"])
	}

	want := []placement.Boost{placement.BoostWithinPriority, placement.BoostAboveAll}
	for i := 0; i < 10 && len(want) > 0; i++ {
		waitsTooLong(8)
		if got := waits.boostedClasses()["x"]; got.Boost == want[0] && got.Size == 8 {
			want = want[1:]
		}
	}
	if len(want) != 0 {
		t.Fatalf("late ones are not boosted: %+v", waits["x"])
	}

	for range 12 {
		beginsAfter(8, 30*time.Second)
	}
	if len(waits.boostedClasses()) != 0 {
		t.Errorf("boosted for ever: %+v", waits["x"])
	}
}

// TestOnlyTheLargestGangsCount: however many smaller ones begin late, nobody is boosted,
// and a larger size starts the count anew.
func TestOnlyTheLargestGangsCount(t *testing.T) {
	now := time.Now()
	waits := make(gangWaits)
	waitsTooLong := func(tasks int) {
		spec := arraySpec("j-1", tasks)
		spec.Kind = jobs.KindGang
		waits.addJob(&spec)
		waits.observe(newJobState(&spec, 1, now, now), now.Add(constants.LargeGangLateAfter+time.Second))
	}
	waitsTooLong(8)
	for range 20 {
		waitsTooLong(7)
	}
	if got := waits.boostedClasses(); len(got) != 0 {
		t.Errorf("boosted for smaller gangs: %v", got)
	}
	for range 20 {
		waitsTooLong(8)
	}
	if got := waits.boostedClasses(); len(got) != 1 {
		t.Errorf("not boosted: %+v", waits["x"])
	}
	waitsTooLong(9)
	if got := waits.boostedClasses(); len(got) != 0 {
		t.Errorf("boosted for one late gang of a new size: %v", got)
	}
}
