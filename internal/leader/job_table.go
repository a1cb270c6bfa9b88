package leader

import (
	"iter"
	"maps"

	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// jobTable holds the open jobs of a term, and the data that is still needed about jobs that
// have ended.
type jobTable struct {
	open map[string]*jobState
	// removed are the IDs of jobs that were removed here before the watch reported the
	// deletion of their records. Submissions that the watch still reports for them are
	// outdated.
	removed map[string]bool
	// ended are the jobs that have ended but may still have attempts running.
	ended map[string]*endedJob
	// pipelines are the jobs of each team and class, in the order in which they were added.
	pipelines map[placement.Pipeline][]*jobState
}

// endedJob is the data that is kept about a job that has ended but may still have attempts on
// machines.
type endedJob struct {
	team      string
	resources placement.Resources // per task
	attempts  int                 // number of attempts not proven gone
}

func newJobTable() jobTable {
	return jobTable{
		open:      make(map[string]*jobState),
		removed:   make(map[string]bool),
		ended:     make(map[string]*endedJob),
		pipelines: make(map[placement.Pipeline][]*jobState),
	}
}

// get returns an open job, or nil if there is none with this ID.
func (t *jobTable) get(id string) *jobState { return t.open[id] }

// len returns the number of open jobs.
func (t *jobTable) len() int { return len(t.open) }

// all iterates over the open jobs in no particular order.
func (t *jobTable) all() iter.Seq[*jobState] { return maps.Values(t.open) }

// openOrRemoved reports whether a job is open, or was removed while the watch has not yet
// reported the deletion of its record.
func (t *jobTable) openOrRemoved(id string) bool { return t.open[id] != nil || t.removed[id] }

// add adds an open job.
func (t *jobTable) add(job *jobState) {
	t.open[job.spec.ID] = job
	pipeline := job.view.Pipeline()
	t.pipelines[pipeline] = append(t.pipelines[pipeline], job)
}

// remove removes a job that has ended. attempts is the number of its attempts that may still be
// on machines; if there are any, their team and resources are kept.
func (t *jobTable) remove(job *jobState, attempts int) {
	id := job.spec.ID
	job.removed = true
	t.removed[id] = true
	if attempts > 0 {
		t.ended[id] = &endedJob{team: job.spec.Team, resources: placement.TaskResources(job.spec), attempts: attempts}
	}
	delete(t.open, id)
}

// clearRemoved forgets that a job was removed, once the watch has reported the deletion of its
// open record. The watch delivers changes in order, so no older change of that record can follow.
func (t *jobTable) clearRemoved(id string) { delete(t.removed, id) }

// restoreAttemptOfEndedJob counts an attempt of an ended job that was restored from the
// records.
func (t *jobTable) restoreAttemptOfEndedJob(id, team string, resources placement.Resources) {
	if t.ended[id] == nil {
		t.ended[id] = &endedJob{team: team, resources: resources}
	}
	t.ended[id].attempts++
}

// addAttemptOfEndedJob counts an attempt of an ended job that a machine has reported.
func (t *jobTable) addAttemptOfEndedJob(id string) {
	if ended := t.ended[id]; ended != nil {
		ended.attempts++
	}
}

// removeAttemptOfEndedJob stops counting an attempt of an ended job, and drops the job with
// its last attempt.
func (t *jobTable) removeAttemptOfEndedJob(id string) {
	ended := t.ended[id]
	if ended == nil {
		return
	}
	ended.attempts--
	if ended.attempts <= 0 {
		delete(t.ended, id)
	}
}

// resourcesOf returns the resources that an attempt takes, or none if its job is unknown. An
// attempt whose job has ended still occupies its machine.
func (t *jobTable) resourcesOf(attempt *workers.Attempt) placement.Resources {
	if job := t.open[attempt.ID.Task.Job]; job != nil {
		return placement.TaskResources(job.spec)
	}
	if ended := t.ended[attempt.ID.Task.Job]; ended != nil {
		return ended.resources
	}
	return placement.Resources{}
}

// teamOf returns the team that an attempt is accounted to, or "" if its job is unknown.
func (t *jobTable) teamOf(attempt *workers.Attempt) string {
	if job := t.open[attempt.ID.Task.Job]; job != nil {
		return job.spec.Team
	}
	if ended := t.ended[attempt.ID.Task.Job]; ended != nil {
		return ended.team
	}
	return ""
}

// nextInPipeline returns the job that follows an upstream job in its pipeline, or nil if there
// is none: the earliest other job that has no placed tasks. Jobs with dependencies are
// skipped, as they have pipelines of their own.
func (t *jobTable) nextInPipeline(upstream *jobState) *jobState {
	pipeline := upstream.view.Pipeline()
	// Jobs are added in the order of their revisions, except those loaded during the failover.
	var earliest *jobState
	kept := t.pipelines[pipeline][:0]
	for _, job := range t.pipelines[pipeline] {
		if job.removed {
			continue
		}
		kept = append(kept, job)
		if job != upstream && !job.placed && !job.upstreams.declared && (earliest == nil || job.revision < earliest.revision) {
			earliest = job
		}
	}
	t.pipelines[pipeline] = kept
	return earliest
}
