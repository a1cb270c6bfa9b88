package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// FailoverProgress tells how far the takeover has come; empty once it is over.
func (l *Leader) FailoverProgress() string {
	if s := l.failoverProgress.Load(); s != nil {
		return *s
	}
	return ""
}

func (l *Leader) setProgress(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	l.failoverProgress.Store(&s)
}

// trackFailover follows which of the machines that the records name have reported. The
// takeover is over once all have, or those that have not must have lost their
// leases.
func (l *Leader) trackFailover(now time.Time) {
	if l.FailoverProgress() == "" {
		return
	}
	all, heard := 0, 0
	for machine := range l.fleet.all() {
		all++
		if machine.agent.Registered {
			heard++
		}
	}
	if took := now.Sub(l.term.startedAt); heard == all || took > l.lease {
		l.setProgress("")
		l.deps.Log.Info("takeover complete", "term", l.term.number(), "machines", all, "heard", heard, "took_s", math.Round(took.Seconds()*10)/10)
		return
	}
	l.setProgress("%d of %d machines heard", heard, all)
}

// loadRecords reads all records of the earlier terms. Reading starts after the term
// was raised, so no older leader can change them any more.
func (l *Leader) loadRecords(ctx context.Context) (epoch uint64, err error) {
	start := time.Now()
	l.term.startedAt = start
	l.setProgress("reading the jobs")
	open, epoch, err := l.listRecords(ctx, jobs.OpenPrefix)
	if err != nil {
		return 0, err
	}
	l.setProgress("reading the log, %d jobs open", len(open))
	st, stamp, err := l.readLog(ctx)
	if err != nil {
		return 0, err
	}
	var oldMachines, oldDids []statestore.KeyValue
	if st.Head.Area == "" {
		// No checkpoint yet: what there is may be of the earlier format.
		if oldMachines, _, err = l.listRecords(ctx, oldMachinePrefix); err != nil {
			return 0, err
		}
		if oldDids, _, err = l.listRecords(ctx, oldDidPrefix); err != nil {
			return 0, err
		}
	}
	now := time.Now()
	for _, row := range open {
		l.addJob(row.Key, row.Value, row.Revision, now)
	}
	for j := range l.jobs.all() {
		j.fromEarlierTerm = true
	}
	if err := l.restoreLegacy(oldMachines, oldDids, now); err != nil {
		return 0, err
	}
	for name, rec := range st.Machines {
		if err := l.restoreMachine(name, rec, now); err != nil {
			return 0, err
		}
	}
	for job, list := range st.Done {
		l.restoreDone(job, list)
	}
	l.openLog(st.Head, stamp)
	if len(l.legacyKeys) > 0 {
		l.beginCheckpoint()
	}
	for j := range l.jobs.all() {
		l.checkComplete(j)
		l.stopIncompleteGang(j, now)
	}
	l.passDueNow = true
	l.loaded = true
	l.linkLoadedJobs(now)
	l.deps.Log.Info("records loaded", "term", l.term.number(), "jobs", l.jobs.len(), "machines", l.fleet.len(),
		"log", st.Head.Next-st.Head.From, "took_ms", time.Since(start).Milliseconds())
	return epoch, nil
}

// readLog reads the log's head, what it counts on, and the head's revision. Nobody
// writes the log any more, so it need not be read at one moment.
func (l *Leader) readLog(ctx context.Context) (st wal.State, stamp uint64, err error) {
	headRow, found, err := l.getRecord(ctx, wal.HeadKey)
	if err != nil {
		return wal.State{}, 0, err
	}
	var rows []wal.KeyValue
	if found {
		var head wal.Head
		if err := json.Unmarshal(headRow.Value, &head); err != nil {
			return wal.State{}, 0, fmt.Errorf("record %s: %w", wal.HeadKey, err)
		}
		rows = append(rows, wal.KeyValue{Key: headRow.Key, Value: headRow.Value})
		for _, prefix := range head.Prefixes() {
			listed, _, err := l.listRecords(ctx, prefix)
			if err != nil {
				return wal.State{}, 0, err
			}
			for _, r := range listed {
				rows = append(rows, wal.KeyValue{Key: r.Key, Value: r.Value})
			}
		}
	}
	st, odd, err := wal.Read(rows)
	for _, key := range odd {
		l.deps.Log.Error("record is not ours", "key", key)
	}
	return st, headRow.Revision, err
}

// getRecord reads one record, trying again for as long as the term lasts.
func (l *Leader) getRecord(ctx context.Context, key string) (statestore.KeyValue, bool, error) {
	for {
		row, found, err := l.deps.Store.Get(ctx, statestore.ClassLease, key)
		if err == nil || ctx.Err() != nil {
			return row, found, err
		}
		l.deps.Log.Info("record can't be read", "key", key, "err", err)
		pause(ctx, constants.MinBackoff)
	}
}

// listRecords lists one kind of record, trying again for as long as the term lasts:
// giving the lead up over one failed answer would only start it all anew.
func (l *Leader) listRecords(ctx context.Context, prefix string) ([]statestore.KeyValue, uint64, error) {
	for {
		asked := time.Now()
		rows, epoch, err := l.deps.Store.List(ctx, statestore.ClassLease, prefix)
		if prefix == jobs.OpenPrefix {
			l.certainty.Watched(asked)
		}
		if err == nil || ctx.Err() != nil {
			return rows, epoch, err
		}
		l.deps.Log.Info("records can't be read", "prefix", prefix, "err", err)
		pause(ctx, constants.MinBackoff)
	}
}
