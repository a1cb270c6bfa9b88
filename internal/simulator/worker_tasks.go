package simulator

import (
	"net/http"
	"sort"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// task is one attempt to run a task on the machine.
type task struct {
	id          workers.AttemptID
	job         *jobs.Spec // nil if the job is unknown
	status      workers.TaskStatus
	cause       workers.ExitCause
	saved       bool      // a checkpoint was saved at exit
	statusSince time.Time // when status last changed; shifted during a hang
	stoppedAt   time.Time // when the task began to save a checkpoint because of a stop
	started     bool      // the observer was notified of the start, but not yet of the end
	willFail    bool      // the task started while the machine was faulty
}

func (t *task) isGang() bool { return t.job != nil && t.job.Kind == jobs.KindGang }

func (t *task) gangKey() gangAttempt { return gangAttempt{t.id.Task.Job, t.id.Number} }

// advanceTasks applies the expiry of the lease and updates the status of all tasks at the given
// time. The caller must hold w.mu.
func (w *Worker) advanceTasks(now time.Time) {
	w.expireLease(now)
	if w.hanging {
		for _, t := range w.tasks {
			t.statusSince = t.statusSince.Add(w.options.StepInterval) // no progress while the machine hangs
		}
		return
	}
	if len(w.tasks) == 0 {
		return
	}
	for _, id := range w.sortedAttempts() {
		t := w.tasks[id]
		switch t.status {
		case workers.StatusFetching:
			w.advanceFetching(t, now)
		case workers.StatusWaiting:
			w.advanceWaiting(t, now)
		case workers.StatusRunning:
			w.advanceRunning(t, now)
		case workers.StatusSaving:
			if now.Sub(t.stoppedAt).Seconds() >= t.job.CheckpointSaveS {
				w.exitTask(t, workers.CauseStopped, true, now)
			}
		case workers.StatusExited:
		}
	}
}

// expireLease applies the protocol's rule for leases: once the lease has expired, the worker kills
// and forgets all tasks and starts a new epoch with a new lease.
func (w *Worker) expireLease(now time.Time) {
	if now.Sub(w.leaseStart) <= w.options.LeaseDuration {
		return
	}
	w.killAllTasks()
	w.epoch++
	w.leaseStart = now
	w.requestHeartbeat()
}

func (w *Worker) advanceFetching(t *task, now time.Time) {
	if !w.cachedImages[t.job.Image] && now.Sub(t.statusSince) < w.options.FetchTime {
		return
	}
	w.cachedImages[t.job.Image] = true
	t.started, t.willFail = true, w.faulty
	w.observer.TaskStarted(w.options.Name, w.options.Zone, w.options.Spot, t.id.Task, t.id.Number, t.job)
	if !t.isGang() {
		w.setStatus(t, workers.StatusRunning, now)
		return
	}
	w.gangs.join(t)
	w.setStatus(t, workers.StatusWaiting, now)
}

func (w *Worker) advanceWaiting(t *task, now time.Time) {
	allPresent, _ := w.gangs.progress(t)
	switch {
	case allPresent:
		w.setStatus(t, workers.StatusRunning, now)
	case now.Sub(t.statusSince) > w.options.GangWait:
		w.exitTask(t, workers.CauseGangIncomplete, false, now)
	}
}

func (w *Worker) advanceRunning(t *task, now time.Time) {
	if t.willFail && now.Sub(t.statusSince) >= FaultyRunTime {
		w.exitTask(t, workers.CauseError, false, now)
		return
	}
	if t.isGang() {
		allPresent, completed := w.gangs.progress(t)
		switch {
		case completed:
			w.exitTask(t, workers.CauseDone, false, now)
			return
		case !allPresent:
			w.exitTask(t, workers.CauseGangLost, false, now)
			return
		}
	}
	if now.Sub(t.statusSince) >= w.runTime(t) {
		w.exitTask(t, workers.CauseDone, false, now)
	}
}

func (w *Worker) runTime(t *task) time.Duration {
	if w.options.RunTime != nil {
		return w.options.RunTime(t.job, t.id.Task.Index)
	}
	return time.Duration(t.job.ExpectedS * float64(time.Second))
}

func (w *Worker) setStatus(t *task, status workers.TaskStatus, now time.Time) {
	t.status, t.statusSince = status, now
	w.requestHeartbeat()
}

func (w *Worker) exitTask(t *task, cause workers.ExitCause, saved bool, now time.Time) {
	w.endTask(t, cause == workers.CauseDone)
	t.cause, t.saved = cause, saved
	w.setStatus(t, workers.StatusExited, now)
}

// endTask notifies the observer and the gang registry that a task has ended.
func (w *Worker) endTask(t *task, done bool) {
	if t.started && t.isGang() {
		// A gang completes as a whole, even if this machine's task has not reached its end.
		_, completed := w.gangs.progress(t)
		done = done || completed
	}
	if t.started {
		t.started = false
		w.observer.TaskEnded(w.options.Name, t.id.Task, t.id.Number, done)
	}
	if t.isGang() {
		w.gangs.leave(t, done)
	}
}

// killAllTasks kills and forgets all tasks.
func (w *Worker) killAllTasks() {
	for id, t := range w.tasks {
		w.endTask(t, false)
		delete(w.tasks, id)
	}
}

// sortedAttempts returns the IDs of all attempts in a deterministic order.
func (w *Worker) sortedAttempts() []workers.AttemptID {
	ids := make([]workers.AttemptID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		if ids[i].Task != ids[j].Task {
			return ids[i].Task.String() < ids[j].Task.String()
		}
		return ids[i].Number < ids[j].Number
	})
	return ids
}

