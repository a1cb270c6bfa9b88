package leader

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// demandModel is a random graph of jobs that depend on earlier ones, and a leader that
// knows them. It tells what each must inherit, computed anew over the whole graph.
type demandModel struct {
	leader *Leader
	now    time.Time
	nodes  []*demandNode
}

type demandNode struct {
	job       *jobState
	upstreams []int // nodes that it depends on
}

func newDemandModel(t *testing.T) *demandModel {
	t.Helper()
	m := &demandModel{leader: testLeader(t), now: time.Now()}
	m.leader.certainty.Watched(m.now)
	return m
}

// drawSpec draws the next job: its priority, its due time, and on which of the earlier
// ones it depends.
func (m *demandModel) drawSpec(rt *rapid.T) (spec jobs.Spec, upstreams []int) {
	spec = jobs.Spec{
		ID: fmt.Sprintf("j-%d", len(m.nodes)), Class: "w", Team: "a", Kind: jobs.KindArray, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i",
		PriorityClass: rapid.SampledFrom([]string{"idle", "standard", "urgent", "production"}).Draw(rt, "priority"),
		ExpectedS:     float64(rapid.IntRange(1, 60).Draw(rt, "expected")),
	}
	if rapid.Bool().Draw(rt, "due") {
		due := float64(rapid.IntRange(10, 500).Draw(rt, "dueS"))
		spec.DueS = &due
	}
	for i, node := range m.nodes {
		if node.job.removed || rapid.IntRange(0, 3).Draw(rt, "dependsOn") > 0 {
			continue
		}
		upstreams = append(upstreams, i)
		spec.DependsOn = append(spec.DependsOn, node.job.spec.ID)
	}
	return spec, upstreams
}

// submit gives the leader a job, submitted some time ago.
func (m *demandModel) submit(rt *rapid.T, spec jobs.Spec, upstreams []int) {
	rt.Helper()
	n := len(m.nodes)
	submitted := m.now.Add(-time.Duration(n) * time.Second)
	raw, err := json.Marshal(jobs.Record{Spec: spec, AcceptedAtMS: submitted.UnixMilli()})
	if err != nil {
		rt.Fatal(err)
	}
	m.leader.addJob(jobs.OpenPrefix+spec.ID, raw, uint64(100+n), m.now)
	m.nodes = append(m.nodes, &demandNode{m.leader.jobs.get(spec.ID), upstreams})
}

// mayCancel cancels some job, one time in six.
func (m *demandModel) mayCancel(rt *rapid.T) {
	if rapid.IntRange(0, 5).Draw(rt, "cancel") > 0 {
		return
	}
	node := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(rt, "which")]
	if !node.job.removed {
		m.leader.removeJob(node.job, m.now)
	}
}

// want is the priority and the latest start that a job must have for those that depend on
// it, given that theirs are right.
func (m *demandModel) want(i int) (priority int, latestStart time.Time) {
	spec := m.nodes[i].job.spec
	priority = jobs.Priority(spec.PriorityClass)
	for _, downstream := range m.nodes[i+1:] {
		if downstream.job.removed || !slices.Contains(downstream.upstreams, i) {
			continue
		}
		priority = max(priority, downstream.job.view.Priority)
		if at := m.leader.latestStart(downstream.job); !at.IsZero() {
			at = at.Add(-time.Duration(spec.ExpectedS)*time.Second - constants.ChainStep)
			if latestStart.IsZero() || at.Before(latestStart) {
				latestStart = at
			}
		}
	}
	return priority, latestStart
}

// TestInheritance: whatever the graph, and in whatever order jobs come and are
// cancelled, each job has the highest priority of all that need it, and the latest
// start that lets the longest path to any due time be kept; computed by change, it
// equals a full computation.
func TestInheritance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newDemandModel(t)
		for range rapid.IntRange(1, 14).Draw(rt, "jobs") {
			spec, upstreams := m.drawSpec(rt)
			m.submit(rt, spec, upstreams)
			m.mayCancel(rt)
		}
		// From the last to the first: jobs depend on earlier ones only.
		for i, node := range slices.Backward(m.nodes) {
			if node.job.removed {
				continue
			}
			priority, latestStart := m.want(i)
			got := node.job
			if got.view.Priority != priority || !got.downstreamDemand.latestStart.Equal(latestStart) {
				rt.Fatalf("job %d: priority %d and start %v, want %d and %v", i, got.view.Priority, got.downstreamDemand.latestStart, priority, latestStart)
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
	if l.classes.runtimeRatios.expected(j.spec) != 10*time.Second {
		t.Errorf("at first %v", l.classes.runtimeRatios.expected(j.spec))
	}
	for range 100 {
		l.classes.runtimeRatios.record(j.spec, 15*time.Second)
	}
	if d := l.classes.runtimeRatios.expected(j.spec) - 15*time.Second; d < -100*time.Millisecond || d > 100*time.Millisecond {
		t.Errorf("corrected to %v", l.classes.runtimeRatios.expected(j.spec))
	}
	for range 100 {
		l.classes.runtimeRatios.record(j.spec, 900*time.Second)
	}
	if l.classes.runtimeRatios.expected(j.spec) > 31*time.Second {
		t.Errorf("without bounds: %v", l.classes.runtimeRatios.expected(j.spec))
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
