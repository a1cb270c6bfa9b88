package constants

import "time"

// Sockets.
const (
	// SocketMargin is the number of sockets reserved for listeners, the runtime, and closed
	// connections that are not released yet, in addition to those for outgoing calls.
	SocketMargin = 48
	// MaxReservedSocketShare is the largest fraction of all sockets that is reserved and not
	// available to users and workers.
	MaxReservedSocketShare = 0.25
	// ScarceSocketShare is the fraction of connections in use above which user connections are
	// closed after each response, so that workers can connect.
	ScarceSocketShare = 0.85
	// FullSocketShare is the fraction of connections in use above which worker connections are
	// closed after each response as well, and idle user connections are closed, so that new
	// connections can always be accepted.
	FullSocketShare = 0.95
	// MinSocketLimit is the minimum limit on connections of users and workers together, whatever
	// the machine's limit.
	MinSocketLimit = 16
)

// Minimum capacity of a node, below which the settings are reported as too small.
const (
	// MinUserConns is the minimum number of user connections.
	MinUserConns = 32
	// MinWorkers is the minimum number of workers.
	MinWorkers = 8
)

// Memory.
const (
	// BaseMemoryMB is the memory of a process that serves no requests, in MiB.
	BaseMemoryMB = 24.0
	// MemoryPerWorkerMB is the part of the node's memory limit that the leader needs per
	// worker, in MiB: connection buffers, goroutine, state, a share of the queue and garbage
	// that is not collected yet. The runtime uses more if the limit allows it. In a simulation
	// with 4,000 workers a limit of 200 MB was enough, of which 136 MB were used; with 160 MB
	// garbage collection took most of the CPU.
	MemoryPerWorkerMB = 0.045
	// GoMemoryLimitShare is the fraction of the machine's memory that is set as the memory
	// limit of the Go runtime. Threads and the binary need the rest.
	GoMemoryLimitShare = 0.7
	// ScarceMemoryShare is the fraction of memory in use above which memory is reported as
	// scarce.
	ScarceMemoryShare = 0.85
	// GCPercent is the garbage collection target percentage. CPU time is usually scarcer
	// than memory; where it is not, the memory limit triggers collection.
	GCPercent = 400
)

// Checks while a node runs.
const (
	// SizingCheckGrowth is the growth factor of the fleet after which the settings are checked
	// against its size again.
	SizingCheckGrowth = 1.1
	// ResourceCheckInterval is the interval at which a node checks its resource usage.
	ResourceCheckInterval = 5 * time.Second
)