// executeCommands executes commands in order. The caller must hold w.mu.
func (w *Worker) executeCommands(commands []workers.Command, now time.Time) {
	for _, command := range commands {
		taskID, err := workers.ParseTaskID(command.Task)
		if err != nil {
			continue
		}
		id := workers.AttemptID{Task: taskID, Number: command.Attempt}
		t := w.tasks[id]
		switch command.Verb {
		case workers.VerbRun:
			if t == nil {
				w.startTask(id, now)
			}
		case workers.VerbStop:
			if t != nil {
				w.stopTask(t, command.GraceS, now)
			}
		case workers.VerbForget:
			if t != nil && t.status == workers.StatusExited {
				delete(w.tasks, id)
			}
		}
	}
}

func (w *Worker) startTask(id workers.AttemptID, now time.Time) {
	t := &task{id: id, status: workers.StatusFetching, statusSince: now}
	w.tasks[id] = t
	job, ok := w.jobs.Job(id.Task.Job)
	if !ok {
		t.status, t.cause = workers.StatusExited, workers.CauseUnknownJob
	}
	t.job = job
	w.requestHeartbeat()
}

// stopTask applies the protocol's rules for `stop`: a running task that takes checkpoints saves
// one if the grace period is long enough, and a task that is already saving continues unless the
// new grace period is zero. Any other task exits immediately. A missing grace period counts as
// zero.
func (w *Worker) stopTask(t *task, graceS *float64, now time.Time) {
	grace := 0.0
	if graceS != nil {
		grace = *graceS
	}
	switch {
	case t.status == workers.StatusExited:
	case t.status == workers.StatusRunning && t.job.CheckpointIntervalS > 0 && graceS != nil && grace >= t.job.CheckpointSaveS:
		t.stoppedAt = now
		w.setStatus(t, workers.StatusSaving, now)
	case t.status == workers.StatusSaving && grace > 0:
	default:
		w.exitTask(t, workers.CauseStopped, false, now)
	}
}

// handleDirectCommands handles POST /commands. It executes the commands unless the fencing token
// is outdated or the epoch is not the worker's, and replies with the worker's status. While
// incoming traffic is blocked it ignores the commands and sends no reply.
func (w *Worker) handleDirectCommands(rw http.ResponseWriter, r *http.Request) {
	var batch workers.CommandBatch
	if readRequest(r, &batch) != nil || batch.Token == 0 || batch.Epoch == 0 {
		writeError(rw, http.StatusBadRequest, "malformed")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incomingBlocked {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	if !w.waitWhileHanging() {
		return
	}
	status := http.StatusConflict
	if batch.Token >= w.token && batch.Epoch == w.epoch {
		status = http.StatusOK
		w.token = batch.Token
		w.executeCommands(batch.Commands, time.Now())
	}
	writeReply(rw, status, w.newHeartbeat())
}

// waitWhileHanging waits until the machine resumes, and releases w.mu meanwhile. It reports
// false if the worker has stopped.
func (w *Worker) waitWhileHanging() (alive bool) {
	for w.hanging {
		resumed := w.resumed
		w.mu.Unlock()
		select {
		case <-resumed:
		case <-w.stopped:
		}
		w.mu.Lock()
		select {
		case <-w.stopped:
			return false
		default:
		}
	}
	return true
}
