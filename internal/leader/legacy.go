package leader

import (
	"context"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
)

// Key prefixes of the record format of version 0.1.0, which has one record per machine and one
// per chunk of a job's completed tasks. They are read as long as there is no checkpoint in the
// log, and deleted once the first checkpoint is committed.
const (
	legacyMachinePrefix = "rig/"
	legacyDonePrefix    = "did/"
)

// legacyRecords holds the records in the 0.1.0 format.
type legacyRecords struct {
	machines, done []statestore.KeyValue
}

// readLegacy reads the records in the 0.1.0 format.
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

// restoreLegacy restores state from the records in the 0.1.0 format. An unreadable machine
// record may hide a task that is still running, so it fails the failover. An unreadable record
// of completed tasks does no harm, as its tasks just run again.
func (l *Leader) restoreLegacy(records legacyRecords, now time.Time) error {
	for _, row := range records.machines {
		var record wal.Machine
		if err := wirejson.Decode(row.Value, &record); err != nil {
			return fmt.Errorf("decode record %s: %w", row.Key, err)
		}
		if err := l.restoreMachine(strings.TrimPrefix(row.Key, legacyMachinePrefix), &record, now); err != nil {
			return err
		}
		l.commits.deleteAfterCheckpoint(row.Key, row.Revision)
	}
	for _, row := range records.done {
		l.commits.deleteAfterCheckpoint(row.Key, row.Revision)
		job, tasks, err := decodeLegacyDone(row)
		if err != nil {
			l.deps.Log.Error("unreadable record of completed tasks", "key", row.Key, "error", err)
			continue
		}
		l.restoreDone(job, tasks)
	}
	return nil
}

// decodeLegacyDone decodes a record of completed tasks. Its key is legacyDonePrefix followed by
// JOB/CHUNK, and its value is a bitmap of the chunk's tasks.
func decodeLegacyDone(row statestore.KeyValue) (job string, tasks []int, err error) {
	job, number, ok := strings.Cut(strings.TrimPrefix(row.Key, legacyDonePrefix), "/")
	chunk, err := strconv.Atoi(number)
	if !ok || err != nil || chunk < 0 {
		return "", nil, fmt.Errorf("malformed key %q of completed tasks", row.Key)
	}
	var text string
	if err := wirejson.Decode(row.Value, &text); err != nil {
		return "", nil, err
	}
	bits, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return "", nil, err
	}
	for i := range len(bits) * 8 {
		if bitset(bits).has(i) {
			tasks = append(tasks, chunk*constants.TasksPerDoneChunk+i)
		}
	}
	return job, tasks, nil
}
