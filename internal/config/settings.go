package config

import "time"

// Settings is the content of the platform's settings file. Unknown fields are ignored, since
// the platform may add new ones at any time. Load and Parse return only valid settings.
type Settings struct {
	// NodeName is this node's name.
	NodeName string `toml:"label"`
	// Zone is the zone that this node runs in.
	Zone string `toml:"site"`
	// Listen is the HOST:PORT on which the node serves users, workers and health checks.
	Listen string `toml:"listen"`
	// PeerListen is the HOST:PORT on which the node serves its peers.
	PeerListen string `toml:"mesh_addr"`
	// Peers are the other nodes.
	Peers    []Peer   `toml:"known"`
	Services Services `toml:"services"`
	Params   Params   `toml:"params"`
}

// Peer is another controller node.
type Peer struct {
	Name string `toml:"label"`
	// Zone is the zone that the peer runs in.
	Zone string `toml:"site"`
	// Addr is the HOST:PORT of its PeerListen.
	Addr string `toml:"addr"`
}

// Services contains the addresses (HOST:PORT) of the external services.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Params contains the settings that are the same for all nodes.
type Params struct {
	// NodeCount is the number of nodes.
	NodeCount int      `toml:"count"`
	Zones     []string `toml:"zones"`
	// MaxClockErrorMS is the maximum error of a node's wall clock in milliseconds. The node
	// does not use it.
	MaxClockErrorMS float64       `toml:"clock_off_ms"`
	Teams           []Team        `toml:"teams"`
	SLOs            []SLO         `toml:"objectives"`
	Workers         WorkerTimings `toml:"workers"`
	State           StateLimits   `toml:"state"`
	Cloud           CloudLimits   `toml:"cloud"`
	MachineLimits   MachineLimits `toml:"machine_limits"`
}

// Team is a team and its quota. A guarantee of 0 guarantees nothing, a maximum of 0 means no
// limit.
type Team struct {
	Name string `toml:"name"`
	// GuaranteedCPUs and GuaranteedGPUs are always available to the team.
	GuaranteedCPUs float64 `toml:"cpus"`
	GuaranteedGPUs float64 `toml:"gpus"`
	// MaxCPUs and MaxGPUs limit its total use, including borrowed resources.
	MaxCPUs float64 `toml:"cpus_max"`
	MaxGPUs float64 `toml:"gpus_max"`
}

// WorkerTimings contains the timings of workers in seconds (protocol, "Workers").
type WorkerTimings struct {
	// HeartbeatS is the interval between a worker's heartbeats.
	HeartbeatS float64 `toml:"report_s"`
	// LeaseS is how long after its last acknowledged heartbeat a worker kills its tasks.
	LeaseS float64 `toml:"lease_s"`
	// GangWaitS is how long a task of a gang waits for the other tasks to start.
	GangWaitS float64 `toml:"gang_wait_s"`
	// GangPeerTimeoutS is the time within which a task of a gang detects that another task of
	// the gang is gone, and how long it waits for the other tasks in an orderly stop.
	GangPeerTimeoutS float64 `toml:"gang_peer_s"`
	// CancelWithinS is the maximum time from when a user is told that a job is cancelled until
	// the job's last task ends.
	CancelWithinS float64 `toml:"cancel_s"`
}

// StateLimits contains the limits of the state service.
type StateLimits struct {
	// RPS is the number of requests per second that all nodes together may send; WriteRPS is
	// the number of writes among them.
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	// ValueKB is the maximum size of a value in KiB.
	ValueKB float64 `toml:"value_kb"`
	// TxnOps is the maximum number of writes in a transaction.
	TxnOps int `toml:"txn_ops"`
	// Upcoming contains limits that take effect at some time without notice; nil if none.
	Upcoming *UpcomingStateLimits `toml:"next"`
}

// UpcomingStateLimits contains limits that will replace the present ones. The limit of a nil
// field does not change.
type UpcomingStateLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// withUpcomingSizes returns the limits with each size reduced to the smaller of the present and
// the upcoming limit. A larger value or transaction could be in flight when the limits change.
func (l StateLimits) withUpcomingSizes() StateLimits {
	if l.Upcoming != nil && l.Upcoming.ValueKB != nil {
		l.ValueKB = min(l.ValueKB, *l.Upcoming.ValueKB)
	}
	if l.Upcoming != nil && l.Upcoming.TxnOps != nil {
		l.TxnOps = min(l.TxnOps, *l.Upcoming.TxnOps)
	}
	return l
}

// Rates returns the allowed requests and writes per second. If lowered is set, each rate is the
// smaller of the present and the upcoming one.
func (l StateLimits) Rates(lowered bool) (rps, writeRPS float64) {
	rps, writeRPS = l.RPS, l.WriteRPS
	if lowered && l.Upcoming != nil && l.Upcoming.RPS != nil {
		rps = min(rps, *l.Upcoming.RPS)
	}
	if lowered && l.Upcoming != nil && l.Upcoming.WriteRPS != nil {
		writeRPS = min(writeRPS, *l.Upcoming.WriteRPS)
	}
	return rps, writeRPS
}

// CloudLimits contains the limits of the cloud.
type CloudLimits struct {
	// RPS is the number of requests per second that all nodes together may send.
	RPS float64 `toml:"rps"`
	// ListLagS is the maximum age, in seconds, of the data in the cloud's machine list.
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineLimits contains the limits of the machine that the node runs on; 0 means no limit.
type MachineLimits struct {
	// Cores is the number of CPU cores available to the process, which may be a fraction.
	Cores float64 `toml:"cores"`
	// MemoryMB is the memory limit in MiB. The process is killed if it exceeds it.
	MemoryMB float64 `toml:"mem_mb"`
	// Sockets is the maximum number of open sockets.
	Sockets int `toml:"sockets"`
}

// Seconds converts a setting in seconds to a time.Duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
