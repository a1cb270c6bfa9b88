package constants

import "time"

// Sockets.
const (
	// SocketMargin is the number of the machine's sockets that is kept for listeners, the
	// runtime, and connections that are closed but not released yet, beside the bounded
	// number for outgoing calls.
	SocketMargin = 48
	// MaxReservedSocketShare is the largest part of the sockets that is kept from users and
	// workers where there are few (ratio).
	MaxReservedSocketShare = 0.25
	// SocketsScarce is the part of the connections to users and workers (ratio) beyond which
	// users' connections are closed after each answer, so that workers find room.
	SocketsScarce = 0.85
	// SocketsFull is the part beyond which workers' connections are closed as well, and
	// users' idle connections are ended: whoever connects then always finds room.
	SocketsFull = 0.95
	// MinSockets is the least number of connections for users and workers together, however
	// few sockets there are.
	MinSockets = 16
)

// The least that a node must be able to serve for the settings to make sense.
const (
	// MinUsers is the least number of users' connections.
	MinUsers = 32
	// MinWorkers is the least number of workers.
	MinWorkers = 8
)

// Memory.
const (
	// BaseMemoryMB is what a process takes before it serves anybody (MB).
	BaseMemoryMB = 24.0
	// MemoryPerWorkerMB is what each worker adds on the leader, of what the node is given
	// (MB): its connection's buffers and goroutine, its state, its part of the queue and of
	// garbage that has not been collected yet. The runtime takes more where it may.
	// Measured on simulated machines: 4,000 workers were served with 200 MB, of which 136
	// were used; with 160 MB garbage collection took most of the processor.
	MemoryPerWorkerMB = 0.045
	// MemoryShare is the part of the machine's memory that the Go runtime is told to stay
	// within (ratio); threads and the binary need the rest.
	MemoryShare = 0.7
	// MemoryScarce is the part of the memory used from which it counts as scarce (ratio).
	MemoryScarce = 0.85
	// GCPercent lets the heap grow before it is collected (percent), as processor time is
	// scarcer than memory; the memory limit takes over where it is not.
	GCPercent = 400
)

// Checks while a node runs.
const (
	// FleetGrowth is the factor by which the fleet must have grown before it is checked
	// against the settings again.
	FleetGrowth = 1.1
	// ResourceCheckInterval is the interval at which a node checks what it uses of its machine.
	ResourceCheckInterval = 5 * time.Second
)
