package leader

import (
	"fmt"
	"testing"

	"thornnotch/internal/config"
)

// TestStartTargets checks the latest starts that meet each kind of service-level objective.
func TestStartTargets(t *testing.T) {
	share, factor, deadline := 0.9, 1.5, 100.0
	l := testLeader(t)
	l.deps.Settings.Params.SLOs = []config.SLO{
		{Kind: config.SLODeadline, Class: "deadline", Share: &share, DeadlineMultiple: &factor},
		{Kind: config.SLODeadline, Class: "deadline", Share: &share},
		{Kind: config.SLOWait, Class: "wait", WithinS: 30, Share: &share},
		{Kind: config.SLOCompletion, Class: "wait", WithinS: 250, Share: &share},
		{Kind: "novel", Class: "novel", WithinS: 1},
	}
	for _, c := range []struct {
		class     string
		deadlineS *float64
		want      string
	}{
		{"deadline", &deadline, "[1m5s 1m55s]"}, // minus 5 s for the image and 30 s of run time
		{"deadline", nil, "[]"},
		{"wait", &deadline, "[25s 3m35s]"},
		{"novel", &deadline, "[1m5s]"}, // unknown kind: only the deadline counts
		{"novel", nil, "[]"},
	} {
		spec := arraySpec("j-1", 1)
		spec.Class, spec.DeadlineS = c.class, c.deadlineS
		if got := fmt.Sprint(l.startTargets(&spec, 0)); got != c.want {
			t.Errorf("class %s, has deadline %v: targets %s, want %s", c.class, c.deadlineS != nil, got, c.want)
		}
	}
}
