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
)

// During an upgrade old and new versions serve side by side, each on the other's
// records. testdata/production.json is what the version in production had written
// to the state service amid its work: jobs done, cancelled and open, the log's head
// and entries, the catalog. What is shown here is that records are read in both
// directions; .ci/versions has real processes of both versions lead by turns, and the
// bench's upgrade days play both through outages and refusals.

// storedRow is a key of the state service and its value.
type storedRow struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
}

// productionRecords reads what the version in production had written.
func productionRecords(t *testing.T) (rows []storedRow) {
	t.Helper()
	raw, err := os.ReadFile("testdata/production.json")
	if err == nil {
		err = json.Unmarshal(raw, &rows)
	}
	if err != nil || len(rows) < 10 {
		t.Fatalf("%d rows, %v", len(rows), err)
	}
	return rows
}

// recordsBelow decodes the records of these rows whose keys have a prefix, by the rest
// of the key.
func recordsBelow[Record any](t *testing.T, rows []storedRow, prefix string) map[string]Record {
	t.Helper()
	records := map[string]Record{}
	for _, row := range rows {
		id, ok := strings.CutPrefix(row.Key, prefix)
		if !ok {
			continue
		}
		var record Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			t.Fatalf("decode %s: %v", row.Key, err)
		}
		records[id] = record
	}
	return records
}

// TestProductionsRecordsAreTakenOver: a site of the new version goes on with them:
// what was over stays so, what was open runs to its end, and new jobs may wait for
// either.
func TestProductionsRecordsAreTakenOver(t *testing.T) {
	rows := productionRecords(t)
	open := recordsBelow[jobs.Record](t, rows, jobs.OpenPrefix)
	final := recordsBelow[jobs.FinalRecord](t, rows, jobs.FinalPrefix)
	if len(open) == 0 {
		t.Error("nothing was open in production")
	}
	storeRecords := func(s *site) {
		s.lastJob = 100
		for _, row := range rows {
			s.state.Put(row.Key, row.Value)
		}
		for id, record := range open {
			s.specs.Store(id, &record.Spec)
		}
	}
	runScenarioOnce(t, smallSite(), 11, storeRecords, func(sc *scenario) {
		sc.checkFinalStatuses(final)
		sc.rules.ignoreDependencies() // what ran in production was not seen here

		waiting := testJob(900, "a", jobs.KindArray, 2)
		waiting.DependsOn = slices.Concat(doneIDs(final), slices.Collect(maps.Keys(open)))
		if !sc.users.submit(waiting) {
			sc.t.Fatal("not accepted")
		}
		sc.submitAfterCancelled(final)
		for id := range open {
			sc.waitFor(3*time.Minute, id+" done", func() bool { return sc.status(0, id) == jobs.StatusDone })
		}
		sc.waitFor(time.Minute, "what waited", func() bool { return sc.status(1, waiting.ID) == jobs.StatusDone })
	})
}

// checkFinalStatuses demands that every node tells the final statuses that were recorded.
func (sc *scenario) checkFinalStatuses(final map[string]jobs.FinalRecord) {
	sc.t.Helper()
	for id, record := range final {
		for i := range 3 {
			sc.waitFor(5*time.Second, "an answer", func() bool { return sc.status(i, id) == record.Status })
		}
	}
}

// doneIDs lists the jobs that are done.
func doneIDs(final map[string]jobs.FinalRecord) (ids []string) {
	for id, record := range final {
		if record.Status == jobs.StatusDone {
			ids = append(ids, id)
		}
	}
	return ids
}

// submitAfterCancelled demands that a job that depends on a cancelled one is accepted as
// cancelled.
func (sc *scenario) submitAfterCancelled(final map[string]jobs.FinalRecord) {
	sc.t.Helper()
	cancelled := ""
	for id, record := range final {
		if record.Status != jobs.StatusDone {
			cancelled = id
		}
	}
	if cancelled == "" {
		sc.t.Error("nothing was cancelled in production")
	}
	job := testJob(901, "a", jobs.KindArray, 2)
	job.DependsOn = []string{cancelled}
	sc.waitFor(10*time.Second, "what names a cancelled job", func() bool {
		code, answer := sc.submitAndRead(0, job)
		return code == http.StatusCreated && answer.Status == jobs.StatusCancelled
	})
}

// productionJob is a job as the version in production reads it: its own type, copied.
type productionJob struct {
	NameID       string   `json:"nameId"`
	Workload     string   `json:"workload"`
	Owner        string   `json:"owner"`
	Shape        string   `json:"shape"`
	Urgency      string   `json:"urgency"`
	Pieces       int      `json:"pieces"`
	VCPUs        float64  `json:"vcpus"`
	Accelerators float64  `json:"accelerators"`
	RAMGB        float64  `json:"ramGb"`
	Bundle       string   `json:"bundle"`
	ImageGB      float64  `json:"imageGb"`
	MachineTypes []string `json:"rigTypes,omitempty"`
	Hall         string   `json:"hall,omitempty"`
	SamePlace    bool     `json:"samePlace,omitempty"`
	Apart        bool     `json:"apart,omitempty"`
	Loaners      bool     `json:"loaners,omitempty"`
	ExpectS      float64  `json:"expectS"`
	SnapshotS    float64  `json:"snapshotS"`
	StashS       float64  `json:"stashS"`
	DueS         *float64 `json:"dueS,omitempty"`
}

// productionRecord is an open job as production reads it.
type productionRecord struct {
	productionJob
	AtMS int64 `json:"atMs"`
}

// productionFinal is a job that is over as production reads it.
type productionFinal struct {
	Status string `json:"status"`
	Pieces int    `json:"pieces"`
}

// TestProductionReadsOurRecords: the records of jobs that wait for nothing hold
// nothing that production's would not, and what is new beside it is in fields that
// it passes over: its own types, copied here, read the same.
func TestProductionReadsOurRecords(t *testing.T) {
	runScenarioOnce(t, smallSite(), 12, nil, func(sc *scenario) {
		id := sc.submitNext(longJob("a", jobs.KindArray, 3, 40))
		var ours jobs.Record
		var theirs productionRecord
		raw := sc.state.Get(jobs.OpenPrefix + id)
		for _, into := range []any{&ours, &theirs} {
			decoder := json.NewDecoder(bytes.NewReader(raw))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(into); err != nil {
				sc.t.Errorf("%s: %v", raw, err)
			}
		}
		if theirs.NameID != ours.ID || theirs.Pieces != ours.Tasks || theirs.AtMS != ours.AcceptedAtMS || theirs.ExpectS != ours.ExpectedS {
			sc.t.Errorf("read as %+v", theirs)
		}
		sc.waitFor(2*time.Minute, "done", func() bool { return sc.knownStatus(id) == jobs.StatusDone })
		var final productionFinal
		if err := json.Unmarshal(sc.state.Get(jobs.FinalPrefix+id), &final); err != nil || final.Status != jobs.StatusDone || final.Pieces != 3 {
			sc.t.Errorf("%+v %v", final, err)
		}
	})
}
