package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// TestSilentMachineGetsNoWork guards against Peakdale's days with a partition: work
// was placed on machines beyond it until their leases were over.
func TestSilentMachineGetsNoWork(t *testing.T) {
	now := time.Unix(1000, 0)
	l := testLeader(t)
	silent, heard := addMachine(l, "m-1", "east", now), addMachine(l, "m-2", "east", now)
	now = now.Add(l.silenceTolerance() + constants.IdleReplyHold + time.Second)
	if now.Sub(silent.agent.LastHeartbeat) >= l.lease {
		t.Fatal("the lease is over: nothing is tested")
	}
	heard.agent.LastHeartbeat = now
	addJob(t, l, arraySpec("j-1", 3), now)
	l.runSchedulingPass(now)
	if len(silent.agent.Attempts) != 0 || len(heard.agent.Attempts) != 3 {
		t.Errorf("%d placed on the silent machine, %d on the other", len(silent.agent.Attempts), len(heard.agent.Attempts))
	}
}

// TestTargets: whatever kind of aim a class has, the latest starts that meet it.
func TestTargets(t *testing.T) {
	share, half, due := 0.9, 1.5, 100.0
	l := testLeader(t)
	l.deps.Settings.Params.SLOs = []config.SLO{
		{Kind: config.SLODeadline, Class: "d", Share: &share, DueTimeFactor: &half},
		{Kind: config.SLODeadline, Class: "d", Share: &share},
		{Kind: config.SLOWait, Class: "w", WithinS: 30, Share: &share},
		{Kind: config.SLOCompletion, Class: "w", WithinS: 250, Share: &share},
		{Kind: "novel", Class: "n", WithinS: 1},
	}
	for _, c := range []struct {
		class string
		due   *float64
		want  string
	}{
		{"d", &due, "[1m5s 1m55s]"}, // 5 s for the image, 30 s to run
		{"d", nil, "[]"},
		{"w", &due, "[25s 3m35s]"},
		{"n", &due, "[1m5s]"}, // nothing known: the due time itself
		{"n", nil, "[]"},
	} {
		spec := arraySpec("j-1", 1)
		spec.Class, spec.DueS = c.class, c.due
		if got := fmt.Sprint(l.startTargets(&spec, 0)); got != c.want {
			t.Errorf("%s, due %v: %s, want %s", c.class, c.due != nil, got, c.want)
		}
	}
}
