package workers

import "time"

// RequestStop marks an attempt to be stopped. graceS is the time it gets to write a
// checkpoint, in seconds. gone is true if no `run` can have been sent for the attempt, which
// is then removed immediately.
func (worker *Worker) RequestStop(attempt *Attempt, graceS float64, now time.Time) (gone bool) {
	switch {
	case attempt.exited():
	case attempt.runNeverSent():
		delete(worker.Attempts, attempt.ID)
		return true
	case !attempt.StopRequested:
		attempt.StopRequested, attempt.GraceS, attempt.StopRequestedAt = true, graceS, now
	case graceS < attempt.GraceS:
		// A shorter grace period must be sent immediately, as it may end a checkpoint in
		// progress.
		attempt.GraceS = graceS
		attempt.StopSentAt = time.Time{}
	}
	return false
}

// Commands returns the pending commands for the worker, for the reply to its newest heartbeat
// (replying) or for a direct command. A `run` is included only in a reply, only in the epoch in
// which the attempt was placed, and only once the attempt's record is durable; Commands marks
// it as sent. In a direct command a `run` could be executed late (protocol, "Delayed
// messages"), while a worker drops late replies.
func (worker *Worker) Commands(replying bool, now time.Time) []Command {
	var commands []Command
	for _, attempt := range worker.SortedAttempts() {
		command := Command{Task: attempt.ID.Task.String(), Attempt: attempt.ID.Number}
		switch {
		case attempt.exited():
			if !attempt.ExitRecorded {
				continue
			}
			command.Verb = VerbForget
		case attempt.StopRequested:
			if attempt.unreported() && attempt.runNeverSent() {
				continue
			}
			graceS := attempt.GraceS
			command.Verb, command.GraceS = VerbStop, &graceS
		case replying && worker.mayStart(attempt):
			worker.markRunSent(attempt, now)
			command.Verb = VerbRun
		default:
			continue
		}
		commands = append(commands, command)
	}
	return commands
}

// HasCommands reports whether Commands would return any command for the reply to a heartbeat.
func (worker *Worker) HasCommands() bool {
	for _, attempt := range worker.Attempts {
		switch {
		case attempt.exited():
			if attempt.ExitRecorded {
				return true
			}
		case attempt.StopRequested:
			if !attempt.runNeverSent() {
				return true
			}
		case worker.mayStart(attempt):
			return true
		}
	}
	return false
}

// mayStart reports whether `run` may be sent for an attempt that has not exited and whose
// stop was not requested.
func (worker *Worker) mayStart(attempt *Attempt) bool {
	return attempt.unreported() && attempt.Committed && attempt.StartAllowed &&
		attempt.Epoch == worker.Epoch && !attempt.FromEarlierTerm
}

// markRunSent records that the reply to the newest heartbeat carries the attempt's `run`.
func (worker *Worker) markRunSent(attempt *Attempt, now time.Time) {
	if !attempt.RunSent {
		attempt.RunSentAt = now
	}
	attempt.RunSent, attempt.RunSentSequence = true, worker.Sequence
}
