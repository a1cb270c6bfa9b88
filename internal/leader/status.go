package leader

import (
	"context"
	"fmt"
	"math"
	"sort"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// Status is the state of a term as operators see it.
type Status struct {
	Term     uint64          `json:"term"`
	Machines []PoolStatus    `json:"machines"`
	Queue    []QueueStatus   `json:"queue"`
	Teams    []TeamStatus    `json:"teams"`
	Holds    []HoldStatus    `json:"holds"`
	Booting  int             `json:"booting"`
	Leaving  int             `json:"leaving"`
	State    RecordingStatus `json:"recording"`
	Work     counts          `json:"work"`
	Waiting  int             `json:"callsWaiting"`
}

// RecordingStatus tells whether records can be written.
type RecordingStatus struct {
	Healthy bool    `json:"healthy"`
	SureS   float64 `json:"sureS"` // since all cancellations were certainly known
	// Backlog is the number of log entries that a takeover would read on top
	// of the last checkpoint; UnwrittenS how long the oldest transaction under
	// way has taken.
	Backlog    int     `json:"backlog"`
	UnwrittenS float64 `json:"unwrittenS"`
}

// PoolStatus counts the machines of one pool.
type PoolStatus struct {
	Type string  `json:"type"`
	Zone string  `json:"zone"`
	Spot bool    `json:"spot"`
	Up   int     `json:"up"`
	Busy int     `json:"busy"`
	GPUs float64 `json:"gpusUsed"`
	// Used is the same in whole machines, each task by the resource that it
	// takes most of: what counts where machines have no GPUs.
	Used float64 `json:"machinesUsed"`
	// Faulty are those taken for faulty that have not been returned yet.
	Faulty int `json:"faulty"`
}

// QueueStatus counts one team's jobs of one class.
type QueueStatus struct {
	Class string `json:"class"`
	Team  string `json:"team"`
	Jobs  int    `json:"jobs"`
	// Held are those of them that wait for other jobs.
	Held    int `json:"jobsWaitingForOthers"`
	Waiting int `json:"tasksWaiting"`
	Running int `json:"tasksRunning"`
	Done    int `json:"tasksDone"`
}

// TeamStatus is what a team uses of its levels, held room included.
type TeamStatus struct {
	Team      string  `json:"team"`
	CPUs      float64 `json:"cpus"`
	GPUs      float64 `json:"gpus"`
	HeldCPUs  float64 `json:"cpusHeld"`
	HeldGPUs  float64 `json:"gpusHeld"`
	CPUsOwn   float64 `json:"cpusGuaranteed"`
	GPUsOwn   float64 `json:"gpusGuaranteed"`
	CPUsLimit float64 `json:"cpusLimit"`
	GPUsLimit float64 `json:"gpusLimit"`
}

// HoldStatus is one hold with the time until it lapses.
type HoldStatus struct {
	Machine  string  `json:"rig"`
	Team     string  `json:"team"`
	Class    string  `json:"class"`
	Job      string  `json:"job"`
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"gpus"`
	LapsesIn float64 `json:"lapsesInS"`
}

// Status takes a snapshot; ok is false once the term is over.
func (l *Leader) Status(ctx context.Context) (st Status, ok bool) {
	ch := make(chan Status, 1)
	if !l.post(ctx, statusRequested{ch}) {
		return Status{}, false
	}
	select {
	case st := <-ch:
		return st, true
	case <-ctx.Done():
	case <-l.done:
	}
	return Status{}, false
}

func (l *Leader) status(now time.Time) Status {
	st := Status{
		Term: l.term.number(), Booting: len(l.scaling.booting),
		State: RecordingStatus{Healthy: l.commits.backoff == 0, SureS: l.certainty.SinceProof(now).Seconds(), Backlog: l.commits.log.Backlog()}, Work: l.counts, Waiting: len(l.events),
	}
	if l.commits.log.InFlight() {
		st.State.UnwrittenS = now.Sub(l.commits.sentAt).Seconds()
	}
	type pool struct {
		t, z string
		spot bool
	}
	pools := make(map[pool]*PoolStatus)
	use, held := make(map[string]placement.Resources), make(map[string]placement.Resources)
	for machine := range l.fleet.all() {
		k := pool{machine.agent.MachineType, machine.agent.Zone, machine.agent.Spot}
		c := pools[k]
		if c == nil {
			c = &PoolStatus{Type: k.t, Zone: k.z, Spot: k.spot}
			pools[k] = c
		}
		if machine.leaving {
			st.Leaving++
		} else if machine.agent.Registered {
			c.Up++
		}
		if l.inUse(machine) {
			c.Busy++
		}
		if machine.health.Faulty() {
			c.Faulty++
		}
		typ, _ := l.deps.Catalog().Type(machine.agent.MachineType)
		c.Used += l.usedResources(machine).DominantShare(placement.Resources{CPUs: typ.CPUs, GPUs: typ.GPUs, MemoryGB: typ.MemoryGB})
		for _, a := range machine.agent.Attempts {
			if a.Live() {
				need, owner := l.jobs.resourcesOf(a), l.jobs.teamOf(a)
				c.GPUs += need.GPUs
				use[owner] = use[owner].Add(need)
			}
		}
	}
	for _, c := range pools {
		st.Machines = append(st.Machines, *c)
	}
	sort.Slice(st.Machines, func(i, j int) bool {
		a, b := st.Machines[i], st.Machines[j]
		if a.Type != b.Type {
			return a.Type < b.Type
		}
		if a.Zone != b.Zone {
			return a.Zone < b.Zone
		}
		return !a.Spot && b.Spot
	})
	for _, h := range l.reservations.All() {
		held[h.Pipeline.Team] = held[h.Pipeline.Team].Add(h.Resources)
		st.Holds = append(st.Holds, HoldStatus{h.Machine, h.Pipeline.Team, h.Pipeline.Class, h.Downstream, h.Resources.CPUs, h.Resources.GPUs, h.ExpiresAt.Sub(now).Seconds()})
	}
	queue := make(map[placement.Pipeline]*QueueStatus)
	for j := range l.jobs.all() {
		k := j.view.Pipeline()
		q := queue[k]
		if q == nil {
			q = &QueueStatus{Class: k.Class, Team: k.Team}
			queue[k] = q
		}
		run := 0
		for _, seats := range j.attempts {
			for _, s := range seats {
				if s.attempt.Status != "" && s.attempt.Status != workers.StatusFetching {
					run++
				}
			}
		}
		q.Jobs++
		if j.blockedByUpstream() {
			q.Held++
			continue // its tasks wait for no machine
		}
		q.Done += j.doneCount
		q.Running += run
		q.Waiting += max(0, j.spec.Tasks-j.doneCount-run)
	}
	for _, q := range queue {
		st.Queue = append(st.Queue, *q)
	}
	sort.Slice(st.Queue, func(i, j int) bool {
		a, b := st.Queue[i], st.Queue[j]
		if a.Class != b.Class {
			return a.Class < b.Class
		}
		return a.Team < b.Team
	})
	for _, t := range l.teams {
		u, h := use[t.Name], held[t.Name]
		st.Teams = append(st.Teams, TeamStatus{
			Team: t.Name, CPUs: u.CPUs + h.CPUs, GPUs: u.GPUs + h.GPUs, HeldCPUs: h.CPUs, HeldGPUs: h.GPUs,
			CPUsOwn: t.GuaranteedCPUs, GPUsOwn: t.GuaranteedGPUs, CPUsLimit: t.MaxCPUs, GPUsLimit: t.MaxGPUs,
		})
	}
	return st
}

// counts are running sums of what the leader's routine does.
type counts struct {
	Passes   uint64  `json:"passes"`
	PassS    float64 `json:"passS"` // time spent in them
	Views    uint64  `json:"views"` // of machines, made anew for them
	Reports  uint64  `json:"reports"`
	Copies   uint64  `json:"lateCopies"` // late copies of reports
	Orders   uint64  `json:"orders"`     // sent in answers
	Commands uint64  `json:"commands"`   // sent directly
	// Postponed are direct orders that had to wait for others.
	Postponed uint64  `json:"postponed"`
	Commits   uint64  `json:"commits"`
	CommitS   float64 `json:"commitS"`
	Calls     uint64  `json:"calls"` // taken by the routine
	// HintBytes are the records of holds and images, Log all that the log has taken.
	HintBytes uint64    `json:"hintBytes"`
	Log       wal.Stats `json:"log"`
	BusyS     float64   `json:"busyS"` // time the routine was at work
}

// logLoad logs once in a while how much the routine had to do since last.
func (l *Leader) logLoad(now time.Time) {
	if now.Sub(l.lastLoadLog) < constants.LoadLogInterval {
		return
	}
	s := now.Sub(l.lastLoadLog).Seconds()
	l.counts.Log = l.commits.log.Stats()
	c, was := l.counts, l.loggedCounts
	kilobytes := func(a, b uint64) float64 { return math.Round(float64(a-b)/s/102.4) / 10 }
	per := func(a, b uint64) float64 { return math.Round(float64(a-b)/s*10) / 10 }
	part := func(a, b float64) float64 { return math.Round((a-b)/s*1000) / 1000 }
	if !l.lastLoadLog.IsZero() {
		l.deps.Log.Info("load", "jobs", l.jobs.len(), "machines", l.fleet.len(), "reports_s", per(c.Reports, was.Reports),
			"orders_s", per(c.Orders, was.Orders), "commands_s", per(c.Commands, was.Commands), "passes_s", per(c.Passes, was.Passes),
			"pass_part", part(c.PassS, was.PassS), "commits_s", per(c.Commits, was.Commits), "commit_part", part(c.CommitS, was.CommitS),
			"busy_part", part(c.BusyS, was.BusyS),
			"entries_kb_s", kilobytes(c.Log.EntryBytes, was.Log.EntryBytes), "hints_kb_s", kilobytes(c.HintBytes, was.HintBytes),
			"checkpoint_kb_s", kilobytes(c.Log.PartBytes, was.Log.PartBytes), "queue", len(l.events), "log", l.commits.log.Backlog())
	}
	if l.deps.Usage != nil {
		drawn := make(map[statestore.Class]statestore.Usage)
		var attrs []any
		for _, class := range statestore.Classes {
			d := l.deps.Usage(class)
			drawn[class] = d
			was := l.loggedUsage[class]
			attrs = append(attrs, class.String(), fmt.Sprintf("%.1f requests, %.1f changes, %.2f waiting",
				per(d.Requests, was.Requests), per(d.Writes, was.Writes), part(d.WaitSeconds, was.WaitSeconds)))
		}
		if !l.lastLoadLog.IsZero() {
			l.deps.Log.Debug("state service, each second", attrs...)
		}
		l.loggedUsage = drawn
	}
	l.lastLoadLog, l.loggedCounts = now, c
}
