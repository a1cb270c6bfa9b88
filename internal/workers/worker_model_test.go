package workers

import "time"

const (
	modelLease       = 12 * time.Second
	modelReplyWithin = 4 * time.Second // the worker gives a reply up after that

	ownTerm     = 5 // the term under test, whose number is its fencing token
	earlierTerm = 4 // an earlier leader's, whose messages are still under way
)

// modelWorker follows the protocol's rules for a worker: tokens, leases and commands.
type modelWorker struct {
	epoch, sequence, token uint64
	tasks                  map[AttemptID]TaskStatus
	// leaseFrom is when the last answered heartbeat was sent.
	leaseFrom time.Time
	// awaiting is the sequence number of the heartbeat under way, 0 if there is none;
	// awaitingSince is when it was sent.
	awaiting      uint64
	awaitingSince time.Time
}

func newModelWorker(now time.Time) *modelWorker {
	return &modelWorker{epoch: 1, tasks: map[AttemptID]TaskStatus{}, leaseFrom: now}
}

// report is the worker's next message.
func (w *modelWorker) report() *Heartbeat {
	w.sequence++
	heartbeat := &Heartbeat{
		Machine: "m-1", Endpoint: "h:1", MachineType: "t", Zone: "z",
		Epoch: w.epoch, Sequence: w.sequence, Token: w.token,
	}
	for id, status := range w.tasks {
		report := TaskReport{Task: id.Task.String(), Attempt: id.Number, Status: status}
		if status == StatusExited {
			report.Cause = CauseDone
		}
		heartbeat.Tasks = append(heartbeat.Tasks, report)
	}
	return heartbeat
}

// sendHeartbeat is a heartbeat that the worker awaits the reply to.
func (w *modelWorker) sendHeartbeat(now time.Time) *Heartbeat {
	heartbeat := w.report()
	w.awaiting, w.awaitingSince = heartbeat.Sequence, now
	return heartbeat
}

// expireLease kills and forgets every task once the lease has run out.
func (w *modelWorker) expireLease(now time.Time) {
	if now.Sub(w.leaseFrom) > modelLease {
		w.epoch++
		w.tasks = map[AttemptID]TaskStatus{}
		w.leaseFrom = now
		w.awaiting = 0
	}
}

// takeReply takes the reply to a heartbeat, unless it is late, of an earlier epoch, or
// carries a lower token.
func (w *modelWorker) takeReply(reply *CommandBatch, epoch, sequence uint64, now time.Time) {
	if sequence != w.awaiting || epoch != w.epoch || now.Sub(w.awaitingSince) > modelReplyWithin {
		return
	}
	w.awaiting = 0
	if reply.Token < w.token {
		return
	}
	w.token = reply.Token
	w.leaseFrom = w.awaitingSince
	w.execute(reply.Commands)
}

// takeDirect takes a direct command of any age, and answers with a report.
func (w *modelWorker) takeDirect(batch *CommandBatch) *Heartbeat {
	if batch.Token >= w.token && batch.Epoch == w.epoch {
		w.token = batch.Token
		w.execute(batch.Commands)
	}
	return w.report()
}

func (w *modelWorker) execute(commands []Command) {
	for _, command := range commands {
		task, err := ParseTaskID(command.Task)
		if err != nil {
			panic(err) // the agent has sent a command that no worker can read
		}
		id := AttemptID{task, command.Attempt}
		status, has := w.tasks[id]
		switch {
		case command.Verb == VerbRun && !has:
			w.tasks[id] = StatusRunning
		case command.Verb == VerbStop && has:
			w.tasks[id] = StatusExited
		case command.Verb == VerbForget && status == StatusExited:
			delete(w.tasks, id)
		}
	}
}
