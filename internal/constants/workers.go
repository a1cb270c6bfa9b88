package constants

import "time"

// Proofs that a task has left its machine.
const (
	// LeaseProofMargin is added to the workers' lease before silence proves that a worker
	// has killed its tasks; it covers timers that fire late.
	LeaseProofMargin = 700 * time.Millisecond
	// WorkerKillDelay is how long after the end of its lease a worker may still have its
	// tasks: its timers may be late, and killing the tasks takes a moment.
	WorkerKillDelay = 4 * time.Second
)

// What a worker says of itself.
const (
	// MaxMachineNameBytes bounds a machine's name (bytes). The cloud's names are a tenth of
	// that; the bound keeps what a faulty worker sends out of the records.
	MaxMachineNameBytes = 100
)

// Workers that do not receive what the leader sends.
const (
	// LostReplyHeartbeats is how many heartbeats in a row must show a command not carried
	// out before the leader concludes that its replies are lost: a single reply may be.
	LostReplyHeartbeats = 2
	// StartOverdueAfter is how long after its first `run` a task may be missing from the
	// heartbeats before its machine gets no more work. Workers report a change within half
	// a second, and give a reply up after 4 s.
	StartOverdueAfter = 5 * time.Second
	// StopIgnoredAfter is how long after a stop a task may still run.
	StopIgnoredAfter = 6 * time.Second
	// ProbeInterval is the pause between two attempts to reach a worker whose replies are lost.
	ProbeInterval = 5 * time.Second
	// TokenPushesPerTick is how many workers are sent a new fencing token in one tick.
	TokenPushesPerTick = 24
)

// Replies to heartbeats, which are held back so that commands can go with them.
const (
	// ReplyHold is how long the reply to a heartbeat is held back. Workers report changes
	// at most every half second, so nothing is delayed by it.
	ReplyHold = 400 * time.Millisecond
	// IdleReplyHold is the same for a machine with nothing running, which has nothing to
	// report. Workers give a reply up after 4 s.
	IdleReplyHold = 2600 * time.Millisecond
	// PendingStartReplyHold is the same for a machine with starts that wait to be recorded.
	// The bound is the same as for an idle one: the worker's 4 s.
	PendingStartReplyHold = IdleReplyHold
	// ReplyFlushInterval is the interval at which held replies are checked for expiry.
	ReplyFlushInterval = 25 * time.Millisecond
	// HeartbeatTimeout bounds a worker's wait for a leader that is still reading its
	// records; workers give up after 4 s.
	HeartbeatTimeout = 3 * time.Second
)

// Commands sent directly to workers.
const (
	// CommandTimeout bounds one direct command to a worker.
	CommandTimeout = 2 * time.Second
	// MaxCommandAnswerBytes bounds the heartbeat that answers it (bytes): far more than the
	// heartbeats that a worker may send by itself, which MaxBodyBytes bounds.
	MaxCommandAnswerBytes = 16 * MaxBodyBytes
	// CommandConnsPerWorker bounds the connections to one worker.
	CommandConnsPerWorker = 2
	// MaxCommandsInFlight bounds the direct commands under way: in a zone that is cut off
	// each hangs until its timeout, and every one takes a socket.
	MaxCommandsInFlight = 96
	// MaxSilentCommandsInFlight bounds those of them to workers that have not been heard for
	// a while, which most likely hang: stops for a gang must reach all of it within seconds,
	// however many machines a cut has taken away.
	MaxSilentCommandsInFlight = MaxCommandsInFlight / 2
	// MaxIdleCommandConns bounds the connections to workers that are kept for the next
	// command: with hundreds of workers one for each would be too many.
	MaxIdleCommandConns = 32
	// StopGrace is added to a task's time to save (stashS) when it is told to stop and save.
	StopGrace = 2 * time.Second
	// StopResend is the pause before a stop is sent directly again.
	StopResend = 2 * time.Second
	// StopResendSilent is the same for a worker that has been silent for more than
	// SilentAfterHeartbeats heartbeat intervals: commands to it most likely hang.
	StopResendSilent = 10 * time.Second
	// SilentAfterHeartbeats is after how many intervals without a heartbeat a worker counts
	// as silent.
	SilentAfterHeartbeats = 2.5
)
