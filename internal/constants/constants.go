// Package constants holds every constant of thornnotch in one place, each with
// its unit and the reason for its value. What differs between deployments is
// not here: it comes from the settings file, the catalog or measurement.
package constants

import "time"

// Leadership.
const (
	// LeaseTTL is the life of the leader's lease in the state service. It
	// bounds how long a dead leader is missed, and must stay far below the
	// workers' lease so that they are answered again before it ends.
	LeaseTTL = 2500 * time.Millisecond
	// LeaseRenewInterval is the time between renewals: three tries fit in one TTL.
	LeaseRenewInterval = 700 * time.Millisecond
	// WatchBlock is how long one watch request waits. Every answer, empty or
	// not, renews the leader's certainty of knowing all cancellations, so it
	// must be short against cancel_s; one request a second is cheap.
	WatchBlock = 1000 * time.Millisecond
	// WorkerKillDelay is how long after its lease's end a worker may still have its
	// tasks: its timers may be late, and killing them takes a moment.
	WorkerKillDelay = 4 * time.Second
	// AttestationInterval is the step in which a leader whose watch is not answered asks the
	// other nodes which cancellations they know of; AttestationAfter is how old the
	// watch's last proof must be for that. Both are short against the least time
	// for which a leader is certain without.
	AttestationInterval = 1000 * time.Millisecond
	AttestationAfter    = 3 * time.Second
	// AttestationMargin is how much further back than the watch's last proof the nodes
	// must vouch, and AttestationMaxAge how old the question may be when the answer is
	// taken in: the answer counts back from when it was given, which is later
	// than it was asked for.
	AttestationMargin = 2 * time.Second
	AttestationMaxAge = 1500 * time.Millisecond
	// CancellationLogWindow is for how long a node remembers the cancellations that it vouches
	// for, if all changes that the state service allows were some; CancellationLogMinEntries is how
	// many at the least (some 64 bytes each).
	CancellationLogWindow     = 5 * time.Minute
	CancellationLogMinEntries = 8192
	// ClockDrift is the largest relative difference between two steady
	// clocks: the protocol's 0.05 % on each side, doubled for safety.
	ClockDrift = 0.002
	// LeaseProofMargin is added to lease_s before silence proves that a
	// worker has killed its tasks; it covers timers that fire late.
	LeaseProofMargin = 700 * time.Millisecond
	// LostReplyHeartbeats is how many reports in a row must show an order not
	// carried out before the worker is taken for deaf: one answer may be lost.
	LostReplyHeartbeats = 2
	// StartOverdueAfter is how long after its first `run` a task may be missing
	// from the reports before its machine gets no more work; workers report a
	// change within half a second, and give an answer up after 4 s.
	StartOverdueAfter = 5 * time.Second
	// StopIgnoredAfter is how long after a stop a task may still run.
	StopIgnoredAfter = 6 * time.Second
	// ProbeInterval is the pause between two tries to reach a deaf worker.
	ProbeInterval = 5 * time.Second
	// AttemptCounterBits is the width of the attempt counter below the term in an attempt number
	// (bits): a million starts, as earlier versions have it. TermBits is the width of
	// the term where the counter goes on above it: one election a second for half a
	// year. AttemptCarryBits is what is left of 64.
	AttemptCounterBits = 20
	TermBits           = 24
	AttemptCarryBits   = 64 - AttemptCounterBits - TermBits
)

