package leader

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// TestInheritance: whatever the graph, and in whatever order jobs come and are
// cancelled, each job has the highest priority of all that need it, and the latest
// start that lets the longest path to any due time be kept; reckoned by change, it
// equals a full reckoning.
func TestInheritance(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		l := testLeader(outer)
		l.certainty.Watched(now)
		type node struct {
			j    *jobState
			need []int
		}
		var all []*node
		for n := range rapid.IntRange(1, 14).Draw(t, "jobs") {
			spec := jobs.Spec{
				ID: fmt.Sprintf("j-%d", n), Class: "w", Team: "a", Kind: jobs.KindArray, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i",
				PriorityClass: rapid.SampledFrom([]string{"idle", "standard", "urgent", "production"}).Draw(t, "urgency"), ExpectedS: float64(rapid.IntRange(1, 60).Draw(t, "expect")),
			}
			if rapid.Bool().Draw(t, "due") {
				due := float64(rapid.IntRange(10, 500).Draw(t, "dueS"))
				spec.DueS = &due
			}
			nd := &node{}
			for k := range n {
				if all[k].j.removed || rapid.IntRange(0, 3).Draw(t, "needs") > 0 {
					continue
				}
				nd.need = append(nd.need, k)
				spec.DependsOn = append(spec.DependsOn, all[k].j.spec.ID)
			}
			raw, err := json.Marshal(jobs.Record{Spec: spec, AcceptedAtMS: now.Add(-time.Duration(n) * time.Second).UnixMilli()})
			if err != nil {
				t.Fatal(err)
			}
			l.addJob(jobs.OpenPrefix+spec.ID, raw, uint64(100+n), now)
			nd.j = l.jobs.get(spec.ID)
			all = append(all, nd)
			if rapid.IntRange(0, 5).Draw(t, "cancel") == 0 {
				if last := all[rapid.IntRange(0, n).Draw(t, "which")]; !last.j.removed {
					l.removeJob(last.j, now)
				}
			}
		}
		// The full reckoning, from the last to the first: needs go backwards only.
		for i := len(all) - 1; i >= 0; i-- {
			a := all[i]
			if a.j.removed {
				continue
			}
			prio, start := jobs.Priority(a.j.spec.PriorityClass), time.Time{}
			for _, b := range all[i+1:] {
				if b.j.removed {
					continue
				}
				for _, k := range b.need {
					if k != i {
						continue
					}
					prio = max(prio, b.j.view.Priority)
					if at := l.latestStart(b.j); !at.IsZero() {
						if at = at.Add(-time.Duration(a.j.spec.ExpectedS)*time.Second - constants.ChainStep); start.IsZero() || at.Before(start) {
							start = at
						}
					}
				}
			}
			if a.j.view.Priority != prio || !a.j.downstreamDemand.latestStart.Equal(start) {
				t.Fatalf("job %d: priority %d and start %v, want %d and %v", i, a.j.view.Priority, a.j.downstreamDemand.latestStart, prio, start)
			}
		}
	})
}

// TestExpectationsAreCorrected: owners' estimates are often wrong; what the class
// showed lately corrects them, within bounds.
func TestExpectationsAreCorrected(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	j := addJob(t, l, arraySpec("j-1", 1), now)
	j.spec.ExpectedS = 10
	if l.runtimeRatios.expected(j.spec) != 10*time.Second {
		t.Errorf("at first %v", l.runtimeRatios.expected(j.spec))
	}
	for range 100 {
		l.runtimeRatios.record(j.spec, 15*time.Second)
	}
	if d := l.runtimeRatios.expected(j.spec) - 15*time.Second; d < -100*time.Millisecond || d > 100*time.Millisecond {
		t.Errorf("corrected to %v", l.runtimeRatios.expected(j.spec))
	}
	for range 100 {
		l.runtimeRatios.record(j.spec, 900*time.Second)
	}
	if l.runtimeRatios.expected(j.spec) > 31*time.Second {
		t.Errorf("without bounds: %v", l.runtimeRatios.expected(j.spec))
	}
}

// TestTimesCountFromTheLastEnd: a job's times count from when the last job before it
// was done, as its record says, whichever record is read first and whatever the clock
// of the leader that wrote it; its due time counts from its submission.
func TestTimesCountFromTheLastEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.UnixMilli(1_700_000_000_000)
		l := testLeader(t)
		due := 300.0
		spec := arraySpec("j-9", 1)
		spec.DueS, spec.DependsOn = &due, []string{"j-1", "j-2"}
		j := addJob(t, l, spec, now)
		accepted, last := j.acceptedAt, j.acceptedAt
		now = now.Add(100 * time.Second)
		for _, name := range spec.DependsOn {
			// Up to a minute off, or not recorded.
			at := now.Add(time.Duration(rapid.IntRange(-160, 60).Draw(rt, "s")) * time.Second)
			f := jobs.FinalRecord{Status: jobs.StatusDone, FinishedAtMS: at.UnixMilli()}
			if rapid.IntRange(0, 4).Draw(rt, "kept") == 0 {
				f.FinishedAtMS = 0
			} else if at.After(last) {
				last = at
			}
			l.upstreamEnded(name, f, now)
		}
		if last.After(now) {
			last = now
		}
		if !j.view.Submitted.Equal(last) || !j.acceptedAt.Equal(accepted) {
			rt.Fatalf("counts from %v, want %v", j.view.Submitted, last)
		}
		if want := accepted.Add(300*time.Second - 30*time.Second - 5*time.Second); !last.Add(j.view.Targets[0]).Equal(want) {
			rt.Fatalf("must start at %v to be in time, want %v", last.Add(j.view.Targets[0]), want)
		}
	})
}
