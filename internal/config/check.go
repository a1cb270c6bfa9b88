package config

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"thornnotch/internal/constants"
)

// SettingError describes an invalid value in the platform's settings file.
type SettingError struct {
	// Key is the path of the setting, such as "params.workers.lease_s".
	Key     string
	Problem string
}

func (e *SettingError) Error() string { return e.Key + ": " + e.Problem }

// checker collects the problems of a settings file as *SettingError values.
type checker struct {
	problems []error
}

func (c *checker) fail(key, format string, args ...any) {
	c.problems = append(c.problems, &SettingError{key, fmt.Sprintf(format, args...)})
}

// address checks that an address has the form HOST:PORT.
func (c *checker) address(key, value string) {
	if value == "" {
		c.fail(key, "is missing")
		return
	}
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		c.fail(key, "%q is not HOST:PORT", value)
	}
}

// nonEmpty checks that a string does not consist of white space only.
func (c *checker) nonEmpty(key, value string) {
	if strings.TrimSpace(value) == "" {
		c.fail(key, "is missing")
	}
}

// unique checks that name is not in seen, and adds it.
func (c *checker) unique(key, name string, seen map[string]bool) {
	if seen[name] {
		c.fail(key, "duplicate name %q", name)
	}
	seen[name] = true
}

// positive checks that a rate or duration is greater than 0 and below MaxAmount. It rejects NaN.
func (c *checker) positive(key string, value float64) {
	if !(value > 0 && value < constants.MaxAmount) {
		c.fail(key, "must be greater than 0, is %v", value)
	}
}

// nonNegative checks that a quantity is at least 0 and below MaxAmount. It rejects NaN.
func (c *checker) nonNegative(key string, value float64) {
	if !(value >= 0 && value < constants.MaxAmount) {
		c.fail(key, "must be at least 0, is %v", value)
	}
}

// atLeast checks the lower limit of a count.
func (c *checker) atLeast(key string, minimum, value int) {
	if value < minimum {
		c.fail(key, "must be at least %d, is %d", minimum, value)
	}
}

// check returns all problems of the settings as one joined error, in the order of the file, or
// nil if there are none.
func (s *Settings) check() error {
	var c checker
	c.nonEmpty("label", s.NodeName)
	c.nonEmpty("site", s.Zone)
	c.address("listen", s.Listen)
	c.address("mesh_addr", s.PeerListen)
	c.address("services.cloud", s.Services.Cloud)
	c.address("services.state", s.Services.State)
	c.peers(s.NodeName, s.Peers)
	c.atLeast("params.count", 1, s.Params.NodeCount)
	c.teams(s.Params.Teams)
	for i, objective := range s.Params.SLOs {
		c.slo(fmt.Sprintf("params.objectives[%d]", i), objective)
	}
	c.workerTimings(s.Params.Workers)
	c.stateLimits(s.Params.State)
	c.positive("params.cloud.rps", s.Params.Cloud.RPS)
	c.nonNegative("params.cloud.list_lag_s", s.Params.Cloud.ListLagS)
	c.nonNegative("params.machine_limits.cores", s.Params.MachineLimits.Cores)
	c.nonNegative("params.machine_limits.mem_mb", s.Params.MachineLimits.MemoryMB)
	c.atLeast("params.machine_limits.sockets", 0, s.Params.MachineLimits.Sockets)
	return errors.Join(c.problems...)
}

func (c *checker) peers(ownName string, peers []Peer) {
	seen := map[string]bool{ownName: true}
	for i, peer := range peers {
		key := fmt.Sprintf("known[%d]", i)
		c.nonEmpty(key+".label", peer.Name)
		c.address(key+".addr", peer.Addr)
		c.unique(key+".label", peer.Name, seen)
	}
}

func (c *checker) teams(teams []Team) {
	if len(teams) == 0 {
		c.fail("params.teams", "is missing")
	}
	seen := map[string]bool{}
	for i, team := range teams {
		key := fmt.Sprintf("params.teams[%d]", i)
		c.nonEmpty(key+".name", team.Name)
		c.unique(key+".name", team.Name, seen)
		c.nonNegative(key+".cpus", team.GuaranteedCPUs)
		c.nonNegative(key+".cpus_max", team.MaxCPUs)
		c.nonNegative(key+".gpus", team.GuaranteedGPUs)
		c.nonNegative(key+".gpus_max", team.MaxGPUs)
		if team.MaxCPUs > 0 && team.GuaranteedCPUs > team.MaxCPUs {
			c.fail(key+".cpus", "must not be greater than cpus_max")
		}
		if team.MaxGPUs > 0 && team.GuaranteedGPUs > team.MaxGPUs {
			c.fail(key+".gpus", "must not be greater than gpus_max")
		}
	}
}

// slo checks an objective. Objectives of unknown kinds are ignored.
func (c *checker) slo(key string, objective SLO) {
	switch objective.Kind {
	case SLOWait, SLOCompletion, SLOGuarantee:
		c.positive(key+".within_s", objective.WithinS)
	case SLODeadline:
		if objective.DeadlineMultiple != nil {
			c.positive(key+".times", *objective.DeadlineMultiple)
		}
	default:
		return
	}
	if objective.Kind != SLOGuarantee {
		c.nonEmpty(key+".class", objective.Class)
	}
	switch {
	case objective.Share == nil:
		c.fail(key+".share", "is missing")
	case !(*objective.Share > 0 && *objective.Share <= 1):
		c.fail(key+".share", "must be greater than 0 and at most 1, is %v", *objective.Share)
	}
}

func (c *checker) workerTimings(timings WorkerTimings) {
	c.positive("params.workers.report_s", timings.HeartbeatS)
	c.positive("params.workers.lease_s", timings.LeaseS)
	c.positive("params.workers.gang_wait_s", timings.GangWaitS)
	c.positive("params.workers.gang_peer_s", timings.GangPeerTimeoutS)
	c.positive("params.workers.cancel_s", timings.CancelWithinS)
	// A worker that can't be reached keeps running its tasks until its lease expires.
	if timings.CancelWithinS > 0 && timings.CancelWithinS <= timings.LeaseS {
		c.fail("params.workers.cancel_s", "must be greater than lease_s: an unreachable worker runs cancelled tasks until its lease expires")
	}
}

func (c *checker) stateLimits(limits StateLimits) {
	c.positive("params.state.rps", limits.RPS)
	c.positive("params.state.write_rps", limits.WriteRPS)
	c.positive("params.state.value_kb", limits.ValueKB)
	c.atLeast("params.state.txn_ops", constants.MinTxnOps, limits.TxnOps)
	next := limits.Upcoming
	if next == nil {
		return
	}
	c.optionalPositive("params.state.next.rps", next.RPS)
	c.optionalPositive("params.state.next.write_rps", next.WriteRPS)
	c.optionalPositive("params.state.next.value_kb", next.ValueKB)
	if next.TxnOps != nil {
		c.atLeast("params.state.next.txn_ops", constants.MinTxnOps, *next.TxnOps)
	}
}

func (c *checker) optionalPositive(key string, value *float64) {
	if value != nil {
		c.positive(key, *value)
	}
}
