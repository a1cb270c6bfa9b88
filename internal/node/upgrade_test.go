package node

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/wirejson"
)

// During an upgrade nodes of the old and the new version run side by side and read each
// other's records. testdata/production.json holds records that the production version wrote to
// the state service while in operation: done, cancelled and open jobs, the log's head and
// entries, and the catalog. These tests check that records are readable in both directions.
// .ci/versions alternates leadership between real processes of both versions, and the benchmark's
// simulated upgrades run both versions through outages and refusals of the state service.

// storedRow is a key of the state service with its value.
type storedRow struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
}

// productionRecords returns the rows that the production version wrote.
func productionRecords(t *testing.T) (rows []storedRow) {
	t.Helper()
	raw, err := os.ReadFile("testdata/production.json")
	if err == nil {
		err = wirejson.Decode(raw, &rows)
	}
	if err != nil || len(rows) < 10 {
		t.Fatalf("read testdata/production.json: %d rows, error %v, want at least 10 rows", len(rows), err)
	}
	return rows
}

// recordsWithPrefix decodes the values of the rows whose key has the prefix, and returns them by
// the key without the prefix.
func recordsWithPrefix[Record any](t *testing.T, rows []storedRow, prefix string) map[string]Record {
	t.Helper()
	records := map[string]Record{}
	for _, row := range rows {
		id, ok := strings.CutPrefix(row.Key, prefix)
		if !ok {
			continue
		}
		var record Record
		if err := wirejson.Decode(row.Value, &record); err != nil {
			t.Fatalf("decode %s: %v", row.Key, err)
		}
		records[id] = record
	}
	return records
}

// TestSiteContinuesFromProductionRecords checks that a site of the new version continues from the
// production version's records: final jobs keep their status, open jobs complete, and new jobs
// can depend on either.
func TestSiteContinuesFromProductionRecords(t *testing.T) {
	rows := productionRecords(t)
	open := recordsWithPrefix[jobs.Record](t, rows, jobs.OpenPrefix)
	final := recordsWithPrefix[jobs.FinalRecord](t, rows, jobs.FinalPrefix)
	if len(open) == 0 {
		t.Error("testdata/production.json has no open job")
	}
	storeRecords := func(s *site) {
		s.lastJobNumber = 100
		for _, row := range rows {
			s.state.Put(row.Key, row.Value)
		}
		for id, record := range open {
			s.submittedSpecs.Store(id, &record.Spec)
		}
	}
	runScenarioOnce(t, smallSiteOptions(), 11, storeRecords, func(sc *scenario) {
		sc.checkFinalStatuses(final)
		sc.rules.ignoreDependencies() // the checker did not see production's task completions

		dependent := testJob(900, "a", jobs.KindArray, 2)
		dependent.DependsOn = slices.Concat(doneIDs(final), slices.Collect(maps.Keys(open)))
		if !sc.users.submit(dependent) {
			sc.t.Fatal("the job that depends on production's jobs was not accepted")
		}
		sc.checkDependentOfCancelledJob(final)
		for id := range open {
			sc.waitFor(3*time.Minute, id+" to complete", func() bool { return sc.status(0, id) == jobs.StatusDone })
		}
		sc.waitFor(time.Minute, "completion of the dependent job", func() bool { return sc.status(1, dependent.ID) == jobs.StatusDone })
	})
}

// checkFinalStatuses checks that every node reports the recorded final statuses.
func (sc *scenario) checkFinalStatuses(final map[string]jobs.FinalRecord) {
	sc.t.Helper()
	for id, record := range final {
		for i := range 3 {
			sc.waitFor(5*time.Second, "the recorded final status", func() bool { return sc.status(i, id) == record.Status })
		}
	}
}

// doneIDs returns the IDs of the jobs that are done.
func doneIDs(final map[string]jobs.FinalRecord) (ids []string) {
	for id, record := range final {
		if record.Status == jobs.StatusDone {
			ids = append(ids, id)
		}
	}
	return ids
}

// checkDependentOfCancelledJob checks that a job that depends on a cancelled one is accepted as
// cancelled.
func (sc *scenario) checkDependentOfCancelledJob(final map[string]jobs.FinalRecord) {
	sc.t.Helper()
	cancelled := ""
	for id, record := range final {
		if record.Status != jobs.StatusDone {
			cancelled = id
		}
	}
	if cancelled == "" {
		sc.t.Error("testdata/production.json has no cancelled job")
	}
	job := testJob(901, "a", jobs.KindArray, 2)
	job.DependsOn = []string{cancelled}
	sc.waitFor(10*time.Second, "acceptance as cancelled", func() bool {
		code, response := sc.submitWithResponse(0, job)
		return code == http.StatusCreated && response.Status == jobs.StatusCancelled
	})
}

// productionJob is a copy of the production version's job type.
type productionJob struct {
	JobID               string   `json:"nameId"`
	Class               string   `json:"workload"`
	Team                string   `json:"owner"`
	Kind                string   `json:"shape"`
	PriorityClass       string   `json:"urgency"`
	TaskCount           int      `json:"pieces"`
	CPUs                float64  `json:"vcpus"`
	GPUs                float64  `json:"accelerators"`
	MemoryGB            float64  `json:"ramGb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"imageGb"`
	MachineTypes        []string `json:"rigTypes,omitempty"`
	Zone                string   `json:"hall,omitempty"`
	SameZone            bool     `json:"samePlace,omitempty"`
	SpreadZones         bool     `json:"apart,omitempty"`
	AllowSpot           bool     `json:"loaners,omitempty"`
	ExpectedDurationS   float64  `json:"expectS"`
	CheckpointIntervalS float64  `json:"snapshotS"`
	CheckpointSaveS     float64  `json:"stashS"`
	DeadlineS           *float64 `json:"dueS,omitempty"`
}

// productionRecord is an open job as the production version decodes it.
type productionRecord struct {
	productionJob
	AcceptedMS int64 `json:"atMs"`
}

// productionFinal is a finished job as the production version decodes it.
type productionFinal struct {
	Status    string `json:"status"`
	TaskCount int    `json:"pieces"`
}

// TestProductionVersionReadsOurRecords checks that the production version reads this version's
// records. The record of a job without dependencies has no field that is unknown to production,
// production ignores the new fields of other records, and copies of its types decode the same
// values.
func TestProductionVersionReadsOurRecords(t *testing.T) {
	runScenarioOnce(t, smallSiteOptions(), 12, nil, func(sc *scenario) {
		id := sc.submitNext(longJob("a", jobs.KindArray, 3, 40))
		var current jobs.Record
		var production productionRecord
		raw := sc.state.Get(jobs.OpenPrefix + id)
		for _, target := range []any{&current, &production} {
			decoder := json.NewDecoder(bytes.NewReader(raw)) //nolint:forbidigo // rejects unknown fields
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(target); err != nil {
				sc.t.Errorf("decode %s: %v", raw, err)
			}
		}
		if production.JobID != current.ID || production.TaskCount != current.Tasks || production.AcceptedMS != current.AcceptedAtMS || production.ExpectedDurationS != current.ExpectedS {
			sc.t.Errorf("production's version reads the record as %+v, want the same values as in this version", production)
		}
		sc.waitFor(2*time.Minute, "the job to complete", func() bool { return sc.knownStatus(id) == jobs.StatusDone })
		var final productionFinal
		if err := wirejson.Decode(sc.state.Get(jobs.FinalPrefix+id), &final); err != nil || final.Status != jobs.StatusDone || final.TaskCount != 3 {
			sc.t.Errorf("final record as production's version reads it: %+v, error %v, want status done and 3 tasks", final, err)
		}
	})
}
