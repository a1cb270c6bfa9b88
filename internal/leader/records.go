package leader

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
	"thornnotch/internal/statestore"
	"thornnotch/internal/workers"
)

// Keys of the records of the earlier format: one for each machine, one for
// each run of a job's tasks. They are read while there is no log, and removed
// once the first checkpoint stands.
const (
	oldMachinePrefix = "rig/"
	oldDidPrefix     = "did/"
)

func roomOf(r wal.Resources) placement.Resources {
	return placement.Resources{CPUs: r[0], GPUs: r[1], MemoryGB: r[2]}
}

func recordRoom(r placement.Resources) wal.Resources {
	return wal.Resources{r.CPUs, r.GPUs, r.MemoryGB}
}

func holdOf(h wal.Hold, machine string) reservations.Reservation {
	p := placement.Pipeline{Team: h.Team, Class: h.Class}
	if h.Edge {
		p.Downstream = h.Downstream
	}
	return reservations.Reservation{
		Machine: machine, Pipeline: p,
		Upstream: h.Upstream, Downstream: h.Downstream, Priority: h.Priority,
		Resources: roomOf(h.Resources), ExpiresAt: time.UnixMilli(h.Expires),
	}
}

func recordHold(h reservations.Reservation) wal.Hold {
	return wal.Hold{
		Team: h.Pipeline.Team, Class: h.Pipeline.Class, Upstream: h.Upstream, Downstream: h.Downstream, Edge: h.Pipeline.Downstream != "",
		Priority: h.Priority, Resources: recordRoom(h.Resources), Expires: h.ExpiresAt.UnixMilli(),
	}
}

func recordAttempt(a *workers.Attempt) wal.Attempt {
	return wal.Attempt{Task: a.ID.Task.String(), Number: a.ID.Number, Epoch: a.Epoch}
}

func attemptOf(r wal.Attempt, now time.Time) (*workers.Attempt, error) {
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
	rec := wal.Machine{Type: machine.agent.MachineType, Zone: machine.agent.Zone, Spot: machine.agent.Spot, Endpoint: machine.agent.Endpoint, Epoch: machine.agent.Epoch, Leaving: machine.leaving}
	for _, h := range l.reservations.OnMachine(machine.agent.Name) {
		rec.Holds = append(rec.Holds, recordHold(h))
	}
	for _, im := range machine.images {
		if im.have {
			rec.Images = append(rec.Images, wal.Image{Name: im.name, GB: im.gb})
		}
	}
	// Their order of use is no worth a new record.
	slices.SortFunc(rec.Images, func(a, b wal.Image) int { return strings.Compare(a.Name, b.Name) })
	return rec
}

// machineRecord is all that is recorded of a machine.
func (l *Leader) machineRecord(machine *machineState) wal.Machine {
	rec := l.machineMetadata(machine)
	for _, a := range machine.agent.SortedAttempts() {
		if !a.Live() {
			continue
		}
		rec.Attempts = append(rec.Attempts, recordAttempt(a))
		if rec.Jobs == nil {
			rec.Jobs = make(map[string]wal.JobUse)
		}
		rec.Jobs[a.ID.Task.Job] = wal.JobUse{Team: l.jobs.teamOf(a), Resources: recordRoom(l.jobs.resourcesOf(a))}
	}
	return rec
}

// restoreMachine takes in what was recorded of a machine.
func (l *Leader) restoreMachine(name string, rec *wal.Machine, now time.Time) error {
	machine := l.fleet.getOrAdd(name, now)
	machine.metadataLogged = true
	machine.leaving = rec.Leaving
	machine.leavingRecorded = rec.Leaving
	machine.agent.MachineType, machine.agent.Zone, machine.agent.Spot, machine.agent.Endpoint, machine.agent.Epoch = rec.Type, rec.Zone, rec.Spot, rec.Endpoint, rec.Epoch
	for _, ar := range rec.Attempts {
		a, err := attemptOf(ar, now)
		if err != nil {
			return fmt.Errorf("record of %s: %w", name, err)
		}
		machine.agent.Attempts[a.ID] = a
		id := a.ID.Task.Job
		if l.jobs.get(id) == nil {
			was := rec.Jobs[id]
			l.jobs.restoreEnded(id, was.Team, roomOf(was.Resources))
			machine.agent.RequestStop(a, 0, now)
		}
		l.addAttempt(machine, a)
	}
	for _, im := range rec.Images {
		machine.images = append(machine.images, image{name: im.Name, gb: im.GB, have: true})
	}
	for _, h := range rec.Holds {
		l.reservations.Restore(holdOf(h, name))
	}
	return nil
}

// restoreDone takes in completed tasks of a job.
func (l *Leader) restoreDone(name string, list []int) {
	j := l.jobs.get(name)
	if j == nil {
		return
	}
	j.progress.restore(list)
	j.stale = true
}

// restoreLegacy reads the records of the earlier format. A machine's record that
// can't be read may hide a task that still runs, so it ends the takeover; one
// of completed tasks can't do harm: its tasks run again.
func (l *Leader) restoreLegacy(machines, dids []statestore.KeyValue, now time.Time) error {
	l.legacyKeys = make(map[string]uint64)
	for _, row := range machines {
		var rec wal.Machine
		if err := json.Unmarshal(row.Value, &rec); err != nil {
			return fmt.Errorf("record %s: %w", row.Key, err)
		}
		if err := l.restoreMachine(strings.TrimPrefix(row.Key, oldMachinePrefix), &rec, now); err != nil {
			return err
		}
		l.legacyKeys[row.Key] = row.Revision
	}
	for _, row := range dids {
		l.legacyKeys[row.Key] = row.Revision
		job, list, err := decodeLegacyDone(row)
		if err != nil {
			l.deps.Log.Error("unreadable record", "key", row.Key, "err", err)
			continue
		}
		l.restoreDone(job, list)
	}
	return nil
}

func decodeLegacyDone(row statestore.KeyValue) (job string, list []int, err error) {
	job, number, ok := strings.Cut(strings.TrimPrefix(row.Key, oldDidPrefix), "/")
	chunk, err := strconv.Atoi(number)
	if !ok || err != nil || chunk < 0 {
		return "", nil, fmt.Errorf("%q is not a key of this kind", row.Key)
	}
	var text string
	if err := json.Unmarshal(row.Value, &text); err != nil {
		return "", nil, err
	}
	bits, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return "", nil, err
	}
	for k := range len(bits) * 8 {
		if bitset(bits).has(k) {
			list = append(list, chunk*constants.DoneChunkTasks+k)
		}
	}
	return job, list, nil
}