// State service.
const (
	// StateTimeout bounds one ordinary request; answers take a few hundred
	// milliseconds at worst, and users wait 2 s for a poll.
	StateTimeout = 1500 * time.Millisecond
	// TxnTimeout bounds one transaction but for those of elections while the last one
	// was answered in good time: answers take a few hundred milliseconds at worst,
	// users wish to be answered within a second, and one whose answer is lost can be
	// sent once more in that time. A service that is slower gets up to StateTimeout.
	TxnTimeout = 500 * time.Millisecond
	// TxnTimeoutFactor is how many times the last answer's time the next one may take (times).
	TxnTimeoutFactor = 2
	// UserTxnAttempts is how often a user's transaction without an answer is sent, in all
	// (times).
	UserTxnAttempts = 3
	// DialTimeout bounds a new connection to any other host; the calls over it
	// have their own, shorter ones.
	DialTimeout = 4 * time.Second
	// StateConns is the number of connections a node keeps to the service.
	StateConns = 24
	// StateLeaseConns is the number of those for what the lead depends on: renewals,
	// elections, two watches, and the readings of a takeover.
	StateLeaseConns = 6
	// LeaderShare and LeaderWriteShare are the leader's parts of the request
	// and write budgets; the other nodes share the rest. The leader writes
	// every start and finish, while all nodes answer polls alike.
	LeaderShare      = 0.45
	LeaderWriteShare = 0.72
	// BudgetUse is the part of the allowed rate that is planned for; the
	// rest absorbs clocks that disagree about a second.
	BudgetUse = 0.94
	// RateLimitedRun refusals for too many calls within RateLimitedWindow mean that the
	// state service's rates have fallen.
	RateLimitedRun    = 5
	RateLimitedWindow = 4 * time.Second
	// MinValueKB and MinTxnOps are how small values and transactions may become
	// when the state service refuses larger ones.
	MinValueKB = 1.0
	MinTxnOps  = 4
	// BudgetRetryInterval is the pause before looking again for tokens held back for
	// more important calls.
	BudgetRetryInterval = 15 * time.Millisecond
	// ListPage is the number of rows asked for at once: well under 512 KiB.
	ListPage = 400
	// BackoffMin and BackoffMax bound the jittered pause after a failed call.
	BackoffMin = 100 * time.Millisecond
	BackoffMax = 1500 * time.Millisecond
)

// Reserves of tokens, as parts of one second's worth, that a call of each
// importance must leave untouched.
const (
	ReserveLease  = 0.0
	ReserveCancel = 0.05
	ReserveSubmit = 0.10
	ReserveRecord = 0.15
	ReservePoll   = 0.20
	ReserveOther  = 0.40
)

