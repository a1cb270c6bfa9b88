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

// Conversions between the leader's in-memory state and the records of the write-ahead log.

func resourcesFromRecord(r wal.Resources) placement.Resources {
	return placement.Resources{CPUs: r[0], GPUs: r[1], MemoryGB: r[2]}
}

func resourcesToRecord(r placement.Resources) wal.Resources {
	return wal.Resources{r.CPUs, r.GPUs, r.MemoryGB}
}

// reservationFromRecord decodes a reservation on a machine. Only a reservation for a job with
// declared dependencies has a downstream job in its pipeline.
func reservationFromRecord(record wal.SlotReservation, machine string) reservations.Reservation {
	pipeline := placement.Pipeline{Team: record.Team, Class: record.Class}
	if record.DeclaredDependency {
		pipeline.Downstream = record.Downstream
	}
	return reservations.Reservation{
		Machine: machine, Pipeline: pipeline,
		Upstream: record.Upstream, Downstream: record.Downstream, Priority: record.Priority,
		Resources: resourcesFromRecord(record.Resources), ExpiresAt: time.UnixMilli(record.Expires),
	}
}

func reservationToRecord(r reservations.Reservation) wal.SlotReservation {
	return wal.SlotReservation{
		Team: r.Pipeline.Team, Class: r.Pipeline.Class, Upstream: r.Upstream, Downstream: r.Downstream, DeclaredDependency: r.Pipeline.Downstream != "",
		Priority: r.Priority, Resources: resourcesToRecord(r.Resources), Expires: r.ExpiresAt.UnixMilli(),
	}
}

func attemptToRecord(a *workers.Attempt) wal.Attempt {
	return wal.Attempt{Task: a.ID.Task.String(), Number: a.ID.Number, Epoch: a.Epoch}
}

// attemptFromRecord decodes an attempt of an earlier term. It may be running, and its number
// does not belong to this term.
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

// machineMetadata returns a machine's record without its attempts.
func (l *Leader) machineMetadata(machine *machineState) wal.Machine {
	worker := machine.worker
	record := wal.Machine{
		Type: worker.MachineType, Zone: worker.Zone, Spot: worker.Spot,
		Endpoint: worker.Endpoint, Epoch: worker.Epoch, Leaving: machine.lifecycle.isLeaving(),
	}
	for _, reservation := range l.reservations.OnMachine(worker.Name) {
		record.Reservations = append(record.Reservations, reservationToRecord(reservation))
	}
	for _, image := range machine.images {
		if image.fetched {
			record.Images = append(record.Images, wal.Image{Name: image.name, GB: image.gb})
		}
	}
	// A fixed order, so that a change in the order of use alone causes no new record.
	slices.SortFunc(record.Images, func(a, b wal.Image) int { return strings.Compare(a.Name, b.Name) })
	return record
}

// machineRecord returns a machine's complete record.
func (l *Leader) machineRecord(machine *machineState) wal.Machine {
	record := l.machineMetadata(machine)
	for _, a := range machine.worker.SortedAttempts() {
		if !a.Live() {
			continue
		}
		record.Attempts = append(record.Attempts, attemptToRecord(a))
		if record.Jobs == nil {
			record.Jobs = make(map[string]wal.JobUsage)
		}
		record.Jobs[a.ID.Task.Job] = l.jobUsageToRecord(a)
	}
	return record
}

// jobUsageToRecord returns the team and resources of an attempt. They are recorded so that the
// attempt can still be accounted for after its job has ended.
func (l *Leader) jobUsageToRecord(a *workers.Attempt) wal.JobUsage {
	return wal.JobUsage{Team: l.jobs.teamOf(a), Resources: resourcesToRecord(l.jobs.resourcesOf(a))}
}
