package node

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
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

type stored struct {
	K string          `json:"k"`
	V json.RawMessage `json:"v"`
}

func production(t *testing.T) (rows []stored) {
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

// TestProductionsRecordsAreTakenOver: a site of the new version goes on with them:
// what was over stays so, what was open runs to its end, and new jobs may wait for
// either.
func TestProductionsRecordsAreTakenOver(t *testing.T) {
	rows := production(t)
	open := map[string]bool{}
	meetOnce(t, small(), 11, func(s *site) {
		s.names = 100
		for _, r := range rows {
			s.state.Put(r.K, r.V)
			if id, ok := strings.CutPrefix(r.K, jobs.OpenPrefix); ok {
				var rec jobs.Record
				if err := json.Unmarshal(r.V, &rec); err != nil {
					t.Fatal(err)
				}
				s.jobs.Store(id, &rec.Spec)
				open[id] = true
			}
		}
	}, func(m *scenario) {
		var waits []string
		cancelled := ""
		for _, r := range rows {
			id, ok := strings.CutPrefix(r.K, jobs.FinalPrefix)
			if !ok {
				continue
			}
			var f jobs.FinalRecord
			if err := json.Unmarshal(r.V, &f); err != nil {
				t.Fatal(err)
			}
			for i := range 3 {
				m.until(5*time.Second, "an answer", func() bool { return m.status(i, id) == f.Status })
			}
			if f.Status == jobs.StatusDone {
				waits = append(waits, id)
			} else {
				cancelled = id
			}
		}
		for id := range open {
			waits = append(waits, id)
		}
		m.judge.mu.Lock()
		m.judge.jobs = nil // what ran in production was not seen here
		m.judge.mu.Unlock()
		after := testJob(900, "a", jobs.KindArray, 2)
		after.DependsOn = waits
		if !m.users.submit(after) {
			t.Fatal("not accepted")
		}
		if cancelled == "" {
			t.Error("nothing was cancelled in production")
		}
		off := testJob(901, "a", jobs.KindArray, 2)
		off.DependsOn = []string{cancelled}
		m.until(10*time.Second, "what names a cancelled job", func() bool {
			code, st := m.submitted(0, off)
			return code == http.StatusCreated && st.Status == jobs.StatusCancelled
		})
		for id := range open {
			m.until(3*time.Minute, id+" done", func() bool { return m.status(0, id) == jobs.StatusDone })
		}
		m.until(time.Minute, "what waited", func() bool { return m.status(1, after.ID) == jobs.StatusDone })
	})
	if len(open) == 0 {
		t.Error("nothing was open in production")
	}
}

// TestProductionReadsOurRecords: the records of jobs that wait for nothing hold
// nothing that production's would not, and what is new beside it is in fields that
// it passes over: its own types, copied here, read the same.
func TestProductionReadsOurRecords(t *testing.T) {
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
	type productionRecord struct {
		productionJob
		AtMS int64 `json:"atMs"`
	}
	type productionFinal struct {
		Status string `json:"status"`
		Pieces int    `json:"pieces"`
	}
	meetOnce(t, small(), 12, nil, func(m *scenario) {
		id := m.run(long("a", jobs.KindArray, 3, 40))
		var ours jobs.Record
		var theirs productionRecord
		raw := m.state.Get(jobs.OpenPrefix + id)
		for _, into := range []any{&ours, &theirs} {
			d := json.NewDecoder(bytes.NewReader(raw))
			d.DisallowUnknownFields()
			if err := d.Decode(into); err != nil {
				t.Errorf("%s: %v", raw, err)
			}
		}
		if theirs.NameID != ours.ID || theirs.Pieces != ours.Tasks || theirs.AtMS != ours.AcceptedAtMS || theirs.ExpectS != ours.ExpectedS {
			t.Errorf("read as %+v", theirs)
		}
		m.until(2*time.Minute, "done", func() bool { return m.heard(id) == jobs.StatusDone })
		var f productionFinal
		if err := json.Unmarshal(m.state.Get(jobs.FinalPrefix+id), &f); err != nil || f.Status != jobs.StatusDone || f.Pieces != 3 {
			t.Errorf("%+v %v", f, err)
		}
	})
}