// Scheduling.
const (
	// MinPassInterval is the least time between two placement passes: short
	// against a report interval, long enough to batch a burst of reports.
	MinPassInterval = 60 * time.Millisecond
	// PassIntervalFactor times the length of the last pass, at most MaxPassInterval, is the
	// least time between two: a quarter of the processor for placement at most.
	PassIntervalFactor = 4
	MaxPassInterval    = 1200 * time.Millisecond
	// CommitBehindAfter is for how long transactions must have had no room for all that waits
	// for hints to rest.
	CommitBehindAfter = 2 * time.Second
	// MaxViewAge is how old a machine's view for placement may be: estimates of
	// the time left change with time alone.
	MaxViewAge = 2 * time.Second
	// ViewAgeBaseMachines is the fleet up to which that holds (machines); beyond it grows with
	// the fleet, so that as many are made anew a second.
	ViewAgeBaseMachines = 2000
	// TokenPushesPerTick is how many workers are shown a new token in one tick.
	TokenPushesPerTick = 24
	// TickInterval drives time-outs, lapses and renting.
	TickInterval = 250 * time.Millisecond
	// StallAfter is how long the leader's routine, which wakes with every tick,
	// must have stood still to count its own silence, and not that of others.
	// Short of processor time it may be late by a second.
	StallAfter = 3 * time.Second
	// ReplyHold is how long a worker's report is kept unanswered so that
	// orders can go with the answer. Workers report changes at most every
	// half second, so nothing is delayed by it.
	ReplyHold = 400 * time.Millisecond
	// IdleReplyHold is the same for a machine with nothing running, which has
	// nothing to report. Workers give an answer up after 4 s.
	IdleReplyHold = 2600 * time.Millisecond
	// PendingStartReplyHold is the same for one whose starts wait for their record.
	PendingStartReplyHold = 2600 * time.Millisecond
	// ReplyFlushInterval is the step in which held answers run out.
	ReplyFlushInterval = 25 * time.Millisecond
	// MetadataDelay is how long the record of a machine's holds and images, which are
	// hints, lags at the least: most holds are taken up before that.
	MetadataDelay = 2500 * time.Millisecond
	// MetadataWriteShare is the part of the leader's changes that hints may take where that is
	// more than one value a second, and MetadataBurst for how long they may be saved up:
	// on a large fleet they would take as much as starts and ends together, and a
	// checkpoint holds them anyway.
	MetadataWriteShare = 0.1
	MetadataBurst      = 2 * time.Second
	// LogRingSize is the number of keys that log entries go round in. A takeover
	// reads them all; at a few KiB each that is a few pages.
	LogRingSize = 1024
	// LogLargeRingSize is the same for large fleets, once no node is left that knows the
	// other alone. LargeRingParts is which part of the other in parts a checkpoint must
	// be larger than for that: it would be written again every few seconds.
	LogLargeRingSize = 8192
	LargeRingParts   = 4
	// LargeRingCheckInterval is the pause before all nodes are asked again which rings they read.
	LargeRingCheckInterval = 10 * time.Second
	// LogMaxFill is the part of the ring that may be full when a checkpoint stands.
	LogMaxFill = 0.9
	// LogSlack is kept free in the ring for the entries of one transaction.
	LogSlack = 8
	// CheckpointEntries is how many entries a takeover may have to read on top of
	// the last checkpoint before the next is begun.
	CheckpointEntries = 320
	// CheckpointPartsFactor times the parts of the last checkpoint is the same where that is
	// more: then checkpoints take half of what entries do (times).
	CheckpointPartsFactor = 2
	// TxnBytes bounds the values of one transaction; the state service takes
	// 64 KiB with all names and conditions.
	TxnBytes = 36 << 10
	// CommitInterval is the least time between two of the leader's transactions:
	// each costs a change for the head, so decisions are gathered meanwhile.
	CommitInterval = 60 * time.Millisecond
	// CheckpointPartInterval is the same for one that carries nothing but a part of
	// a checkpoint: it can wait, and must not use up the tokens.
	CheckpointPartInterval = 200 * time.Millisecond
	// JobWritesPerTxn bounds the jobs that one transaction ends, as each may clash
	// with its user's cancellation.
	JobWritesPerTxn = 4
	// MaxRuntimeRatio bounds by how many times run times are taken to differ from what
	// owners expect, either way; RuntimeRatioWeight is what the newest one counts.
	MaxRuntimeRatio    = 3.0
	RuntimeRatioWeight = 0.1
	// ChainStep is what lies between the end of a job and the start of the next one
	// of a chain beside run times: a report, two records and an order's way.
	ChainStep = 3 * time.Second
	// MaxFinalReads bounds the final records that are read at once for jobs that wait
	// for others; FinalReadRetry is the pause after one could not be.
	MaxFinalReads  = 6
	FinalReadRetry = 500 * time.Millisecond
	// AttemptBytes is what one attempt with its job takes at most in its
	// machine's record; the value limit then bounds the attempts on a machine.
	AttemptBytes = 176
	// DoneChunkTasks is the number of tasks whose completion one record holds:
	// 2 KiB of bits, 2.7 KiB in JSON.
	DoneChunkTasks = 16384
	// RetryBase and RetryMax bound the pause before a failed task is tried
	// again; it doubles with each failure in a row.
	RetryBase = 1 * time.Second
	RetryMax  = 60 * time.Second
	// FaultyMachineJobs is on how many different jobs' word a machine is taken for
	// faulty while none of them has done better elsewhere.
	FaultyMachineJobs = 3
	// FaultyJobMachines is the number of machines a job must fail on, and succeed on
	// none, to be taken for mistaken: faulty machines are few, so a job rarely
	// meets three of them before any other.
	FaultyJobMachines = 3
	// FaultyTaskMachines is the number of machines a single task may fail on, while
	// others of its job do well, before that speaks against the task.
	FaultyTaskMachines = 3
	// FailureAttributionMargin is how much longer a job's task must have run elsewhere than
	// the one that failed to show that the job does well there: a report's way
	// and the spread of run times before a mistake shows.
	FailureAttributionMargin = 3 * time.Second
	// SuspectMachinePause is how long a machine gets no tasks after a failure whose cause
	// is not known yet: long enough for the job's others to run past it.
	SuspectMachinePause = 8 * time.Second
	// FailureWindow is how long a failure is held against a machine.
	FailureWindow = 60 * time.Second
	// AvoidFor is how long a machine is avoided after a failure on it.
	AvoidFor = 60 * time.Second
	// StopGrace is added to stashS when a task is told to stop with saving.
	StopGrace = 2 * time.Second
	// StopResend is the pause before a stop order is sent directly again.
	StopResend = 2 * time.Second
	// StopResendSilent is the same for a worker that has been silent for more
	// than SilentAfterHeartbeats report intervals: its orders most likely hang.
	StopResendSilent      = 10 * time.Second
	SilentAfterHeartbeats = 2.5
	// RestartCost is what a stopped task loses beside its saving: it queues
	// again and may have to fetch its image anew.
	RestartCost = 10 * time.Second
	// GangRestartFactor multiplies it for gangs, which need whole machines at once.
	GangRestartFactor = 3
	// StartCountsAfter is how long a task must run for its start to count
	// (protocol); EarlyStopCost is the extra cost of stopping it before.
	StartCountsAfter = 30 * time.Second
	EarlyStopCost    = 5 * time.Second
	// StopWeight is what stopping the work of a whole machine weighs against
	// waiting for an image there, second for second.
	StopWeight = 8.0
	// ArrivalWindow is how far back the jobs of each class are counted.
	ArrivalWindow = 5 * time.Minute
	// StartRateWindow is how far back the tasks placed of each class are counted, to
	// tell how soon those that wait will be: a few run times of short tasks.
	StartRateWindow = 30 * time.Second
	// LoadLogInterval is the time between two lines in the log on how much the leader
	// has to do.
	LoadLogInterval = 30 * time.Second
	// SummaryLogInterval is the time between two summaries in the debug log.
	SummaryLogInterval = 5 * time.Second
)

