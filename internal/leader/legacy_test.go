package leader

import (
	"encoding/json"
	"testing"
	"time"

	"thornnotch/internal/statestore"
)

// TestLegacyRecordsAreRestored checks that state is restored from records in the 0.1.0 format,
// which are deleted once a checkpoint contains their data.
func TestLegacyRecordsAreRestored(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	job := addJob(t, l, arraySpec("j-1", 20), now)
	machines := []statestore.KeyValue{{Key: "rig/m-1", Revision: 5, Value: json.RawMessage(
		`{"t":"g4","z":"east","e":"h:1","h":2,"a":[{"p":"j-1/3","t":9,"h":2},{"p":"j-0/0","t":8,"h":2}],"j":{"j-0":{"w":"a","r":[1,2,3]},"j-1":{"w":"a","r":[1,1,1]}},"i":[{"n":"img","g":5}]}`)}}
	done := []statestore.KeyValue{
		{Key: "did/j-1/0", Revision: 6, Value: json.RawMessage(`"BQAA"`)}, // tasks 0 and 2
		{Key: "did/j-1/x", Revision: 7, Value: json.RawMessage(`7`)},      // not a chunk number
	}
	if err := l.restoreLegacy(legacyRecords{machines: machines, done: done}, now); err != nil {
		t.Fatal(err)
	}
	machine := l.fleet.get("m-1")
	if len(job.attempts[3]) != 1 || l.jobs.ended["j-0"].resources.GPUs != 2 {
		t.Errorf("attempts of the open job %v, of the ended job %+v", job.attempts, l.jobs.ended["j-0"])
	}
	if job.progress.completed() != 2 || !job.progress.isRecorded(2) {
		t.Errorf("%d tasks done, task 2 recorded: %v", job.progress.completed(), job.progress.isRecorded(2))
	}
	if machine.worker.Zone != "east" || len(machine.images) != 1 {
		t.Errorf("machine in %q with images %v", machine.worker.Zone, machine.images)
	}

	machine.worker.Endpoint = ""
	l.beginCheckpoint()
	commitEverything(l, 100)
	if len(l.commits.obsoleteKeys) != 0 || l.commits.hasReplacedKeys() {
		t.Errorf("legacy keys left: %v", l.commits.obsoleteKeys)
	}
	if err := l.restoreLegacy(legacyRecords{machines: []statestore.KeyValue{{Key: "rig/m-2", Value: json.RawMessage(`"x"`)}}}, now); err == nil {
		t.Errorf("unreadable machine record is ignored although it may hide a running task")
	}
}

// TestLegacyMachineIgnoresFieldsOfOtherCase guards against a machine whose zone or tasks are taken from
// unknown fields of its record.
func TestLegacyMachineIgnoresFieldsOfOtherCase(t *testing.T) {
	l := testLeader(t)
	machines := []statestore.KeyValue{{Key: "rig/m-1", Revision: 5, Value: json.RawMessage(
		`{"t":"g4","z":"east","e":"h:1","h":2,"a":[{"p":"j-0/0","t":8,"h":2,"P":"j-0/1"}],"j":{"j-0":{"w":"a","r":[1,2,3],"W":"b"}},"T":"g8","Z":"west","A":[],"H":"x"}`)}}
	if err := l.restoreLegacy(legacyRecords{machines: machines}, time.Now()); err != nil {
		t.Fatal(err)
	}
	worker := l.fleet.get("m-1").worker
	if worker.Zone != "east" || worker.MachineType != "g4" || len(worker.SortedAttempts()) != 1 || worker.SortedAttempts()[0].ID.Task.Index != 0 {
		t.Errorf("restored %+v with attempts %v", worker, worker.SortedAttempts())
	}
}
