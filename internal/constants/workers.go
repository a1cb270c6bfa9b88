package constants

import "time"

// Proof that a task is no longer on its machine.
const (
	// LeaseProofMargin is added to the workers' lease to get the time since the last possible
	// renewal of the lease after which a worker must have killed its tasks. It covers timers
	// that fire late.
	LeaseProofMargin = 700 * time.Millisecond
	// WorkerKillDelay is the maximum time between the end of a worker's lease and the end of
	// its tasks. Timers may fire late, and killing the tasks takes a moment.
	WorkerKillDelay = 4 * time.Second
)

// Validation of what a worker reports about itself.
const (
	// MaxMachineNameBytes is the maximum length of a machine's name in bytes, ten times the
	// length of the cloud's names. It keeps oversized names from a faulty worker out of the
	// records.
	MaxMachineNameBytes = 100
)

// Detection of workers that do not receive the leader's messages.
const (
	// LostReplyHeartbeats is the number of consecutive heartbeats that must show a command as
	// not carried out before replies to the worker count as lost. A single reply may get lost.
	LostReplyHeartbeats = 2
	// StartOverdueAfter is how long after its first `run` command a task may be missing from
	// the heartbeats before its machine gets no more tasks. Workers report a change within
	// half a second and wait at most 4 s for a reply.
	StartOverdueAfter = 5 * time.Second
	// StopIgnoredAfter is how long after a stop command a task may still be running before
	// the command counts as ignored.
	StopIgnoredAfter = 6 * time.Second
	// ProbeInterval is the time between two direct commands that probe a worker whose replies
	// are lost.
	ProbeInterval = 5 * time.Second
	// MaxTokenPushesPerTick is the maximum number of workers that are sent a new fencing token
	// in one tick.
	MaxTokenPushesPerTick = 24
)

// Replies to heartbeats, which are held back so that commands can be sent with them.
const (
	// ReplyHold is how long the reply to a heartbeat is held back. Workers report changes
	// at most every half second, so the hold delays no report.
	ReplyHold = 400 * time.Millisecond
	// IdleReplyHold is how long the reply to a worker without attempts is held back, or a
	// quarter of the lease if that is shorter. The worker has nothing to report. Workers wait
	// at most 4 s for a reply.
	IdleReplyHold = 2600 * time.Millisecond
	// PendingStartReplyHold is how long a reply is held back while a start on the machine is
	// not recorded yet. Workers wait at most 4 s for this reply too.
	PendingStartReplyHold = IdleReplyHold
	// ReplyFlushInterval is the interval at which held replies are checked for expiry.
	ReplyFlushInterval = 25 * time.Millisecond
	// HeartbeatTimeout is the timeout of a heartbeat while the leader is still reading its
	// records. Workers wait at most 4 s for a reply.
	HeartbeatTimeout = 3 * time.Second
)

// Commands sent directly to workers.
const (
	// CommandTimeout is the timeout of a direct command.
	CommandTimeout = 2 * time.Second
	// MaxCommandResponseBytes is the maximum size of the heartbeat in the response to a command,
	// in bytes. It is much larger than MaxBodyBytes, which limits other heartbeats.
	MaxCommandResponseBytes = 16 * MaxBodyBytes
	// MaxCommandConnsPerWorker is the maximum number of connections to one worker.
	MaxCommandConnsPerWorker = 2
	// MaxCommandsInFlight is the maximum number of concurrent direct commands. Those that stop
	// no task may use half of it. To an unreachable zone each hangs until its timeout and
	// occupies a socket.
	MaxCommandsInFlight = 96
	// MaxSilentCommandsInFlight is the maximum number of concurrent direct commands to silent
	// workers, to which commands usually hang. Stops for a gang must reach its reachable
	// workers within seconds, however many machines are cut off.
	MaxSilentCommandsInFlight = MaxCommandsInFlight / 2
	// MaxIdleCommandConns is the maximum number of idle connections to all workers together.
	// One per worker would be too many for a fleet of hundreds.
	MaxIdleCommandConns = 32
	// StopGrace is added to a task's save time (stashS) when the task is told to save and stop.
	StopGrace = 2 * time.Second
	// StopResendInterval is the interval at which a stop is sent directly again.
	StopResendInterval = 2 * time.Second
	// SilentStopResendInterval is the interval at which a stop is sent directly again to a
	// silent worker, to which commands usually hang.
	SilentStopResendInterval = 10 * time.Second
	// SilentAfterHeartbeats is the number of heartbeat intervals without a message from a worker,
	// be it a heartbeat or the response to a direct command, after which the worker counts as
	// silent.
	SilentAfterHeartbeats = 2.5
)
