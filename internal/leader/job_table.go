package leader

import (
	"iter"
	"maps"

	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// jobTable holds the jobs of a term: the open ones, and what must be remembered of
// those that have ended.
type jobTable struct {
	open map[string]*jobState
	// removed are the IDs of jobs that ended here before the watch has told so: what
	// the watch still says of their submission is late.
	removed map[string]bool
	// ended are the jobs that are over while attempts of them may still run.
	ended map[string]*endedJob
	// pipelines are the jobs of each team and class in the order that they came.
	pipelines map[placement.Pipeline][]*jobState
}

// endedJob is what is remembered of a job that is over while attempts of it may
// still be on machines.
type endedJob struct {
	team      string
	resources placement.Resources // of each task
	attempts  int                 // attempts not proven gone
}

func newJobTable() jobTable {
	return jobTable{
		open:      make(map[string]*jobState),
		removed:   make(map[string]bool),
		ended:     make(map[string]*endedJob),
		pipelines: make(map[placement.Pipeline][]*jobState),
	}
}

// get finds an open job; nil if there is none of this ID.
func (t *jobTable) get(id string) *jobState { return t.open[id] }

// len is how many jobs are open.
func (t *jobTable) len() int { return len(t.open) }

// all iterates over the open jobs, in no order.
func (t *jobTable) all() iter.Seq[*jobState] { return maps.Values(t.open) }

// knows tells whether a job is open, or was removed before the watch has told so.
func (t *jobTable) knows(id string) bool { return t.open[id] != nil || t.removed[id] }

// add takes in a job.
func (t *jobTable) add(job *jobState) {
	t.open[job.spec.ID] = job
	pipeline := job.view.Pipeline()
	t.pipelines[pipeline] = append(t.pipelines[pipeline], job)
}

// remove takes out a job that is over. If attempts of it may still be on machines, what
// they take is remembered.
func (t *jobTable) remove(job *jobState, attempts int) {
	id := job.spec.ID
	job.removed = true
	t.removed[id] = true
	if attempts > 0 {
		t.ended[id] = &endedJob{team: job.spec.Team, resources: placement.TaskResources(job.spec), attempts: attempts}
	}
	delete(t.open, id)
}

// recordDeleted is called once the watch has told that a job's record is gone. It tells
// changes in order: nothing older of the job can follow.
func (t *jobTable) recordDeleted(id string) { delete(t.removed, id) }

// restoreEnded counts an attempt, read from the records, of a job that is over.
func (t *jobTable) restoreEnded(id, team string, resources placement.Resources) {
	if t.ended[id] == nil {
		t.ended[id] = &endedJob{team: team, resources: resources}
	}
	t.ended[id].attempts++
}

// endedAttemptFound counts an attempt, found on a machine, of a job that is over.
func (t *jobTable) endedAttemptFound(id string) {
	if ended := t.ended[id]; ended != nil {
		ended.attempts++
	}
}

// endedAttemptGone is called when an attempt is gone whose job is over.
func (t *jobTable) endedAttemptGone(id string) {
	ended := t.ended[id]
	if ended == nil {
		return
	}
	ended.attempts--
	if ended.attempts <= 0 {
		delete(t.ended, id)
	}
}

// resourcesOf is what an attempt takes. One whose job is over still occupies its machine.
func (t *jobTable) resourcesOf(attempt *workers.Attempt) placement.Resources {
	if job := t.open[attempt.ID.Task.Job]; job != nil {
		return placement.TaskResources(job.spec)
	}
	if ended := t.ended[attempt.ID.Task.Job]; ended != nil {
		return ended.resources
	}
	return placement.Resources{}
}

// teamOf is the team that an attempt counts for.
func (t *jobTable) teamOf(attempt *workers.Attempt) string {
	if job := t.open[attempt.ID.Task.Job]; job != nil {
		return job.spec.Team
	}
	if ended := t.ended[attempt.ID.Task.Job]; ended != nil {
		return ended.team
	}
	return ""
}

// nextInPipeline is the earliest job of an upstream's pipeline that still waits to
// start. A job that waits for others has a pipeline of its own.
func (t *jobTable) nextInPipeline(upstream *jobState) *jobState {
	pipeline := upstream.view.Pipeline()
	// Jobs come in the order of their records, but for those that were read
	// during the failover.
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
