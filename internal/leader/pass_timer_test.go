package leader

import (
	"testing"
	"time"

	"thornnotch/internal/constants"
)

// TestPassTimer checks that a pass runs only on request, and after a pause that follows from
// the last pass's duration and lies within bounds.
func TestPassTimer(t *testing.T) {
	for _, c := range []struct{ took, pause time.Duration }{
		{0, constants.MinPassInterval},
		{constants.MinPassInterval, constants.PassIntervalFactor * constants.MinPassInterval},
		{time.Hour, constants.MaxPassInterval},
	} {
		var timer passTimer
		now := time.Unix(1000, 0)
		if timer.due(now) || !timer.nextAt().IsZero() {
			t.Fatal("pass due without a request")
		}
		timer.request()
		if !timer.due(now) {
			t.Error("first requested pass not due immediately")
		}
		timer.begin(now)
		timer.finish(c.took)
		timer.request()
		if timer.due(now.Add(c.pause-time.Nanosecond)) || !timer.due(now.Add(c.pause)) || !timer.nextAt().Equal(now.Add(c.pause)) {
			t.Errorf("after a pass of %v the next is due in %v, want %v", c.took, timer.nextAt().Sub(now), c.pause)
		}
	}
}
