package config

import "time"

// Settings is the file that the platform hands over. Unknown fields are ignored: new ones
// may be added at any time. All checks have been passed by what Load and Parse return.
type Settings struct {
	// NodeName is this node's name.
	NodeName string `toml:"label"`
	// Site is the zone that the node stands in.
	Site string `toml:"site"`
	// Listen is the HOST:PORT for users, workers and health checks.
	Listen string `toml:"listen"`
	// PeerListen is the HOST:PORT for the other nodes.
	PeerListen string `toml:"mesh_addr"`
	// Peers are the other nodes.
	Peers    []Peer   `toml:"known"`
	Services Services `toml:"services"`
	Params   Params   `toml:"params"`
}

// Peer is another controller node.
type Peer struct {
	Name string `toml:"label"`
	// Site is the zone that it stands in.
	Site string `toml:"site"`
	// Addr is its PeerListen address.
	Addr string `toml:"addr"`
}

// Services are the addresses (HOST:PORT) of the outside systems.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Params are the settings that all nodes share.
type Params struct {
	// Count is the number of nodes.
	Count int      `toml:"count"`
	Zones []string `toml:"zones"`
	// ClockOffMS bounds how far a node's time of day is off, in milliseconds. It is decoded
	// with the rest and used nowhere.
	ClockOffMS    float64       `toml:"clock_off_ms"`
	Teams         []Team        `toml:"teams"`
	SLOs          []SLO         `toml:"objectives"`
	Workers       WorkerTimings `toml:"workers"`
	State         StateLimits   `toml:"state"`
	Cloud         CloudLimits   `toml:"cloud"`
	MachineLimits MachineLimits `toml:"machine_limits"`
}

// Team is a team and its quota; a level of 0 means none.
type Team struct {
	Name string `toml:"name"`
	// GuaranteedCPUs and GuaranteedGPUs are the team's to use at any time.
	GuaranteedCPUs float64 `toml:"cpus"`
	GuaranteedGPUs float64 `toml:"gpus"`
	// MaxCPUs and MaxGPUs limit what it uses together with what it borrows.
	MaxCPUs float64 `toml:"cpus_max"`
	MaxGPUs float64 `toml:"gpus_max"`
}

// WorkerTimings are the workers' timings, in seconds (protocol, "Workers").
type WorkerTimings struct {
	// HeartbeatS is the interval of a worker's heartbeats.
	HeartbeatS float64 `toml:"report_s"`
	// LeaseS is how long after its last answered heartbeat a worker kills its tasks.
	LeaseS float64 `toml:"lease_s"`
	// GangWaitS is how long a gang's task waits for the others to start.
	GangWaitS float64 `toml:"gang_wait_s"`
	// GangPeerS is within which time a gang's task notices that another one is gone, and
	// how long it waits for the others in an orderly stop.
	GangPeerS float64 `toml:"gang_peer_s"`
	// CancelWithinS is how long after its user was told that a job is cancelled a task
	// of it may still be on a machine.
	CancelWithinS float64 `toml:"cancel_s"`
}

// StateLimits limit the calls to the state service.
type StateLimits struct {
	// RPS is how many calls a second all nodes together may make, WriteRPS how many of
	// them may change anything.
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	// ValueKB is the size of the largest value, in KiB.
	ValueKB float64 `toml:"value_kb"`
	// TxnOps is how many writes a transaction may have.
	TxnOps int `toml:"txn_ops"`
	// Next are limits that hold from some moment on, without notice; nil: none.
	Next *UpcomingStateLimits `toml:"next"`
}

// UpcomingStateLimits are limits to come. What is not named stays.
type UpcomingStateLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// withUpcomingSizes has values and transactions keep within the smaller of both limits from
// the start: a larger one may be under way when the limits fall.
func (l StateLimits) withUpcomingSizes() StateLimits {
	if l.Next != nil && l.Next.ValueKB != nil {
		l.ValueKB = min(l.ValueKB, *l.Next.ValueKB)
	}
	if l.Next != nil && l.Next.TxnOps != nil {
		l.TxnOps = min(l.TxnOps, *l.Next.TxnOps)
	}
	return l
}

// Rates are the rates (calls and changes a second) allowed now, or those to come once they
// have fallen.
func (l StateLimits) Rates(fallen bool) (rps, writeRPS float64) {
	rps, writeRPS = l.RPS, l.WriteRPS
	if fallen && l.Next != nil && l.Next.RPS != nil {
		rps = min(rps, *l.Next.RPS)
	}
	if fallen && l.Next != nil && l.Next.WriteRPS != nil {
		writeRPS = min(writeRPS, *l.Next.WriteRPS)
	}
	return rps, writeRPS
}

// CloudLimits limit the calls to the cloud.
type CloudLimits struct {
	// RPS is how many calls a second all nodes together may make.
	RPS float64 `toml:"rps"`
	// ListLagS is by how many seconds the list of machines lags.
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineLimits are those of the machine that the node itself runs on; 0 means none.
type MachineLimits struct {
	// Cores is the share of the processor.
	Cores float64 `toml:"cores"`
	// MemMB is the memory, in MiB; beyond it the process is killed.
	MemMB float64 `toml:"mem_mb"`
	// Sockets is how many connections may be open.
	Sockets int `toml:"sockets"`
}

// Seconds turns a setting in seconds into a duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
