package simulator

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// task is one attempt on the machine.
type task struct {
	id        workers.AttemptID
	job       *jobs.Spec // nil if the job is unknown
	status    workers.TaskStatus
	cause     workers.ExitCause
	saved     bool
	since     time.Time // of the present status
	stoppedAt time.Time
	began     bool // it has its image, and the observer was told
	fails     bool // it was started on a faulty machine
}

func (t *task) isGang() bool { return t.job != nil && t.job.Kind == jobs.KindGang }

func (t *task) gang() gangAttempt { return gangAttempt{t.id.Task.Job, t.id.Number} }

// advance moves the tasks on to the present; w.mu is held.
func (w *Worker) advance(now time.Time) {
	w.expireLease(now)
	if w.hanging {
		for _, t := range w.tasks {
			t.since = t.since.Add(w.options.Step) // nothing moves on
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
			if now.Sub(t.stoppedAt).Seconds() >= t.job.SaveS {
				w.exit(t, workers.CauseStopped, true, now)
			}
		case workers.StatusExited:
		}
	}
}

// expireLease applies the protocol's rule for leases: the worker kills and forgets every
// task and proceeds with the next epoch.
func (w *Worker) expireLease(now time.Time) {
	if now.Sub(w.leaseFrom) <= w.options.Lease {
		return
	}
	w.killAll()
	w.epoch++
	w.leaseFrom = now
	w.noteChange()
}

func (w *Worker) advanceFetching(t *task, now time.Time) {
	if !w.images[t.job.Image] && now.Sub(t.since) < w.options.FetchTime {
		return
	}
	w.images[t.job.Image] = true
	t.began, t.fails = true, w.faulty
	w.observer.TaskStarted(w.options.Name, w.options.Zone, w.options.Spot, t.id.Task, t.id.Number, t.job)
	if !t.isGang() {
		w.setStatus(t, workers.StatusRunning, now)
		return
	}
	w.gangs.join(t)
	w.setStatus(t, workers.StatusWaiting, now)
}

func (w *Worker) advanceWaiting(t *task, now time.Time) {
	complete, _ := w.gangs.state(t)
	switch {
	case complete:
		w.setStatus(t, workers.StatusRunning, now)
	case now.Sub(t.since) > w.options.GangWait:
		w.exit(t, workers.CauseGangIncomplete, false, now)
	}
}

func (w *Worker) advanceRunning(t *task, now time.Time) {
	if t.fails && now.Sub(t.since) >= FaultyRunTime {
		w.exit(t, workers.CauseError, false, now)
		return
	}
	if t.isGang() {
		complete, done := w.gangs.state(t)
		switch {
		case done:
			w.exit(t, workers.CauseDone, false, now)
			return
		case !complete:
			w.exit(t, workers.CauseGangLost, false, now)
			return
		}
	}
	if now.Sub(t.since) >= w.runTime(t) {
		w.exit(t, workers.CauseDone, false, now)
	}
}

func (w *Worker) runTime(t *task) time.Duration {
	if w.options.RunTime != nil {
		return w.options.RunTime(t.job, t.id.Task.Index)
	}
	return time.Duration(t.job.ExpectedS * float64(time.Second))
}

func (w *Worker) setStatus(t *task, status workers.TaskStatus, now time.Time) {
	t.status, t.since = status, now
	w.noteChange()
}

func (w *Worker) exit(t *task, cause workers.ExitCause, saved bool, now time.Time) {
	w.end(t, cause == workers.CauseDone)
	t.cause, t.saved = cause, saved
	w.setStatus(t, workers.StatusExited, now)
}

// end takes a task off the machine.
func (w *Worker) end(t *task, done bool) {
	if t.began && t.isGang() {
		// A gang completes together, whatever each machine gets to say of it.
		_, gangDone := w.gangs.state(t)
		done = done || gangDone
	}
	if t.began {
		t.began = false
		w.observer.TaskEnded(w.options.Name, t.id.Task, t.id.Number, done)
	}
	if t.isGang() {
		w.gangs.leave(t, done)
	}
}

// killAll kills and forgets every task.
func (w *Worker) killAll() {
	for id, t := range w.tasks {
		w.end(t, false)
		delete(w.tasks, id)
	}
}

// sortedAttempts lists the attempts in a fixed order.
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

// execute carries out commands in order; w.mu is held.
func (w *Worker) execute(commands []workers.Command, now time.Time) {
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
				w.start(id, now)
			}
		case workers.VerbStop:
			if t != nil {
				w.stop(t, command.GraceS, now)
			}
		case workers.VerbForget:
			if t != nil && t.status == workers.StatusExited {
				delete(w.tasks, id)
			}
		}
	}
}

func (w *Worker) start(id workers.AttemptID, now time.Time) {
	t := &task{id: id, status: workers.StatusFetching, since: now}
	w.tasks[id] = t
	job, ok := w.jobs.Job(id.Task.Job)
	if !ok {
		t.status, t.cause = workers.StatusExited, workers.CauseUnknownJob
	}
	t.job = job
	w.noteChange()
}

// stop applies the protocol's rules for `stop`: a running task with checkpoints saves if it
// gets the time, every other task exits at once, also one that saves and gets no more time.
func (w *Worker) stop(t *task, graceS *float64, now time.Time) {
	grace := 0.0
	if graceS != nil {
		grace = *graceS
	}
	switch {
	case t.status == workers.StatusExited:
	case t.status == workers.StatusRunning && t.job.CheckpointIntervalS > 0 && graceS != nil && grace >= t.job.SaveS:
		t.stoppedAt = now
		w.setStatus(t, workers.StatusSaving, now)
	case t.status == workers.StatusSaving && grace > 0:
	default:
		w.exit(t, workers.CauseStopped, false, now)
	}
}

// takeDirectCommands answers POST /commands.
func (w *Worker) takeDirectCommands(rw http.ResponseWriter, r *http.Request) {
	var batch workers.CommandBatch
	if json.NewDecoder(r.Body).Decode(&batch) != nil || batch.Token == 0 || batch.Epoch == 0 {
		refuse(rw, http.StatusBadRequest, "malformed")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incomingCut {
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
		w.execute(batch.Commands, time.Now())
	}
	reply(rw, status, w.report())
}

// waitWhileHanging waits, without w.mu, until the machine goes on; false: it has ended.
func (w *Worker) waitWhileHanging() (goesOn bool) {
	for w.hanging {
		resumed := w.resumed
		w.mu.Unlock()
		select {
		case <-resumed:
		case <-w.ended:
		}
		w.mu.Lock()
		select {
		case <-w.ended:
			return false
		default:
		}
	}
	return true
}
