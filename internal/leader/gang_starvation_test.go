package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// TestLargestAreLiftedWhenLate: a class's largest gangs are lifted once too many
// of them begin late, and no longer when they begin in time again.
func TestLargestAreLiftedWhenLate(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	n := 0
	add := func(pieces int, began time.Duration) {
		n++
		spec := arraySpec(fmt.Sprint("j-", n), pieces)
		spec.Kind, spec.SameZone = jobs.KindGang, true
		j := addJob(t, l, spec, now)
		if began > 0 {
			j.started = now.Add(began)
			l.classes.gangWaits.observe(j, now.Add(began))
		} else {
			l.classes.gangWaits.observe(j, now.Add(constants.LargeGangLateAfter+time.Second)) // it still waits
		}
	}
	add(8, 20*time.Second)
	add(2, 0) // a small one that is late does not count
	if len(l.classes.gangWaits.boostedClasses()) != 0 {
		t.Fatalf("lifted although all is well: %v", l.classes.gangWaits.boostedClasses())
	}
	add(8, 0)
	if len(l.classes.gangWaits.boostedClasses()) != 0 {
		t.Fatalf("one that is late is enough to lift them: %+v", l.classes.gangWaits["x"])
	}
	want := []placement.Boost{placement.BoostWithinPriority, placement.BoostAboveAll}
	for i := 0; i < 10 && len(want) > 0; i++ {
		add(8, 0)
		if got := l.classes.gangWaits.boostedClasses()["x"]; got.Boost == want[0] && got.Size == 8 {
			want = want[1:]
		}
	}
	if len(want) != 0 {
		t.Fatalf("late ones are not lifted: %+v", l.classes.gangWaits["x"])
	}
	for range 12 {
		add(8, 30*time.Second)
	}
	if len(l.classes.gangWaits.boostedClasses()) != 0 {
		t.Errorf("lifted for ever: %+v", l.classes.gangWaits["x"])
	}
}
