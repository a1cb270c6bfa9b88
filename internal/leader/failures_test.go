package leader

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// truth is what really goes on on the machines of a test, by machine.
type truth struct {
	l        *Leader
	faulty   map[string]bool
	mistaken map[string]bool
	tasks    map[string]map[workers.AttemptID]*really
	starts   map[string]int  // by job
	bad      map[string]int  // starts on faulty machines
	caught   map[string]bool // faulty machines that a job without a mistake failed on
	epoch    uint64
}

type really struct {
	status workers.TaskStatus
	cause  workers.ExitCause
	since  time.Time
}

// step lets the leader decide, and the machines obey and report.
func (w *truth) step(now time.Time) {
	w.l.runSchedulingPass(now)
	w.epoch = commitAll(w.l, w.epoch)
	for _, machine := range w.l.fleet.sortedByName() {
		here := w.tasks[machine.agent.Name]
		for _, o := range machine.agent.Commands(true, now) {
			task, _ := workers.ParseTaskID(o.Task)
			id := workers.AttemptID{Task: task, Number: o.Attempt}
			switch o.Verb {
			case workers.VerbRun:
				if here[id] == nil {
					here[id] = &really{workers.StatusRunning, "", now}
					w.starts[task.Job]++
					if w.faulty[machine.agent.Name] {
						w.bad[machine.agent.Name]++
					}
				}
			case workers.VerbStop:
				if k := here[id]; k != nil && k.status != workers.StatusExited {
					k.status, k.cause = workers.StatusExited, workers.CauseStopped
				}
			case workers.VerbForget:
				delete(here, id)
			}
		}
		rep := &workers.Heartbeat{Machine: machine.agent.Name, MachineType: machine.agent.MachineType, Zone: machine.agent.Zone, Epoch: 1, Sequence: machine.agent.Sequence + 1, Token: w.l.term.number()}
		for id, k := range here {
			switch ran := now.Sub(k.since); {
			case k.status != workers.StatusRunning:
			case (w.faulty[machine.agent.Name] || w.mistaken[id.Task.Job]) && ran >= 500*time.Millisecond:
				k.status, k.cause = workers.StatusExited, workers.CauseError
				if !w.mistaken[id.Task.Job] {
					w.caught[machine.agent.Name] = true
				}
			case ran >= 10*time.Second:
				k.status, k.cause = workers.StatusExited, workers.CauseDone
			}
			rep.Tasks = append(rep.Tasks, workers.TaskReport{Task: id.Task.String(), Attempt: id.Number, Status: k.status, Cause: k.cause})
		}
		w.l.applyHeartbeat(machine, rep, false, now)
	}
	w.epoch = commitAll(w.l, w.epoch)
	w.l.attributeAllFailures(now)
}

// TestFaultyMachinesAndMistakenJobs guards against Peakdale's rough day: eight
// tasks of an array that met one faulty machine held the whole job back for a
// minute, and the machine took the next job's. Whatever of both comes together:
// faulty machines are found by what they were given first, no good machine is
// taken for faulty, a mistaken job is tried seldom, and the others come to their
// end soon.
func TestFaultyMachinesAndMistakenJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		w := &truth{
			l: testLeader(t), faulty: map[string]bool{}, mistaken: map[string]bool{}, tasks: map[string]map[workers.AttemptID]*really{},
			starts: map[string]int{}, bad: map[string]int{}, caught: map[string]bool{}, epoch: 100,
		}
		w.l.teams[0].MaxGPUs = 64
		w.l.teams[0].GuaranteedGPUs = 64
		for i := range 12 {
			name := fmt.Sprintf("m-%02d", i)
			addMachine(w.l, name, "east", now)
			w.tasks[name] = map[workers.AttemptID]*really{}
			w.faulty[name] = i < 2 && rapid.Bool().Draw(rt, "faulty")
		}
		sound := 0
		for i := range rapid.IntRange(2, 6).Draw(rt, "jobs") {
			spec := arraySpec(fmt.Sprint("j-", i), rapid.IntRange(1, 8).Draw(rt, "pieces"))
			if rapid.IntRange(0, 2).Draw(rt, "gang") == 0 {
				spec.Kind, spec.SameZone = jobs.KindGang, true
			}
			if i > 0 && rapid.IntRange(0, 3).Draw(rt, "mistaken") == 0 {
				w.mistaken[spec.ID] = true
			} else {
				sound += spec.Tasks
			}
			addJob(t, w.l, spec, now)
		}
		for range 45 * 4 {
			now = now.Add(250 * time.Millisecond)
			w.step(now)
		}
		for name, machine := range w.l.fleet.byName {
			if machine.health.Faulty() && !w.faulty[name] {
				rt.Fatalf("%s is taken for faulty and is not", name)
			}
			if w.caught[name] && !machine.health.Faulty() {
				rt.Fatalf("%s failed a sound job's tasks and is not taken for faulty", name)
			}
			if w.bad[name] > 16 {
				rt.Fatalf("%s was given %d tasks to fail", name, w.bad[name])
			}
		}
		for j := range w.l.jobs.all() {
			name := j.spec.ID
			if !w.mistaken[name] {
				rt.Fatalf("%s has %d of %d tasks done after 45 s", name, j.progress.completed(), j.spec.Tasks)
			}
			// A first try of all, some machines to find out by, then the pauses
			// double: one task a try, or all of a gang.
			if most := 8*j.spec.Tasks + 12; w.starts[name] > most {
				rt.Fatalf("mistaken %s was started %d times, at most %d", name, w.starts[name], most)
			}
		}
	})
}
