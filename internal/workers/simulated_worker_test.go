package workers

import "time"

const (
	modelLease        = 12 * time.Second
	modelReplyTimeout = 4 * time.Second // the worker drops replies that arrive later

	ownTerm     = 5 // term under test; the term number is the fencing token
	earlierTerm = 4 // term of an earlier leader whose messages are still in flight
)

// simulatedWorker implements the protocol's rules for a worker: tokens, leases and commands.
type simulatedWorker struct {
	epoch, sequence, token uint64
	tasks                  map[AttemptID]TaskStatus
	// leaseStart is when the last heartbeat that got a reply was sent.
	leaseStart time.Time
	// pendingSequence is the sequence number of the heartbeat that waits for its reply, 0 if
	// there is none. pendingSince is when it was sent.
	pendingSequence uint64
	pendingSince    time.Time
}

func newSimulatedWorker(now time.Time) *simulatedWorker {
	return &simulatedWorker{epoch: 1, tasks: map[AttemptID]TaskStatus{}, leaseStart: now}
}

// report returns the worker's state as a heartbeat with the next sequence number.
func (w *simulatedWorker) report() *Heartbeat {
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

// sendHeartbeat returns a heartbeat and makes it the pending one.
func (w *simulatedWorker) sendHeartbeat(now time.Time) *Heartbeat {
	heartbeat := w.report()
	w.pendingSequence, w.pendingSince = heartbeat.Sequence, now
	return heartbeat
}

// expireLease forgets every task and starts the next epoch if the lease has expired.
func (w *simulatedWorker) expireLease(now time.Time) {
	if now.Sub(w.leaseStart) > modelLease {
		w.epoch++
		w.tasks = map[AttemptID]TaskStatus{}
		w.leaseStart = now
		w.pendingSequence = 0
	}
}

// receiveReply executes the commands in the reply to a heartbeat, unless the reply is late, for
// an earlier epoch, or has a lower token.
func (w *simulatedWorker) receiveReply(reply *CommandBatch, epoch, sequence uint64, now time.Time) {
	if sequence != w.pendingSequence || epoch != w.epoch || now.Sub(w.pendingSince) > modelReplyTimeout {
		return
	}
	w.pendingSequence = 0
	if reply.Token < w.token {
		return
	}
	w.token = reply.Token
	w.leaseStart = w.pendingSince
	w.execute(reply.Commands)
}

// receiveDirectCommand executes a direct command, however old, if its token and epoch allow
// that, and returns the heartbeat for the response.
func (w *simulatedWorker) receiveDirectCommand(batch *CommandBatch) *Heartbeat {
	if batch.Token >= w.token && batch.Epoch == w.epoch {
		w.token = batch.Token
		w.execute(batch.Commands)
	}
	return w.report()
}

func (w *simulatedWorker) execute(commands []Command) {
	for _, command := range commands {
		task, err := ParseTaskID(command.Task)
		if err != nil {
			panic(err) // the leader sent a malformed command
		}
		id := AttemptID{task, command.Attempt}
		status, exists := w.tasks[id]
		switch {
		case command.Verb == VerbRun && !exists:
			w.tasks[id] = StatusRunning
		case command.Verb == VerbStop && exists:
			w.tasks[id] = StatusExited
		case command.Verb == VerbForget && status == StatusExited:
			delete(w.tasks, id)
		}
	}
}
