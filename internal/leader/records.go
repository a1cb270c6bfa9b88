package leader

import (
	"slices"
	"strings"
	"time"

	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
	"thornnotch/internal/workers"
)

// Conversions between the leader's state and the records of the write-ahead log: a function
// named record... makes a record, one named ...FromRecord reads it.

func resourcesFromRecord(r wal.Resources) placement.Resources {
	return placement.Resources{CPUs: r[0], GPUs: r[1], MemoryGB: r[2]}
}

func recordResources(r placement.Resources) wal.Resources {
	return wal.Resources{r.CPUs, r.GPUs, r.MemoryGB}
}

func holdFromRecord(h wal.Hold, machine string) reservations.Reservation {
	pipeline := placement.Pipeline{Team: h.Team, Class: h.Class}
	if h.Edge {
		pipeline.Downstream = h.Downstream
	}
	return reservations.Reservation{
		Machine: machine, Pipeline: pipeline,
		Upstream: h.Upstream, Downstream: h.Downstream, Priority: h.Priority,
		Resources: resourcesFromRecord(h.Resources), ExpiresAt: time.UnixMilli(h.Expires),
	}
}

func recordHold(h reservations.Reservation) wal.Hold {
	return wal.Hold{
		Team: h.Pipeline.Team, Class: h.Pipeline.Class, Upstream: h.Upstream, Downstream: h.Downstream, Edge: h.Pipeline.Downstream != "",
		Priority: h.Priority, Resources: recordResources(h.Resources), Expires: h.ExpiresAt.UnixMilli(),
	}
}

func recordAttempt(a *workers.Attempt) wal.Attempt {
	return wal.Attempt{Task: a.ID.Task.String(), Number: a.ID.Number, Epoch: a.Epoch}
}

// attemptFromRecord is an attempt of an earlier term: it may run, and its number is not ours.
func attemptFromRecord(r wal.Attempt, now time.Time) (*workers.Attempt, error) {
	task, err := workers.ParseTaskID(r.Task)
	if err != nil {
		return nil, err
	}
	return &workers.Attempt{
		ID: workers.AttemptID{Task: task, Number: r.Number}, Epoch: r.Epoch,
		Committed: true, StartAllowed: true, FromEarlierTerm: true, RunSent: true, PlacedAt: now,
	}, nil
}

// machineMetadata is what is recorded of a machine beside its attempts.
func (l *Leader) machineMetadata(machine *machineState) wal.Machine {
	agent := machine.agent
	record := wal.Machine{
		Type: agent.MachineType, Zone: agent.Zone, Spot: agent.Spot,
		Endpoint: agent.Endpoint, Epoch: agent.Epoch, Leaving: machine.lifecycle.isLeaving(),
	}
	for _, h := range l.reservations.OnMachine(agent.Name) {
		record.Holds = append(record.Holds, recordHold(h))
	}
	for _, image := range machine.images {
		if image.fetched {
			record.Images = append(record.Images, wal.Image{Name: image.name, GB: image.gb})
		}
	}
	// Their order of use is not worth a new record.
	slices.SortFunc(record.Images, func(a, b wal.Image) int { return strings.Compare(a.Name, b.Name) })
	return record
}

// machineRecord is all that is recorded of a machine.
func (l *Leader) machineRecord(machine *machineState) wal.Machine {
	record := l.machineMetadata(machine)
	for _, a := range machine.agent.SortedAttempts() {
		if !a.Live() {
			continue
		}
		record.Attempts = append(record.Attempts, recordAttempt(a))
		if record.Jobs == nil {
			record.Jobs = make(map[string]wal.JobUse)
		}
		record.Jobs[a.ID.Task.Job] = l.recordUse(a)
	}
	return record
}

// recordUse is the owner and size of an attempt, for when its job is over.
func (l *Leader) recordUse(a *workers.Attempt) wal.JobUse {
	return wal.JobUse{Team: l.jobs.teamOf(a), Resources: recordResources(l.jobs.resourcesOf(a))}
}
