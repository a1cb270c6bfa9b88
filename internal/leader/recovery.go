package leader

import (
	"context"
	"fmt"
	"time"

	"thornnotch/internal/backoff"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
)

// storedRecords holds the records of earlier terms.
type storedRecords struct {
	// jobs holds the open jobs, read at this revision of the state service.
	jobs     []statestore.KeyValue
	revision uint64
	// log is the state recorded in the log; logRevision is the revision of its head.
	log         wal.State
	logRevision uint64
	legacy      legacyRecords
}

// loadRecords loads the records of earlier terms and restores state from them. Since they are
// read after this term has started, no older leader can still change them. It returns the
// revision at which the open jobs were read.
func (l *Leader) loadRecords(ctx context.Context) (revision uint64, err error) {
	startedAt := time.Now()
	l.failover.start(startedAt)
	records, err := l.readRecords(ctx)
	if err != nil {
		return 0, err
	}
	if err := l.restoreRecords(records, time.Now()); err != nil {
		return 0, err
	}
	head := records.log.Head
	l.deps.Log.Info("records loaded", "term", l.term.number(), "jobs", l.jobs.len(), "machines", l.fleet.len(),
		"log", head.Next-head.From, "took_ms", time.Since(startedAt).Milliseconds())
	return records.revision, nil
}

// readRecords reads the records of earlier terms.
func (l *Leader) readRecords(ctx context.Context) (records storedRecords, err error) {
	l.setFailoverProgress("reading the jobs")
	open, err := l.listRecords(ctx, jobs.OpenPrefix)
	if err != nil {
		return storedRecords{}, err
	}
	l.staleness.RecordWatch(open.askedAt)
	records.jobs, records.revision = open.rows, open.revision
	l.setFailoverProgress("reading the log, %d jobs open", len(open.rows))
	if records.log, records.logRevision, err = l.readLog(ctx); err != nil {
		return storedRecords{}, err
	}
	if records.log.Head.Area == "" {
		// There is no checkpoint yet, so there may be records in the legacy format.
		if records.legacy, err = l.readLegacy(ctx); err != nil {
			return storedRecords{}, err
		}
	}
	return records, nil
}

// restoreRecords restores state from the records of earlier terms. After an error no decisions
// may be made, because an unknown task may be running.
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
	if l.commits.hasReplacedKeys() {
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

// readLog reads the log and returns its state and the revision of its head. No other node can
// write the log any more, so the keys need not be read at a single revision.
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
	state, foreign, err := wal.Replay(rows)
	for _, key := range foreign {
		l.deps.Log.Error("unexpected key under the log prefix", "key", key)
	}
	return state, headRow.Revision, err
}

// readLogRows reads all keys that the log's head refers to, and includes the head itself.
func (l *Leader) readLogRows(ctx context.Context, headRow statestore.KeyValue) ([]statestore.KeyValue, error) {
	var head wal.Head
	if err := wirejson.Decode(headRow.Value, &head); err != nil {
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

// getRecord reads a record, retrying until ctx is done. It returns false if the record does
// not exist.
func (l *Leader) getRecord(ctx context.Context, key string) (statestore.KeyValue, bool, error) {
	for {
		row, found, err := l.deps.Store.Get(ctx, statestore.ClassLease, key)
		switch {
		case err == nil:
			return row, found, nil
		case ctx.Err() != nil:
			return statestore.KeyValue{}, false, fmt.Errorf("read %s: %w", key, err)
		}
		l.deps.Log.Info("record read failed, retrying", "key", key, "error", err)
		backoff.Sleep(ctx, backoff.Jitter(constants.MinStateBackoff))
	}
}

// recordList is the result of listing records: their contents at a revision of the state
// service, and when the request was sent.
type recordList struct {
	rows     []statestore.KeyValue
	revision uint64
	askedAt  time.Time
}

// listRecords lists the records with a prefix, retrying until ctx is done. Giving up the lead
// after one failed request would only restart the failover from the beginning.
func (l *Leader) listRecords(ctx context.Context, prefix string) (recordList, error) {
	for {
		askedAt := time.Now()
		rows, revision, err := l.deps.Store.List(ctx, statestore.ClassLease, prefix)
		switch {
		case err == nil:
			return recordList{rows, revision, askedAt}, nil
		case ctx.Err() != nil:
			return recordList{}, fmt.Errorf("list %s: %w", prefix, err)
		}
		l.deps.Log.Info("record listing failed, retrying", "key", prefix, "error", err)
		backoff.Sleep(ctx, backoff.Jitter(constants.MinStateBackoff))
	}
}
