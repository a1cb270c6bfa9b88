package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// storedRecords are the records of the earlier terms.
type storedRecords struct {
	// jobs are the open jobs, read at this revision of the state service.
	jobs     []statestore.KeyValue
	revision uint64
	// log is what the log says, logRevision that of its head.
	log         wal.State
	logRevision uint64
	legacy      legacyRecords
}

// loadRecords reads all records of the earlier terms and takes them in. Reading starts
// after the term was raised, so no older leader can change them any more. It returns the
// revision at which the open jobs were read.
func (l *Leader) loadRecords(ctx context.Context) (revision uint64, err error) {
	start := time.Now()
	l.failover.begin(start)
	records, err := l.readRecords(ctx)
	if err != nil {
		return 0, err
	}
	if err := l.restoreRecords(records, time.Now()); err != nil {
		return 0, err
	}
	head := records.log.Head
	l.deps.Log.Info("records loaded", "term", l.term.number(), "jobs", l.jobs.len(), "machines", l.fleet.len(),
		"log", head.Next-head.From, "took_ms", time.Since(start).Milliseconds())
	return records.revision, nil
}

// readRecords reads all records of the earlier terms.
func (l *Leader) readRecords(ctx context.Context) (records storedRecords, err error) {
	l.failoverStep("reading the jobs")
	open, err := l.listRecords(ctx, jobs.OpenPrefix)
	if err != nil {
		return storedRecords{}, err
	}
	l.certainty.Watched(open.asked)
	records.jobs, records.revision = open.rows, open.revision
	l.failoverStep("reading the log, %d jobs open", len(open.rows))
	if records.log, records.logRevision, err = l.readLog(ctx); err != nil {
		return storedRecords{}, err
	}
	if records.log.Head.Area == "" {
		// No checkpoint yet: what there is may be of the earlier format.
		if records.legacy, err = l.readLegacy(ctx); err != nil {
			return storedRecords{}, err
		}
	}
	return records, nil
}

// restoreRecords takes in the records of the earlier terms. On an error nothing may be
// decided: a task may run that is not known.
func (l *Leader) restoreRecords(records storedRecords, now time.Time) error {
	for _, row := range records.jobs {
		l.addJob(row.Key, row.Value, row.Revision, now)
	}
	for job := range l.jobs.all() {
		job.fromEarlierTerm = true
	}
	if err := l.restoreLegacy(records.legacy, now); err != nil {
		return err
	}
	for name, record := range records.log.Machines {
		if err := l.restoreMachine(name, record, now); err != nil {
			return err
		}
	}
	for job, tasks := range records.log.Done {
		l.restoreDone(job, tasks)
	}
	l.openLog(records.log.Head, records.logRevision)
	if l.commits.keysWaitForCheckpoint() {
		l.beginCheckpoint()
	}
	for job := range l.jobs.all() {
		l.checkComplete(job)
		l.stopIncompleteGang(job, now)
	}
	l.passes.request()
	l.failover.finishLoading()
	l.linkLoadedJobs(now)
	return nil
}

// readLog reads the log's head, what it counts on, and the head's revision. Nobody
// writes the log any more, so it need not be read at one moment.
func (l *Leader) readLog(ctx context.Context) (state wal.State, revision uint64, err error) {
	headRow, found, err := l.getRecord(ctx, wal.HeadKey)
	if err != nil {
		return wal.State{}, 0, err
	}
	var rows []statestore.KeyValue
	if found {
		if rows, err = l.readLogRows(ctx, headRow); err != nil {
			return wal.State{}, 0, err
		}
	}
	state, foreign, err := wal.Read(rows)
	for _, key := range foreign {
		l.deps.Log.Error("foreign key below the log", "key", key)
	}
	return state, headRow.Revision, err
}

// readLogRows reads what the log's head counts on, the head included.
func (l *Leader) readLogRows(ctx context.Context, headRow statestore.KeyValue) ([]statestore.KeyValue, error) {
	var head wal.Head
	if err := json.Unmarshal(headRow.Value, &head); err != nil {
		return nil, &wal.UnreadableRecordError{Key: wal.HeadKey, Err: err}
	}
	rows := []statestore.KeyValue{headRow}
	for _, prefix := range head.Prefixes() {
		listed, err := l.listRecords(ctx, prefix)
		if err != nil {
			return nil, err
		}
		rows = append(rows, listed.rows...)
	}
	return rows, nil
}

// getRecord reads one record, trying again for as long as the term lasts.
func (l *Leader) getRecord(ctx context.Context, key string) (statestore.KeyValue, bool, error) {
	for {
		row, found, err := l.deps.Store.Get(ctx, statestore.ClassLease, key)
		switch {
		case err == nil:
			return row, found, nil
		case ctx.Err() != nil:
			return statestore.KeyValue{}, false, fmt.Errorf("read %s: %w", key, err)
		}
		l.deps.Log.Info("record can't be read", "key", key, "error", err)
		pause(ctx, constants.MinBackoff)
	}
}

// recordList is one kind of record, as it was at a revision of the state service, which it
// was asked for at this time.
type recordList struct {
	rows     []statestore.KeyValue
	revision uint64
	asked    time.Time
}

// listRecords lists one kind of record, trying again for as long as the term lasts: giving
// the lead up over one failed answer would only start it all anew.
func (l *Leader) listRecords(ctx context.Context, prefix string) (recordList, error) {
	for {
		asked := time.Now()
		rows, revision, err := l.deps.Store.List(ctx, statestore.ClassLease, prefix)
		switch {
		case err == nil:
			return recordList{rows, revision, asked}, nil
		case ctx.Err() != nil:
			return recordList{}, fmt.Errorf("list %s: %w", prefix, err)
		}
		l.deps.Log.Info("records can't be read", "key", prefix, "error", err)
		pause(ctx, constants.MinBackoff)
	}
}
