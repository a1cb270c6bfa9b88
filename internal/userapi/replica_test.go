package userapi

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// openJobsModel is what really happens to the open jobs, and what readers learn of it.
type openJobsModel struct {
	revision uint64
	created  int
	// open holds the revisions of the open jobs' records by job ID.
	open map[string]uint64
	// changes are all that were made to open jobs.
	changes []statestore.Change
	// records are those that single reads found, to be taken in late.
	records []statestore.Change
	// watches are answers under way.
	watches []watchAnswer
}

// watchAnswer holds the changes after one revision up to another.
type watchAnswer struct {
	from, to uint64
	changes  []statestore.Change
}

func (m *openJobsModel) openJob() {
	m.revision++
	id := fmt.Sprint("j-", m.created)
	m.created++
	m.open[id] = m.revision
	change := statestore.Change{Put: jobs.OpenPrefix + id, Value: []byte(`{}`), Revision: m.revision}
	m.changes = append(m.changes, change)
	m.records = append(m.records, change)
}

func (m *openJobsModel) closeAnyJob() {
	for id := range m.open {
		m.revision++
		delete(m.open, id)
		m.changes = append(m.changes, statestore.Change{Delete: jobs.OpenPrefix + id, Revision: m.revision})
		return
	}
}

// watch answers a watch from a revision on.
func (m *openJobsModel) watch(from uint64) watchAnswer {
	answer := watchAnswer{from: from, to: m.revision}
	for _, change := range m.changes {
		if change.Revision > from {
			answer.changes = append(answer.changes, change)
		}
	}
	return answer
}

// step lets one thing happen, to the jobs or to what the replica is told of them.
func (m *openJobsModel) step(t *rapid.T, replica *openJobsReplica) {
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0, 1:
		m.openJob()
	case 2:
		m.closeAnyJob()
	case 3: // a reader asks
		m.watches = append(m.watches, m.watch(replica.revision()))
	case 4: // a single read's record comes late
		if len(m.records) > 0 {
			record := m.records[rapid.IntRange(0, len(m.records)-1).Draw(t, "read")]
			replica.add(openJobID(record.Put), record.Revision, jobs.Dependencies{})
		}
	case 5: // a reader is answered
		if len(m.watches) > 0 {
			i := rapid.IntRange(0, len(m.watches)-1).Draw(t, "answer")
			applyWithoutGap(t, replica, m.watches[i])
			m.watches = append(m.watches[:i:i], m.watches[i+1:]...)
		}
	}
}

func applyWithoutGap(t *rapid.T, replica *openJobsReplica, answer watchAnswer) {
	if !replica.apply(answer.changes, answer.from, answer.to) {
		t.Fatal("a gap where there is none")
	}
}

// TestReplicaNeverGoesBack: jobs open and go; two readers bring the same changes,
// overlapping and in any order, and single reads bring older records late. Once a
// reader has brought all changes up to a moment, the replica holds just the jobs that
// were open then: none that has gone, none missing.
func TestReplicaNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica := newOpenJobsReplica()
		model := openJobsModel{revision: 1, open: map[string]uint64{}}
		replica.load(nil, model.revision)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			model.step(t, replica)
		}
		applyWithoutGap(t, replica, model.watch(replica.revision()))

		for id, revision := range model.open {
			if replica.revisionOf(id) != revision {
				t.Errorf("%s is missing", id)
			}
		}
		replica.mu.Lock()
		defer replica.mu.Unlock()
		if len(replica.jobs) != len(model.open) {
			t.Errorf("%d jobs for %d", len(replica.jobs), len(model.open))
		}
	})
}
