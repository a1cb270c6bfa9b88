package workers

import "time"

// RequestStop marks an attempt as no longer wanted; graceS is the time it gets to save
// (seconds). It reports true when no `run` can ever have left for the attempt, so that it is
// gone at once.
func (agent *Agent) RequestStop(attempt *Attempt, graceS float64, now time.Time) (gone bool) {
	switch {
	case attempt.exited():
	case attempt.runNeverSent():
		delete(agent.Attempts, attempt.ID)
		return true
	case !attempt.StopRequested:
		attempt.StopRequested, attempt.GraceS, attempt.StopRequestedAt = true, graceS, now
	case graceS < attempt.GraceS:
		// The worker must hear of the shorter grace at once: it may end the saving.
		attempt.GraceS = graceS
		attempt.StopSentAt = time.Time{}
	}
	return false
}

// Commands lists what the worker must be told. Starts go only into the reply to a heartbeat
// (replying) of the epoch that they were planned for, and only once their record is
// durable; Commands marks them as sent. A start in a direct command could be carried out
// late (protocol, "Delayed messages"); a reply can't.
func (agent *Agent) Commands(replying bool, now time.Time) []Command {
	var commands []Command
	for _, attempt := range agent.SortedAttempts() {
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
		case replying && agent.mayStart(attempt):
			agent.noteRunSent(attempt, now)
			command.Verb = VerbRun
		default:
			continue
		}
		commands = append(commands, command)
	}
	return commands
}

// HasCommands tells whether Commands would list anything in the reply to a heartbeat.
func (agent *Agent) HasCommands() bool {
	for _, attempt := range agent.Attempts {
		switch {
		case attempt.exited():
			if attempt.ExitRecorded {
				return true
			}
		case attempt.StopRequested:
			if !attempt.runNeverSent() {
				return true
			}
		case agent.mayStart(attempt):
			return true
		}
	}
	return false
}

// mayStart tells whether `run` may be sent for an attempt that is neither exited nor to stop.
func (agent *Agent) mayStart(attempt *Attempt) bool {
	return attempt.unreported() && attempt.Committed && attempt.StartAllowed &&
		attempt.Epoch == agent.Epoch && !attempt.FromEarlierTerm
}

// noteRunSent notes that the reply to the newest heartbeat carries the attempt's `run`.
func (agent *Agent) noteRunSent(attempt *Attempt, now time.Time) {
	if !attempt.RunSent {
		attempt.RunSentAt = now
	}
	attempt.RunSent, attempt.RunSentSequence = true, agent.Sequence
}
