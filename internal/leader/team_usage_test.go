package leader

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// TestUseIsCountedByChange: whatever happens, in whatever order, the running
// sums of the teams' use equal a full count of what may be on machines.
func TestUseIsCountedByChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Now()
		l := testLeader(t)
		l.certainty.Watched(now)
		l.teams = append(l.teams, config.Team{Name: "b", GuaranteedGPUs: 4, MaxGPUs: 12})
		epoch, jobCount, machines := uint64(100), 0, 0
		pick := func() *machineState {
			list := l.fleet.sortedByName()
			if len(list) == 0 {
				rt.Skip()
			}
			return rapid.SampledFrom(list).Draw(rt, "rig")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"machine": func(*rapid.T) {
				if machines++; machines > 6 {
					rt.Skip()
				}
				addMachine(l, fmt.Sprint("m-", machines), []string{"east", "west"}[machines%2], now)
			},
			"job": func(*rapid.T) {
				jobCount++
				spec := arraySpec(fmt.Sprint("j-", jobCount), rapid.IntRange(1, 5).Draw(rt, "pieces"))
				spec.Team = rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "owner")
				if rapid.Bool().Draw(rt, "gang") {
					spec.Kind, spec.SameZone, spec.Tasks = jobs.KindGang, true, 2
				}
				if jobCount > 1 && rapid.Bool().Draw(rt, "waits") {
					spec.DependsOn = []string{fmt.Sprint("j-", rapid.IntRange(1, jobCount-1).Draw(rt, "for"))}
				}
				addJob(t, l, spec, now)
			},
			"pass":   func(*rapid.T) { l.runSchedulingPass(now) },
			"commit": func(*rapid.T) { epoch = commitAll(l, epoch) },
			"report": func(*rapid.T) {
				machine := pick()
				status := rapid.SampledFrom([]workers.TaskStatus{workers.StatusFetching, workers.StatusRunning, workers.StatusExited}).Draw(rt, "status")
				var cause workers.ExitCause
				if status == workers.StatusExited {
					cause = rapid.SampledFrom([]workers.ExitCause{workers.CauseDone, "halted", workers.CauseError}).Draw(rt, "cause")
				}
				rep := nextHeartbeat(l, machine, status, cause)
				if rapid.IntRange(0, 4).Draw(rt, "some") == 0 {
					rep.Tasks = rep.Tasks[:len(rep.Tasks)/2]
				}
				machine.agent.Commands(true, now)
				l.applyHeartbeat(machine, rep, false, now)
			},
			"cancel": func(*rapid.T) {
				if jobCount > 0 {
					l.jobRecordDeleted(fmt.Sprint("j-", rapid.IntRange(1, jobCount).Draw(rt, "job")), now)
				}
			},
			"session": func(*rapid.T) {
				machine := pick()
				rep := nextHeartbeat(l, machine, workers.StatusRunning, "")
				rep.Epoch, rep.Tasks = rep.Epoch+1, nil
				l.applyHeartbeat(machine, rep, false, now)
			},
			"returned": func(*rapid.T) {
				machine := pick()
				l.applyEvents(machine, machine.agent.MarkTerminated(), now)
				l.removeMachine(machine)
				l.wal.MachineRemoved(machine.agent.Name)
			},
			"time": func(*rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(rt, "s")) * time.Second) },
			"": func(*rapid.T) {
				w := l.snapshotForPlacement(now)
				want := map[string]float64{}
				for machine := range l.fleet.all() {
					for _, a := range machine.agent.Attempts {
						if a.Live() {
							want[l.jobs.teamOf(a)] += l.jobs.resourcesOf(a).GPUs
						}
					}
					for _, h := range l.reservations.OnMachine(machine.agent.Name) {
						want[h.Pipeline.Team] += h.Resources.GPUs
					}
				}
				for name, team := range w.Teams {
					if d := team.Used.GPUs - want[name]; d > 1e-6 || d < -1e-6 {
						rt.Fatalf("team %s: %v counted, %v there", name, team.Used.GPUs, want[name])
					}
				}
			},
		})
	})
}
