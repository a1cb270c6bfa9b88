package leader

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"thornnotch/internal/constants"
)

// TestSummaryLog checks that a summary is logged once per interval, and that it holds the
// machines in use, the waiting tasks and the teams' shares of their limits.
func TestSummaryLog(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	var log bytes.Buffer
	l.deps.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	machine := addMachine(l, "m-1", "east", now)
	addJob(t, l, arraySpec("j-1", 2), now)
	startAndSendHeartbeat(l, machine, now)
	now = now.Add(constants.SummaryLogInterval)
	machine.worker.LastMessageAt = now
	addJob(t, l, arraySpec("j-2", 5), now)
	log.Reset()

	l.runSchedulingPass(now)
	l.runSchedulingPass(now.Add(time.Millisecond))
	var summaries []string
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "msg=summary ") {
			summaries = append(summaries, line)
		}
	}
	if len(summaries) != 1 {
		t.Fatalf("%d summaries, want 1: %s", len(summaries), &log)
	}
	for _, want := range []string{
		" machines=1 ", " pass.schedulable=1 ", " pass.empty=0 ", " pass.used=0.5 ", // state before the pass
		` pass.waiting_tasks=map[x:5] `, ` pass.boosted_jobs=0 `, " pass.team_limit_shares=map[a:0.25]", // includes the two tasks placed by the pass
	} {
		if !strings.Contains(summaries[0], want) {
			t.Errorf("no %q in %s", want, summaries[0])
		}
	}
}