// Slow machines.
const (
	// MaxRuntimeSamples is the number of run times kept of a job; MinRuntimeSamples is how many
	// must be there before they are compared.
	MaxRuntimeSamples = 64
	MinRuntimeSamples = 2
	// StragglerLikelyRatio and StragglerCertainRatio are how many times the typical run time of its
	// job a task must take to speak against its machine, once and twice. Tasks
	// of one job differ by less than half, machines by a tenth.
	StragglerLikelyRatio  = 1.7
	StragglerCertainRatio = 2.3
	// StragglerSignals is how many such signs make a machine slow.
	StragglerSignals = 2
	// StragglerSignalWindow is how long a finished task's sign counts.
	StragglerSignalWindow = 60 * time.Second
	// StragglerPause is how long a slow machine gets no tasks, the first time; it
	// doubles each time, up to MaxStragglerPause.
	StragglerPause    = 45 * time.Second
	MaxStragglerPause = 5 * time.Minute
)

// Weights of a machine's score for a task, in seconds of delay that they are
// worth.
const (
	// OrdinaryMachinePenalty keeps ordinary machines for jobs that can't use others.
	OrdinaryMachinePenalty = 4.0
	// EmptyMachinePenalty keeps machines whole for gangs, and lets others run empty so
	// that they can be returned.
	EmptyMachinePenalty = 3.0
	// PartlyUsedBonus fills machines that have the image one after the other.
	PartlyUsedBonus = 10.0
	// LastWholeMachinePenalty is what it is worth not to break the last whole machine that
	// gangs which can't use spot machines could take; it is shared out over
	// as many as there are.
	LastWholeMachinePenalty = 30.0
	// LocalImageMaxWaitS is the wait for an image, in seconds, up to which it counts as
	// there already.
	LocalImageMaxWaitS = 0.5
	// GangReserveHorizon is how far ahead gangs are expected when whole machines are
	// kept for them: about what it takes for others to come free. Gangs whose
	// users wait longer than GangReserveMaxAim for a start anyway need none kept.
	GangReserveHorizon = 45 * time.Second
	GangReserveMaxAim  = 100 * time.Second
	// GangReserveMaxShare is the largest part of all ordinary machines that is kept.
	GangReserveMaxShare = 0.5
	// ClaimedMachineBonusS is how much longer a waiting gang stays with the machine that
	// it already waits for than another would have to be quicker.
	ClaimedMachineBonusS = 20.0
	// MaxDrainingShare is the largest part of all machines that drains for gangs at a
	// time: each stands half empty meanwhile. The first gang always gets its own.
	MaxDrainingShare = 0.04
	// BoostedClaimBonusS is the same on top for one that is overdue: it must
	// come to an end with the zone it has begun to gather in.
	BoostedClaimBonusS = 300.0
)

