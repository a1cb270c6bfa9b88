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
	"thornnotch/internal/wirejson"
	"thornnotch/internal/workers"
)

// ruleChecker observes which tasks really run on the simulated machines, and records every
// violation of a rule of the protocol. A violation begins with the name of its rule, if the rule
// has one. docs/design.md explains these names.
type ruleChecker struct {
	maxGPUs      map[string]float64 // by team
	cancelWithin time.Duration      // how long a task may run on after its user was told of the cancellation
	// storedValue returns the value that the state service holds for a key.
	storedValue func(key string) json.RawMessage

	mu sync.Mutex // guards the fields below
	// findJob returns the specification of a submitted job. If findJob is nil, dependencies are
	// not checked.
	findJob     func(id string) (*jobs.Spec, bool)
	running     map[workers.TaskID]string // machine of each running task
	zoneOf      map[workers.TaskID]string // zone of each running task
	startedJobs map[string]*jobs.Spec
	gpusInUse   map[string]float64        // by team
	tasksByZone map[string]map[string]int // number of running tasks by job and zone
	completions map[workers.TaskID]int    // how often each task has completed
	starts      int                       // task starts so far, repeated ones included
	// cancelledAt holds when a user was first told that a job is cancelled.
	cancelledAt map[string]time.Time
	violations  []string
	// onDone, if not nil, is called for each task that completes.
	onDone func(workers.TaskID)
}

// newRuleChecker returns a checker for a site with these settings.
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

// TaskStarted records that a task has started and checks the rules for starts. Simulated
// workers call it.
func (c *ruleChecker) TaskStarted(machine, zone string, spot bool, task workers.TaskID, _ uint64, job *jobs.Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.checkCancelDeadline(task, machine, "started")
	c.checkDependencies(task, job)
	if otherMachine, ok := c.running[task]; ok {
		c.addViolation("ran_twice: task %v runs on %s and %s", task, otherMachine, machine)
	}
	c.running[task] = machine
	c.startedJobs[task.Job] = job
	c.checkQuota(job)
	c.checkPlacement(task, job, zone, spot)
}

// TaskEnded records that a task is no longer on a machine; done reports whether it has
// completed. Simulated workers call it.
func (c *ruleChecker) TaskEnded(machine string, task workers.TaskID, _ uint64, done bool) {
	if onDone := c.recordEnd(machine, task, done); onDone != nil {
		// mu must not be held here: the callback may lock users.mu to draw random numbers, and
		// users call this checker while they hold users.mu. The two orders would deadlock.
		onDone(task)
	}
}

// recordEnd records the end of a task. It returns the callback to call if the task has
// completed, nil otherwise.
func (c *ruleChecker) recordEnd(machine string, task workers.TaskID, done bool) (onDone func(workers.TaskID)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkCancelDeadline(task, machine, "ended")
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

// checkCancelDeadline checks that a task is not on a machine later than cancelWithin after the
// cancellation of its job. event is the verb for the violation's text, such as "started". The
// caller holds mu.
func (c *ruleChecker) checkCancelDeadline(task workers.TaskID, machine, event string) {
	if at, ok := c.cancelledAt[task.Job]; ok && time.Since(at) > c.cancelWithin {
		c.addViolation("ran_cancelled: task %v %s on %s %v after its user was told of the cancellation", task, event, machine, time.Since(at))
	}
}

// checkDependencies checks that all jobs that the job of a starting task depends on are done.
// The caller holds mu.
func (c *ruleChecker) checkDependencies(task workers.TaskID, job *jobs.Spec) {
	if c.findJob == nil {
		return
	}
	for _, upstreamID := range job.DependsOn {
		// The final record must be written: until then a cancellation of the upstream job may
		// still be recorded first.
		var final jobs.FinalRecord
		if _ = wirejson.Decode(c.storedValue(jobs.FinalPrefix+upstreamID), &final); final.Status != jobs.StatusDone {
			c.addViolation("too_early: task %v started before the final record of %s said done (%q)", task, upstreamID, final.Status)
		}
		upstream, _ := c.findJob(upstreamID)
		for i := range upstream.Tasks {
			if c.completions[workers.TaskID{Job: upstreamID, Index: i}] == 0 {
				c.addViolation("too_early: task %v started before task %d of %s completed", task, i, upstreamID)
			}
		}
	}
}

// checkQuota adds a started task to its team's usage, and checks that the team is within its
// limit. The caller holds mu.
func (c *ruleChecker) checkQuota(job *jobs.Spec) {
	c.gpusInUse[job.Team] += job.GPUs
	if c.gpusInUse[job.Team] > c.maxGPUs[job.Team] {
		c.addViolation("quota: team %s uses %v GPUs", job.Team, c.gpusInUse[job.Team])
	}
}

// checkPlacement records the zone of a started task, and checks that its job may run in this
// zone and, if the machine is a spot machine, on spot machines. All tasks of a SameZone job must
// run in one zone. The caller holds mu.
func (c *ruleChecker) checkPlacement(task workers.TaskID, job *jobs.Spec, zone string, spot bool) {
	if c.tasksByZone[task.Job] == nil {
		c.tasksByZone[task.Job] = make(map[string]int)
	}
	c.tasksByZone[task.Job][zone]++
	c.zoneOf[task] = zone
	if job.Zone != "" && job.Zone != zone {
		c.addViolation("wrong_place: task %v runs in zone %s", task, zone)
	}
	if spot && !job.AllowSpot {
		c.addViolation("wrong_place: task %v runs on a spot machine", task)
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
		c.addViolation("wrong_place: job %s runs in %d zones", task.Job, zonesInUse)
	}
}

// addViolation records a violation. The caller holds mu.
func (c *ruleChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// reportViolation records a violation that was found outside of the checker.
func (c *ruleChecker) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

// recordCancelled records that a user was told that a job is cancelled.
func (c *ruleChecker) recordCancelled(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.cancelledAt[job]; !ok {
		c.cancelledAt[job] = time.Now()
	}
}

// checkCancelDeadlines checks that no task is still running whose job was cancelled longer than
// cancelWithin ago.
func (c *ruleChecker) checkCancelDeadlines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, machine := range c.running {
		c.checkCancelDeadline(task, machine, "is running")
	}
}

// setOnDone makes the checker call f for each task that completes from now on.
func (c *ruleChecker) setOnDone(f func(workers.TaskID)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDone = f
}

// ignoreDependencies turns the check of dependencies off.
func (c *ruleChecker) ignoreDependencies() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findJob = nil
}

// allViolations returns the violations so far, sorted and without duplicates.
func (c *ruleChecker) allViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	sorted := slices.Clone(c.violations)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// runningTasks returns the machine of each running task.
func (c *ruleChecker) runningTasks() map[workers.TaskID]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.running)
}

// runningTasksOf returns the running tasks of a job.
func (c *ruleChecker) runningTasksOf(job string) (tasks []workers.TaskID) {
	for task := range c.runningTasks() {
		if task.Job == job {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// completionCounts returns how often each task has completed.
func (c *ruleChecker) completionCounts() map[workers.TaskID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.completions)
}

// startCount returns the number of task starts so far.
func (c *ruleChecker) startCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// hasStarted reports whether any task of a job has ever started.
func (c *ruleChecker) hasStarted(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startedJobs[job] != nil
}
