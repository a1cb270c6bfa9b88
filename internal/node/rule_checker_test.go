package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// ruleChecker watches what really happens on the machines, and notes each rule of the
// protocol that is broken.
type ruleChecker struct {
	maxGPUs      map[string]float64 // by team
	cancelWithin time.Duration      // how long a task may stay once its job is cancelled
	// storedValue is what the state service holds of a key.
	storedValue func(key string) json.RawMessage

	mu sync.Mutex // guards all below
	// findJob finds a job that was submitted; nil: dependencies are not checked.
	findJob     func(id string) (*jobs.Spec, bool)
	running     map[workers.TaskID]string
	zoneOf      map[workers.TaskID]string // of the running tasks
	startedJobs map[string]*jobs.Spec
	gpusInUse   map[string]float64        // by team
	tasksByZone map[string]map[string]int // running tasks by job and zone
	completions map[workers.TaskID]int
	starts      int
	// cancelledAt is when a user was first told that a job is cancelled.
	cancelledAt map[string]time.Time
	violations  []string
	// onDone, if set, is told of each task that is done.
	onDone func(workers.TaskID)
}

func newRuleChecker(params config.Params, findJob func(string) (*jobs.Spec, bool), storedValue func(string) json.RawMessage) *ruleChecker {
	checker := &ruleChecker{
		maxGPUs: map[string]float64{}, cancelWithin: config.Seconds(params.Workers.CancelWithinS),
		findJob: findJob, storedValue: storedValue,
		running: map[workers.TaskID]string{}, zoneOf: map[workers.TaskID]string{}, startedJobs: map[string]*jobs.Spec{},
		gpusInUse: map[string]float64{}, tasksByZone: map[string]map[string]int{}, completions: map[workers.TaskID]int{},
		cancelledAt: map[string]time.Time{},
	}
	for _, team := range params.Teams {
		checker.maxGPUs[team.Name] = team.MaxGPUs
	}
	return checker
}

// TaskStarted is told by a worker that a task has started.
func (c *ruleChecker) TaskStarted(machine, zone string, spot bool, task workers.TaskID, _ uint64, job *jobs.Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.checkCancelled(task, machine, "began")
	c.checkDependencies(task, job)
	if other, ok := c.running[task]; ok {
		c.violation("ran_twice: %v on %s and %s", task, other, machine)
	}
	c.running[task] = machine
	c.startedJobs[task.Job] = job
	c.checkQuota(job)
	c.checkPlacement(task, job, zone, spot)
}

// TaskEnded is told by a worker that a task has ended.
func (c *ruleChecker) TaskEnded(machine string, task workers.TaskID, _ uint64, done bool) {
	if onDone := c.noteEnd(machine, task, done); onDone != nil {
		// Without mu: it may draw from what users guard by their own lock, under which
		// they ask this checker.
		onDone(task)
	}
}

// noteEnd returns what is to be told that the task is done, if it is.
func (c *ruleChecker) noteEnd(machine string, task workers.TaskID, done bool) (onDone func(workers.TaskID)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkCancelled(task, machine, "ended")
	delete(c.running, task)
	job := c.startedJobs[task.Job]
	c.gpusInUse[job.Team] -= job.GPUs
	c.tasksByZone[task.Job][c.zoneOf[task]]--
	delete(c.zoneOf, task)
	if !done {
		return nil
	}
	c.completions[task]++
	return c.onDone
}

// checkCancelled demands that a task of a cancelled job is not on a machine too late.
func (c *ruleChecker) checkCancelled(task workers.TaskID, machine, what string) {
	if at, ok := c.cancelledAt[task.Job]; ok && time.Since(at) > c.cancelWithin {
		c.violation("ran_cancelled: %v %s on %s %v after its user was told", task, what, machine, time.Since(at))
	}
}

// checkDependencies demands that all jobs that a starting task's job depends on are done.
func (c *ruleChecker) checkDependencies(task workers.TaskID, job *jobs.Spec) {
	if c.findJob == nil {
		return
	}
	for _, name := range job.DependsOn {
		// Its end must be written: until then its user's cancellation may come first.
		var final jobs.FinalRecord
		if _ = json.Unmarshal(c.storedValue(jobs.FinalPrefix+name), &final); final.Status != jobs.StatusDone {
			c.violation("too_early: %v began before the end of %s was written (%q)", task, name, final.Status)
		}
		upstream, _ := c.findJob(name)
		for i := range upstream.Tasks {
			if c.completions[workers.TaskID{Job: name, Index: i}] == 0 {
				c.violation("too_early: %v began before task %d of %s was done", task, i, name)
			}
		}
	}
}

// checkQuota counts a started task, and demands that its team is within its limit.
func (c *ruleChecker) checkQuota(job *jobs.Spec) {
	c.gpusInUse[job.Team] += job.GPUs
	if c.gpusInUse[job.Team] > c.maxGPUs[job.Team] {
		c.violation("quota: %s has %v", job.Team, c.gpusInUse[job.Team])
	}
}

// checkPlacement demands that a started task is in a zone and on a kind of machine that
// its job allows.
func (c *ruleChecker) checkPlacement(task workers.TaskID, job *jobs.Spec, zone string, spot bool) {
	if c.tasksByZone[task.Job] == nil {
		c.tasksByZone[task.Job] = make(map[string]int)
	}
	c.tasksByZone[task.Job][zone]++
	c.zoneOf[task] = zone
	if job.Zone != "" && job.Zone != zone {
		c.violation("wrong_place: %v in %s", task, zone)
	}
	if spot && !job.AllowSpot {
		c.violation("wrong_place: %v on spot", task)
	}
	if !job.SameZone {
		return
	}
	zonesInUse := 0
	for _, tasks := range c.tasksByZone[task.Job] {
		if tasks > 0 {
			zonesInUse++
		}
	}
	if zonesInUse > 1 {
		c.violation("wrong_place: %s in %d zones", task.Job, zonesInUse)
	}
}

// violation notes a broken rule. The caller holds mu.
func (c *ruleChecker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// reportViolation notes a broken rule that a test has found.
func (c *ruleChecker) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation(format, args...)
}

// noteCancelled notes that a user was told that a job is cancelled.
func (c *ruleChecker) noteCancelled(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.cancelledAt[job]; !ok {
		c.cancelledAt[job] = time.Now()
	}
}

// checkRunning demands of all tasks that run now that none is of a job that was
// cancelled too long ago.
func (c *ruleChecker) checkRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, machine := range c.running {
		c.checkCancelled(task, machine, "stands")
	}
}

// callOnDone has f called for each task that is done from now on.
func (c *ruleChecker) callOnDone(f func(workers.TaskID)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDone = f
}

// ignoreDependencies has the checker not look at dependencies from now on.
func (c *ruleChecker) ignoreDependencies() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findJob = nil
}

// allViolations lists the broken rules, each once.
func (c *ruleChecker) allViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	sorted := slices.Clone(c.violations)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// runningTasks tells which tasks run, and on which machine.
func (c *ruleChecker) runningTasks() map[workers.TaskID]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.running)
}

// tasksOf lists the running tasks of a job.
func (c *ruleChecker) tasksOf(job string) (tasks []workers.TaskID) {
	for task := range c.runningTasks() {
		if task.Job == job {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// allCompletions tells how often each task was done.
func (c *ruleChecker) allCompletions() map[workers.TaskID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.completions)
}

// startCount is how many tasks have started.
func (c *ruleChecker) startCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// hasStarted tells whether a task of a job has ever started.
func (c *ruleChecker) hasStarted(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startedJobs[job] != nil
}