// Order among equals.
const (
	// LateSlack is how far behind a job that has just missed its last aim
	// stands; LateSlackDecay is how many seconds of age move it up by one.
	LateSlack      = 90 * time.Second
	LateSlackDecay = 2
	// BoostAfter is how long a gang waits before it may be lifted over all
	// others: gathering whole machines takes most of the users' four minutes.
	// MaxBoosted is how many are lifted at once.
	BoostAfter = 60 * time.Second
	MaxBoosted = 4
	// LargeGangLateAfter is the wait from which on one of a class's largest jobs
	// counts as late: somewhat less than the users' four minutes. When more than
	// LargeGangLateShare of them are, they are lifted over others of their priority,
	// when more than LargeGangCriticalShare are, over all; the users' bound is a half.
	// LargeGangWaitDecay is what an older one counts, for each that comes after.
	LargeGangLateAfter     = 210 * time.Second
	LargeGangLateShare     = 0.4
	LargeGangCriticalShare = 0.55
	LargeGangWaitDecay     = 0.9
	// LargeGangPriorOnTime is how many are taken to have begun in time at first.
	LargeGangPriorOnTime = 3.0
	// MaxPreemptionAttempts is how many waiting jobs one pass seeks to make room for.
	MaxPreemptionAttempts = 32
	// MaxWaitingTasks bounds how many waiting tasks of a job one pass looks at.
	MaxWaitingTasks = 400
	// ResourceTolerance forgives rounding in sums of decimal amounts.
	ResourceTolerance = 1e-6
)

// Holds.
const (
	// HoldAlpha, HoldP and HoldThreshold are the defaults of the operator
	// settings alpha, p and threshold (paper, section IV).
	HoldAlpha     = 1.6
	HoldP         = 0.4
	HoldThreshold = 0.8
	// MaxDownstreams is how many of the jobs that wait for one are looked at when
	// its tasks end (jobs): a job may have thousands after it, and holds for a few
	// take all the room that it leaves.
	MaxDownstreams = 64
)

