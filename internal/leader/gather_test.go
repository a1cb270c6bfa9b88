package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/fleet"
	"thornnotch/internal/market"
	"thornnotch/internal/tuning"
)

// runOn puts a running task of a job on a machine, since so long ago.
func runOn(l *Leader, j *job, task int, r *rig, since time.Duration, now time.Time) {
	l.tries++
	a := &fleet.Attempt{ID: fleet.AttemptID{Task: fleet.TaskID{Job: j.spec.NameID, Index: task}, Try: l.grant.Term<<tuning.TryBits | l.tries},
		Shift: 1, Status: fleet.Running, RanAt: now.Add(-since), PlannedAt: now.Add(-since), Sent: true, Committed: true, Cleared: true, SeenAt: now.Add(-since)}
	r.m.Attempts[a.ID] = a
	l.occupy(r, a)
	r.touch(j.spec.Bundle, j.spec.ImageGB, true, 0)
}

// TestThinMachinesAreEmptied guards against Peakdale's evenings: a task or two on
// each of two hundred machines kept all of them paid for until the last had ended.
// Machines that are not wanted are emptied where what they run can go on elsewhere,
// and only there.
func TestThinMachinesAreEmptied(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(l *Leader, thin, full *rig, j *job, now time.Time)
		wanted float64 // machines
		want   bool
	}{
		{"not wanted", nil, 1, true},
		{"wanted", nil, 2, false},
		{"can't save", func(_ *Leader, _, _ *rig, j *job, _ time.Time) { j.spec.SnapshotS = 0 }, 1, false},
		{"began a moment ago", func(l *Leader, thin, _ *rig, _ *job, now time.Time) {
			for _, a := range thin.m.Attempts {
				a.RanAt = now.Add(-5 * time.Second)
			}
		}, 1, false},
		{"about to end", func(l *Leader, thin, _ *rig, j *job, now time.Time) { j.spec.ExpectS = 45 }, 1, false},
		{"no room elsewhere", func(l *Leader, _, full *rig, j *job, now time.Time) {
			for i := range 2 {
				runOn(l, j, 5+i, full, time.Minute, now)
			}
		}, 1, false},
		{"no image elsewhere", func(_ *Leader, _, full *rig, _ *job, _ time.Time) { full.images = nil }, 1, false},
		{"other machine not heard", func(_ *Leader, _, full *rig, _ *job, now time.Time) { full.m.Recall = now.Add(time.Minute) }, 1, false},
	} {
		now := time.Unix(1000, 0)
		l := testLeader(t)
		l.began = now
		thin, full := addRig(l, "m-1", "east", now), addRig(l, "m-2", "east", now)
		thin.m.Spot, full.m.Spot = true, true
		spec := sweep("j-1", 9)
		spec.ExpectS = 120
		j := addJob(t, l, spec, now)
		runOn(l, j, 0, thin, 40*time.Second, now)
		for i := range 2 {
			runOn(l, j, 1+i, full, 40*time.Second, now)
		}
		if c.change != nil {
			c.change(l, thin, full, j, now)
		}
		l.gather(l.marketView(now), map[string]market.Want{"g4": {All: c.wanted}}, now)
		if thin.leaving != c.want || full.leaving {
			t.Errorf("%s: leaving %v and %v, want %v and false", c.name, thin.leaving, full.leaving, c.want)
		}
	}
}

// TestSilentMachineGetsNoWork guards against Peakdale's days with a partition: work
// was placed on machines beyond it until their leases were over.
func TestSilentMachineGetsNoWork(t *testing.T) {
	now := time.Unix(1000, 0)
	l := testLeader(t)
	silent, heard := addRig(l, "m-1", "east", now), addRig(l, "m-2", "east", now)
	now = now.Add(l.quiet() + tuning.IdleHold + time.Second)
	if now.Sub(silent.m.Heard) >= l.lease {
		t.Fatal("the lease is over: nothing is tested")
	}
	heard.m.Heard = now
	addJob(t, l, sweep("j-1", 3), now)
	l.pass(now)
	if len(silent.m.Attempts) != 0 || len(heard.m.Attempts) != 3 {
		t.Errorf("%d placed on the silent machine, %d on the other", len(silent.m.Attempts), len(heard.m.Attempts))
	}
}

// TestTargets: whatever kind of aim a class has, the latest starts that meet it.
func TestTargets(t *testing.T) {
	share, half, due := 0.9, 1.5, 100.0
	l := testLeader(t)
	l.d.Settings.Params.Objectives = []config.Objective{
		{Kind: config.AimDeadline, Class: "d", Share: &share, Times: &half}, {Kind: config.AimDeadline, Class: "d", Share: &share},
		{Kind: config.AimWait, Class: "w", WithinS: 30, Share: &share}, {Kind: config.AimFinished, Class: "w", WithinS: 250, Share: &share},
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
		spec := sweep("j-1", 1)
		spec.Workload, spec.DueS = c.class, c.due
		if got := fmt.Sprint(l.targets(&spec)); got != c.want {
			t.Errorf("%s, due %v: %s, want %s", c.class, c.due != nil, got, c.want)
		}
	}
}
