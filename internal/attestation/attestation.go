// Package attestation lets a leader learn from the other nodes, without the state service,
// which job cancellations have been confirmed to users.
//
// A leader learns of cancellations by watching the state service. While the watch is not
// answered, another node may have confirmed cancellations that the leader does not know of,
// because the service may be refusing this node alone. The leader therefore has to let the
// workers' leases expire in time. In an outage of the service that would stop every task of
// the fleet, although no job can be cancelled. Every confirmation is sent by a process of some
// node, however, so if the processes of all nodes list what they have confirmed since the watch
// last proved the leader up to date, no cancellation is missing.
//
// In one round the leader notes the time, asks each node for the cancellations within Window,
// and combines the answers with Merge. If the result is complete and the answers did not
// arrive too late (AnsweredTooLate), the leader knows every cancellation that was confirmed
// to any user before the time that it noted. The argument, with all its conditions, is in
// docs/design.md (Safety, "The gap").
package attestation

import (
	"time"

	"thornnotch/internal/constants"
)

// Window returns how far back a node must attest, counted from the time of its answer, to cover
// the time since watchedUntil, up to which the leader's watch has reported all cancellations.
// Both times are read from the leader's clock; askedAt is the later one. The window allows for
// two clocks whose rates differ by constants.ClockDrift and for an answer given up to
// constants.AttestationMaxAge after the question.
func Window(askedAt, watchedUntil time.Time) time.Duration {
	return time.Duration(float64(askedAt.Sub(watchedUntil))*(1+constants.ClockDrift)) + constants.AttestationMargin
}

// AnsweredTooLate reports whether the answers arrived too long after the question. Nodes
// count back from the time of their answer, so a late answer may not reach back as far as was
// asked.
func AnsweredTooLate(askedAt, now time.Time) bool {
	return now.Sub(askedAt) > constants.AttestationMaxAge
}

// Attestation is one node's answer. The zero value stands for a node that did not answer.
type Attestation struct {
	// Cancelled lists the IDs of the jobs whose cancellation the node may have confirmed to
	// users.
	Cancelled []string
	// Complete is set if Cancelled misses no such job within the requested window.
	Complete bool
}

// Merge combines the attestations of a cluster with the given number of nodes. It reports
// false unless every node has answered and every answer is complete: a node that did not
// answer, or whose process restarted in the meantime, may have confirmed cancellations that
// no other node knows of.
func Merge(attestations []Attestation, nodes int) (cancelled []string, complete bool) {
	if len(attestations) < nodes {
		return nil, false
	}
	for _, attestation := range attestations {
		if !attestation.Complete {
			return nil, false
		}
		cancelled = append(cancelled, attestation.Cancelled...)
	}
	return cancelled, true
}
