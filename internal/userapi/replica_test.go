package userapi

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// openJobsModel models the open jobs in the store and the reads of them that are in flight.
type openJobsModel struct {
	revision uint64
	created  int
	// openRevisions holds the revisions of the open records by job ID.
	openRevisions map[string]uint64
	// changes holds all changes of open records.
	changes []statestore.Change
	// pendingReads holds records as returned by single reads, which may reach the replica
	// late.
	pendingReads []statestore.Change
	// pendingWatches holds results of watches that have not reached the replica yet.
	pendingWatches []watchResult
}

// watchResult holds the changes after revision from, up to revision to.
type watchResult struct {
	from, to uint64
	changes  []statestore.Change
}

func (m *openJobsModel) openJob() {
	m.revision++
	id := fmt.Sprint("j-", m.created)
	m.created++
	m.openRevisions[id] = m.revision
	change := statestore.Change{Put: jobs.OpenPrefix + id, Value: []byte(`{}`), Revision: m.revision}
	m.changes = append(m.changes, change)
	m.pendingReads = append(m.pendingReads, change)
}

func (m *openJobsModel) finishAnyJob() {
	for id := range m.openRevisions {
		m.revision++
		delete(m.openRevisions, id)
		m.changes = append(m.changes, statestore.Change{Delete: jobs.OpenPrefix + id, Revision: m.revision})
		return
	}
}

// watch returns the result of a watch that starts at revision from.
func (m *openJobsModel) watch(from uint64) watchResult {
	result := watchResult{from: from, to: m.revision}
	for _, change := range m.changes {
		if change.Revision > from {
			result.changes = append(result.changes, change)
		}
	}
	return result
}

// step performs one random step: a job is opened or finished, a watch starts, or a result
// reaches the replica.
func (m *openJobsModel) step(t *rapid.T, replica *openJobsReplica) {
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1:
		m.openJob()
	case 2:
		m.finishAnyJob()
	case 3: // a watch starts
		m.pendingWatches = append(m.pendingWatches, m.watch(replica.revision()))
	case 4: // a record of a single read arrives late
		if len(m.pendingReads) > 0 {
			record := m.pendingReads[rapid.IntRange(0, len(m.pendingReads)-1).Draw(t, "read")]
			replica.add(openJobID(record.Put), record.Revision, jobs.Dependencies{})
		}
	case 5: // the result of a watch arrives
		if len(m.pendingWatches) > 0 {
			i := rapid.IntRange(0, len(m.pendingWatches)-1).Draw(t, "watch")
			mustApply(t, replica, m.pendingWatches[i])
			m.pendingWatches = append(m.pendingWatches[:i:i], m.pendingWatches[i+1:]...)
		}
	}
}

func mustApply(t *rapid.T, replica *openJobsReplica, result watchResult) {
	if !replica.apply(result.changes, result.from, result.to) {
		t.Fatal("apply reports missing changes, but none are missing")
	}
}

// TestReplicaMatchesOpenJobs checks that the replica neither restores finished jobs nor misses
// open ones. Concurrent watches deliver overlapping changes in any order, and single reads
// deliver old records late. Once a watch has applied all changes up to a revision, the replica
// must hold exactly the jobs that were open at that revision.
func TestReplicaMatchesOpenJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica := newOpenJobsReplica()
		model := openJobsModel{revision: 1, openRevisions: map[string]uint64{}}
		replica.load(nil, model.revision)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			model.step(t, replica)
		}
		mustApply(t, replica, model.watch(replica.revision()))

		for id, revision := range model.openRevisions {
			if replica.revisionOf(id) != revision {
				t.Errorf("job %s is missing or has another revision", id)
			}
		}
		replica.mu.Lock()
		defer replica.mu.Unlock()
		if len(replica.jobs) != len(model.openRevisions) {
			t.Errorf("replica holds %d jobs, %d are open", len(replica.jobs), len(model.openRevisions))
		}
	})
}
