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

// demandModel is a random dependency graph of jobs, each of which may depend on earlier ones,
// and a leader that holds them. It computes the demand that each job must inherit by a full
// pass over the graph.
type demandModel struct {
	leader *Leader
	now    time.Time
	nodes  []*demandNode
}

type demandNode struct {
	job       *jobState
	upstreams []int // indices of the nodes that it depends on
}

func newDemandModel(t *testing.T) *demandModel {
	t.Helper()
	m := &demandModel{leader: testLeader(t), now: time.Now()}
	m.leader.staleness.RecordWatch(m.now)
	return m
}

// drawSpec draws the next job: its priority, its deadline and the earlier jobs that it depends
// on.
func (m *demandModel) drawSpec(rt *rapid.T) (spec jobs.Spec, upstreams []int) {
	spec = jobs.Spec{
		ID: fmt.Sprintf("j-%d", len(m.nodes)), Class: "w", Team: "a", Kind: jobs.KindArray, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i",
		PriorityClass: rapid.SampledFrom([]string{"idle", "standard", "urgent", "production"}).Draw(rt, "priority"),
		ExpectedS:     float64(rapid.IntRange(1, 60).Draw(rt, "expected")),
	}
	if rapid.Bool().Draw(rt, "due") {
		deadlineS := float64(rapid.IntRange(10, 500).Draw(rt, "dueS"))
		spec.DeadlineS = &deadlineS
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

// submit adds a job to the leader. Each job has its own submission time in the past.
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

// maybeCancel cancels a random job with a probability of one in six.
func (m *demandModel) maybeCancel(rt *rapid.T) {
	if rapid.IntRange(0, 5).Draw(rt, "cancel") > 0 {
		return
	}
	node := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(rt, "which")]
	if !node.job.removed {
		m.leader.removeJob(node.job, m.now)
	}
}

// wantDemand returns the priority and latest start that a job must have for the jobs that
// depend on it, given that theirs are correct.
func (m *demandModel) wantDemand(i int) (priority int, latestStart time.Time) {
	spec := m.nodes[i].job.spec
	priority = jobs.Priority(spec.PriorityClass)
	for _, downstream := range m.nodes[i+1:] {
		if downstream.job.removed || !slices.Contains(downstream.upstreams, i) {
			continue
		}
		priority = max(priority, downstream.job.view.Priority)
		if at := m.leader.latestStart(downstream.job); !at.IsZero() {
			at = at.Add(-time.Duration(spec.ExpectedS)*time.Second - constants.DownstreamStartDelay)
			if latestStart.IsZero() || at.Before(latestStart) {
				latestStart = at
			}
		}
	}
	return priority, latestStart
}

// TestDemandPropagation checks that in any graph, and in any order of submissions and
// cancellations, each job has the highest priority of all jobs that depend on it and the
// latest start that lets the longest path to any deadline finish in time. The incremental
// computation must give the same result as a full one.
func TestDemandPropagation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newDemandModel(t)
		for range rapid.IntRange(1, 14).Draw(rt, "jobs") {
			spec, upstreams := m.drawSpec(rt)
			m.submit(rt, spec, upstreams)
			m.maybeCancel(rt)
		}
		// From the last job to the first, as jobs depend only on earlier ones.
		for i, node := range slices.Backward(m.nodes) {
			if node.job.removed {
				continue
			}
			priority, latestStart := m.wantDemand(i)
			got := node.job
			if got.view.Priority != priority || !got.downstreamDemand.latestStart.Equal(latestStart) {
				rt.Fatalf("job %d: priority %d and latest start %v, want %d and %v", i, got.view.Priority, got.downstreamDemand.latestStart, priority, latestStart)
			}
		}
	})
}

// TestWaitCountsFromLastUpstreamEnd checks that a job's wait counts from the recorded end of
// its last upstream job, in any order of reads and with any clock error of the leader that
// wrote the final records. Its deadline counts from its submission.
func TestWaitCountsFromLastUpstreamEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.UnixMilli(1_700_000_000_000)
		l := testLeader(t)
		deadlineS := 300.0
		spec := arraySpec("j-9", 1)
		spec.DeadlineS, spec.DependsOn = &deadlineS, []string{"j-1", "j-2"}
		job := addJob(t, l, spec, now)
		accepted, last := job.acceptedAt, job.acceptedAt
		now = now.Add(100 * time.Second)
		for _, upstream := range spec.DependsOn {
			// The recorded time is up to a minute ahead of the leader's clock, up to a minute
			// before the submission, or missing.
			finished := now.Add(time.Duration(rapid.IntRange(-160, 60).Draw(rt, "finishedS")) * time.Second)
			final := jobs.FinalRecord{Status: jobs.StatusDone, FinishedAtMS: finished.UnixMilli()}
			if rapid.IntRange(0, 4).Draw(rt, "recorded") == 0 {
				final.FinishedAtMS = 0
			} else if finished.After(last) {
				last = finished
			}
			l.upstreamEnded(upstream, final, now)
		}
		if last.After(now) {
			last = now
		}
		if !job.view.Submitted.Equal(last) || !job.acceptedAt.Equal(accepted) {
			rt.Fatalf("wait counts from %v, want %v", job.view.Submitted, last)
		}
		want := accepted.Add(300*time.Second - 30*time.Second - 5*time.Second) // run time, image fetch
		if got := last.Add(job.view.Targets[0]); !got.Equal(want) {
			rt.Fatalf("latest start %v, want %v", got, want)
		}
	})
}