// Cloud.
const (
	// CloudTimeout bounds one request to the cloud.
	CloudTimeout = 4 * time.Second
	// CloudBackoffMin and CloudBackoffMax bound the pause after a call that the
	// cloud did not carry out.
	CloudBackoffMin = 500 * time.Millisecond
	CloudBackoffMax = 4 * time.Second
	// CatalogInterval refreshes prices.
	CatalogInterval = 60 * time.Second
	// MinListInterval is the least time between two readings of the cloud's list, and
	// MaxListShare the part of its calls that these should take at the most.
	MinListInterval = 3 * time.Second
	MaxListShare    = 0.5
	// InstanceListPage is the number of machines in one page of the cloud's list (protocol:
	// 500 at most).
	InstanceListPage = 500
	// RentBatch is the largest number of machines in one request.
	RentBatch = 50
	// NoCapacityPause is the pause before asking again for a type, zone and
	// kind that was refused.
	NoCapacityPause = 10 * time.Second
	// SilentReturnAfter is how long past its lease a machine may stay silent
	// before it is returned: long enough for a short cut to heal.
	SilentReturnAfter = 25 * time.Second
	// UnreachableReturnAfter is the same when most of a zone is silent, which is a cut and
	// not the end of its machines; UnreachableMinMachines is how many that takes.
	UnreachableReturnAfter = 90 * time.Second
	UnreachableMinMachines = 3
	// UnreachableHold is how long a zone still counts as cut off once most of its
	// machines are back: a worker that finds no answer goes round all nodes, a
	// few seconds at each.
	UnreachableHold = 40 * time.Second
	// BootTimeoutFactor times the catalog's boot time is how long a machine may
	// take to report before it is returned.
	BootTimeoutFactor = 3.0
	// ReturnBatch is the largest number of names in one return.
	ReturnBatch = 100
	// IdleReturnAfter is how long an unneeded machine is kept where price counts.
	IdleReturnAfter = 10 * time.Second
	// DemandWindow is how far back demand is remembered before machines are
	// given back.
	DemandWindow = 20 * time.Second
	// OverflowPriceFactor times the spot price, by the ordinary price, is the part
	// of the work that spot machines can't be had for which ordinary machines
	// are rented for.
	OverflowPriceFactor = 2
	// ArrivalRateWindow is how far back jobs are counted to tell what may come.
	ArrivalRateWindow = 60 * time.Second
	// ScaleOutSpare and ScaleInSpare are the defaults of the operator settings spare
	// and keep: machines beside those that the demand fills, in units of the
	// square root of what comes while a machine boots.
	ScaleOutSpare = 4.0
	ScaleInSpare  = 4.0
)

// Polls.
const (
	// PollBatchWindow is how long polls are gathered before one transaction settles
	// them; users see polls answered a fraction of a second later at the most.
	PollBatchWindow = 120 * time.Millisecond
	// PollQueue is how many polls may wait for the next window; more are told to
	// come back.
	PollQueue = 512
	// CondsPerOp times txn_ops is the number of conditions of a transaction
	// (protocol).
	CondsPerOp = 4
	// PollBatches bounds the transactions that settle polls, at once: their number a
	// second is bounded by the tokens, and each may take half a second to be given up.
	PollBatches = 8
	// MaxPollReads bounds the single reads that settle polls whose proof failed,
	// at once.
	MaxPollReads = 4
	// MirrorInterval is the least time between two looks at what changed among the
	// jobs: it only keeps proofs from failing, so it need not be quick.
	MirrorInterval = 1 * time.Second
	// MirrorBlock is how long such a look waits for a change.
	MirrorBlock = 20 * time.Second
)

