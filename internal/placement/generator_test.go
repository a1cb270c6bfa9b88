package placement

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/jobs"
)

var drawnTeams = []string{"a", "b", "c"}

// snapshotGenerator draws a small cluster with running and waiting jobs.
type snapshotGenerator struct {
	*rapid.T
	snapshot   *Snapshot
	unfinished []*Job
	jobsDrawn  int
}

func drawSnapshot(t *rapid.T) *Snapshot {
	g := &snapshotGenerator{T: t, snapshot: &Snapshot{Now: time.Unix(1000, 0), Teams: map[string]*Team{}}}
	g.drawTeams()
	for i := range rapid.IntRange(1, 7).Draw(t, "machines") {
		g.snapshot.Machines = append(g.snapshot.Machines, g.drawMachine(i))
	}
	for range rapid.IntRange(1, 8).Draw(t, "jobs") {
		g.snapshot.Jobs = append(g.snapshot.Jobs, g.drawWaitingJob())
	}
	MarkGuaranteed(g.unfinished, g.snapshot.Teams)
	return g.snapshot
}

func (g *snapshotGenerator) drawTeams() {
	for _, name := range drawnTeams {
		guarantee := float64(rapid.IntRange(0, 3).Draw(g.T, "guarantee") * 4)
		limit := guarantee + float64(rapid.IntRange(1, 4).Draw(g.T, "limit")*4)
		g.snapshot.Teams[name] = &Team{Name: name, Guarantee: Resources{GPUs: guarantee}, Limit: Resources{GPUs: limit}}
	}
}

// addUsage adds resources to a team's usage.
func (g *snapshotGenerator) addUsage(team string, resources Resources) {
	g.snapshot.Teams[team].Used = g.snapshot.Teams[team].Used.Add(resources)
}

func (g *snapshotGenerator) drawMachine(index int) *Machine {
	machine := &Machine{
		Name: fmt.Sprintf("m-%d", index), Type: "g",
		Zone:            rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(g.T, "zone"),
		Spot:            rapid.Bool().Draw(g.T, "spot"),
		Schedulable:     rapid.IntRange(0, 5).Draw(g.T, "schedulable") > 0,
		AttemptCapacity: rapid.IntRange(0, 9).Draw(g.T, "attempts"),
		Total:           Resources{CPUs: 8, GPUs: 4, MemoryGB: 16},
		FetchGBPerS:     1,
		ImageWait:       map[string]time.Duration{},
	}
	for range rapid.IntRange(0, 2).Draw(g.T, "running") {
		g.drawRunningTask(machine)
	}
	if rapid.IntRange(0, 3).Draw(g.T, "reserved") == 0 && len(machine.RunningTasks) == 0 {
		g.drawReservedSlot(machine)
	}
	return machine
}

// drawRunningTask adds a task of a new job array to the machine, if it may run there.
func (g *snapshotGenerator) drawRunningTask(machine *Machine) {
	job := g.drawJob()
	job.Spec.GPUs = 1
	job.Spec.Kind = jobs.KindArray
	if !Allowed(job, machine) || !g.snapshot.Teams[job.Spec.Team].Allows(Resources{GPUs: 1}) {
		return
	}
	job.TasksByZone[machine.Zone]++
	g.addUsage(job.Spec.Team, TaskResources(job.Spec))
	machine.RunningTasks = append(machine.RunningTasks, RunningTask{
		Job: job, Attempt: 1, Resources: TaskResources(job.Spec),
		Stopping: rapid.Bool().Draw(g.T, "stopping"), StopCost: time.Second,
	})
	g.unfinished = append(g.unfinished, job)
}

func (g *snapshotGenerator) drawReservedSlot(machine *Machine) {
	slot := ReservedSlot{
		Pipeline:  Pipeline{Team: rapid.SampledFrom(drawnTeams).Draw(g.T, "reserved for"), Class: "x"},
		Priority:  rapid.IntRange(0, 3).Draw(g.T, "reserved priority"),
		Resources: Resources{CPUs: 1, GPUs: 1, MemoryGB: 1},
	}
	if rapid.Bool().Draw(g.T, "dependency") {
		slot.Pipeline.Downstream = fmt.Sprint("j-", rapid.IntRange(1, 9).Draw(g.T, "downstream"))
		slot.Blocked = rapid.Bool().Draw(g.T, "blocked")
	}
	machine.Reserved = append(machine.Reserved, slot)
	g.addUsage(slot.Pipeline.Team, slot.Resources)
}

func (g *snapshotGenerator) drawJob() *Job {
	g.jobsDrawn++
	id := g.jobsDrawn
	spec := &jobs.Spec{
		ID:              fmt.Sprintf("j-%d", id),
		Class:           rapid.SampledFrom([]string{"x", "y"}).Draw(g.T, "class"),
		Team:            rapid.SampledFrom(drawnTeams).Draw(g.T, "team"),
		Kind:            rapid.SampledFrom([]string{jobs.KindArray, jobs.KindGang}).Draw(g.T, "kind"),
		Tasks:           rapid.IntRange(1, 5).Draw(g.T, "tasks"),
		CPUs:            1,
		GPUs:            float64(rapid.IntRange(0, 4).Draw(g.T, "gpus")),
		MemoryGB:        1,
		Image:           rapid.SampledFrom([]string{"i", "k"}).Draw(g.T, "image"),
		ImageGB:         5,
		ExpectedS:       60,
		CheckpointSaveS: 1,
		SameZone:        rapid.Bool().Draw(g.T, "same zone"),
		SpreadZones:     rapid.Bool().Draw(g.T, "spread zones"),
		AllowSpot:       rapid.Bool().Draw(g.T, "allow spot"),
		Zone:            rapid.SampledFrom([]string{"", "", "z1"}).Draw(g.T, "zone"),

		CheckpointIntervalS: 10,
	}
	return &Job{
		Spec: spec, Priority: rapid.IntRange(0, 3).Draw(g.T, "priority"),
		SubmissionRevision: uint64(id), TasksByZone: map[string]int{},
	}
}

func (g *snapshotGenerator) drawWaitingJob() *Job {
	job := g.drawJob()
	running := 0
	if job.Spec.Kind == jobs.KindGang && job.Spec.Tasks > 1 && rapid.IntRange(0, 3).Draw(g.T, "lost task") == 0 {
		// A waiting gang has lost one task while the others still run.
		running = job.Spec.Tasks - 1
		if job.Spec.SpreadZones {
			running = 1
		}
		job.TasksByZone["z1"] = running
	}
	for i := running; i < job.Spec.Tasks; i++ {
		job.WaitingTasks = append(job.WaitingTasks, i)
	}
	g.unfinished = append(g.unfinished, job)
	return job
}
