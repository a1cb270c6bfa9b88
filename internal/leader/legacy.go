package leader

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// Prefixes of the records of version 0.1.0: one for each machine, one for each run of a
// job's tasks. They are read while there is no log, and removed once the first checkpoint
// stands.
const (
	legacyMachinePrefix = "rig/"
	legacyDonePrefix    = "did/"
)

// legacyRecords are the records of the earlier format.
type legacyRecords struct {
	machines, done []statestore.KeyValue
}

// readLegacy reads the records of the earlier format.
func (l *Leader) readLegacy(ctx context.Context) (legacyRecords, error) {
	machines, err := l.listRecords(ctx, legacyMachinePrefix)
	if err != nil {
		return legacyRecords{}, err
	}
	done, err := l.listRecords(ctx, legacyDonePrefix)
	if err != nil {
		return legacyRecords{}, err
	}
	return legacyRecords{machines: machines.rows, done: done.rows}, nil
}

// restoreLegacy takes in the records of the earlier format. A machine's record that can't be
// read may hide a task that still runs, so it ends the failover; one of completed tasks
// can't do harm: its tasks run again.
func (l *Leader) restoreLegacy(records legacyRecords, now time.Time) error {
	for _, row := range records.machines {
		var record wal.Machine
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return fmt.Errorf("record %s: %w", row.Key, err)
		}
		if err := l.restoreMachine(strings.TrimPrefix(row.Key, legacyMachinePrefix), &record, now); err != nil {
			return err
		}
		l.commits.removeAfterCheckpoint(row.Key, row.Revision)
	}
	for _, row := range records.done {
		l.commits.removeAfterCheckpoint(row.Key, row.Revision)
		job, tasks, err := decodeLegacyDone(row)
		if err != nil {
			l.deps.Log.Error("unreadable record", "key", row.Key, "error", err)
			continue
		}
		l.restoreDone(job, tasks)
	}
	return nil
}

// decodeLegacyDone reads a record of completed tasks: PREFIX JOB/CHUNK, a bit for each task
// of the chunk.
func decodeLegacyDone(row statestore.KeyValue) (job string, tasks []int, err error) {
	job, number, ok := strings.Cut(strings.TrimPrefix(row.Key, legacyDonePrefix), "/")
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
	for i := range len(bits) * 8 {
		if bitset(bits).has(i) {
			tasks = append(tasks, chunk*constants.DoneChunkTasks+i)
		}
	}
	return job, tasks, nil
}