// Serving.
const (
	// MaxBodyBytes is the largest request body, in bytes (protocol: 64 KiB).
	MaxBodyBytes = 64 << 10
	// HeaderTimeout and IdleTimeout bound slow and idle connections.
	HeaderTimeout = 10 * time.Second
	IdleTimeout   = 120 * time.Second
	// BodyTimeout bounds reading a whole request.
	BodyTimeout = 15 * time.Second
	// RetryAfter is what a user is told to wait, in seconds, when the state
	// service can't be asked.
	RetryAfter = 2
	// UserRequestTimeout bounds the work for one submission or cancellation; users
	// give up after 5 s.
	UserRequestTimeout = 3500 * time.Millisecond
	// MinConcurrentSubmits is how many submissions a node takes at once at the least.
	MinConcurrentSubmits = 8
	// PollTimeout is the same for a poll; users give up after 2 s.
	PollTimeout = 1700 * time.Millisecond
	// ClientTimeout bounds a command's request to a node.
	ClientTimeout = 8 * time.Second
	// HeartbeatTimeout bounds a worker's wait for a leader that is still reading
	// its records; workers give up after 4 s.
	HeartbeatTimeout = 3 * time.Second
	// CommandTimeout bounds a direct order to a worker.
	CommandTimeout = 2 * time.Second
	// CatalogRetry is the pause before asking again while no catalog is known.
	CatalogRetry = 1 * time.Second
	// SocketMargin is what is kept of the machine's sockets, beside the bounded
	// number for calls out, for listeners, the runtime, and connections that are
	// closed but not gone yet.
	SocketMargin = 48
	// MaxReservedSocketShare is the largest part of the sockets that is kept from users
	// and workers where there are few.
	MaxReservedSocketShare = 0.25
	// SocketsScarce is the part of the connections to users and workers beyond
	// which users' are closed after each answer, so that workers find room;
	// SocketsFull the part beyond which workers' are too, and users' connections
	// with nothing to do are ended: whoever comes then always finds room.
	SocketsScarce = 0.85
	SocketsFull   = 0.95
	// CloudConns and CloudIdleConns are the connections kept to the cloud: its
	// calls are few a second.
	CloudConns     = 4
	CloudIdleConns = 2
	// MaxCommandsInFlight bounds the direct orders under way: in a cut-off zone each
	// hangs until its time is over, and every one takes a socket.
	MaxCommandsInFlight = 96
	// MaxSilentCommandsInFlight bounds those of them to workers that have not been heard for a
	// while, which most likely hang: stops for a gang must reach all of it in seconds,
	// however many machines a cut has taken away.
	MaxSilentCommandsInFlight = MaxCommandsInFlight / 2
	// MaxIdleCommandConns bounds the connections to workers that are kept for the next
	// order: with hundreds of workers one a worker would be too many.
	MaxIdleCommandConns = 32
	// MeshConnsPerNode bounds the connections that each other node may have
	// open here; it needs one, and a new one when one hangs.
	MeshConnsPerNode = 4
	// MinSockets is how many connections users and workers may have together
	// however few sockets there are.
	MinSockets = 16
	// MinUsers and MinWorkers are how many users and workers a node must be
	// able to serve at the least for the settings to make sense.
	MinUsers   = 32
	MinWorkers = 8
	// BaseMemoryMB is what a process takes before anybody comes, and
	// MemoryPerWorkerMB what each worker adds on the leader, of what the node is
	// given: its connection's buffers and routine, its state, its part of the queue and
	// of the garbage that has not been collected yet. The runtime takes more where it
	// may. Measured on simulated machines: 4,000 workers were served with 200 MB, of
	// which 136 were taken; with 160 collecting took most of the processor.
	BaseMemoryMB      = 24.0
	MemoryPerWorkerMB = 0.045
	// FleetGrowth is by how many times the fleet must have grown to be checked against
	// the settings once more.
	FleetGrowth = 1.1
	// ResourceCheckInterval is how often a node looks at what it takes of its machine.
	ResourceCheckInterval = 5 * time.Second
	// MemoryScarce and TokensScarce are the parts of the memory taken, and of
	// the tokens left, from which these count as scarce.
	MemoryScarce = 0.85
	TokensScarce = 0.1
	// MemoryShare is the part of the machine's memory that the Go runtime is
	// told to stay within; threads and the binary need the rest.
	MemoryShare = 0.7
	// GCPercent lets the heap grow before it is collected, as processor time
	// is scarcer than memory; the memory limit takes over where it is not.
	GCPercent = 400
	// FinalCache is the number of final job states kept in memory.
	FinalCache = 20000
	// MaxTasks is the largest job (protocol).
	MaxTasks = 100000
	// MaxAmount is the largest believable amount or duration.
	MaxAmount = 1e9
	// ShutdownGrace is how long open requests may take on an orderly end.
	ShutdownGrace = 3 * time.Second
	// HealthCheckInterval is the step in which a node that the state service does not
	// answer asks the others whether it answers them.
	HealthCheckInterval = 400 * time.Millisecond
	// HealthMaxAge is how recent an answer of the state service must be to count.
	HealthMaxAge = 3 * time.Second
	// RelayTimeout bounds a user's request served by another node; users wait
	// 2 s for a poll.
	RelayTimeout = 1600 * time.Millisecond
	// IsolatedAfter is how long a node must be cut off from the state service and
	// from all other nodes before it sends users elsewhere.
	IsolatedAfter = 1500 * time.Millisecond
	// MeshTimeout bounds a call between nodes.
	MeshTimeout = 400 * time.Millisecond
)
